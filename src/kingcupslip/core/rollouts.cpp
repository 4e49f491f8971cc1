// Choice of versions, admission, evidence, and the spread of states.
#include "kingcupslip/core/rollouts.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration update_period = std::chrono::milliseconds(100);
constexpr duration evidence_period = std::chrono::milliseconds(250);
/// Further kinds of requests are counted together.
constexpr std::size_t max_kinds = 16;
constexpr const char* other_kinds = "*";
/// Lost runs of this time count as one: they may have a single cause, such as
/// the end of the target.
constexpr duration loss_burst = std::chrono::milliseconds(500);
constexpr std::size_t own_news_fanout = 8;
constexpr std::size_t learned_news_fanout = 3;
/// Of one service.
constexpr std::size_t max_withheld = 8;
/// A bound on what other nodes may make this one remember.
constexpr std::size_t max_services = 256;

} // namespace

rollouts::rollouts(options o, dependencies d, const clock_reading& clock)
    : m_options(o), m_dependencies(std::move(d)), m_clock(clock) {}

void rollouts::apply_orders(
    const std::map<std::string, rollout_order>& orders) {
  if (m_options.max_share <= 0) {
    return;
  }
  for (std::pair<const std::string, progress>& it : m_by_service) {
    progress& p = it.second;
    const auto order = orders.find(it.first);
    const bool ordered =
        order != orders.end() && order->second.version == p.order.version;
    p.withdrawn |= p.is_ordered && !ordered;
    p.is_ordered = ordered;
  }
  for (const std::pair<const std::string, rollout_order>& it : orders) {
    progress& p = follow(it.second);
    p.is_ordered = true;
    // Other nodes tell an order without its time limit.
    p.order.time_limit = it.second.time_limit;
  }
}

rollouts::progress& rollouts::follow(const rollout_order& order) {
  progress& p = m_by_service[order.service];
  const bool is_known = same_order(p.order, order);
  const bool repeats_running = !is_known && p.order.version == order.version &&
                               p.phase && *p.phase <= rollout_phase::switching;
  if (is_known || repeats_running) {
    return p;
  }
  const bool was_completed = p.phase == rollout_phase::completed;
  const bool is_in_force = was_completed && p.order.version == order.version;
  std::set<std::string> withheld = std::move(p.withheld);
  if (!was_completed && !p.order.version.empty() &&
      withheld.size() < max_withheld) {
    withheld.insert(p.order.version);
  }
  withheld.erase(order.version);
  p = progress{};
  p.order = order;
  p.withheld = std::move(withheld);
  p.exposure = std::make_unique<rollout_exposure>(m_options.max_share);
  if (is_in_force) {
    p.phase = rollout_phase::completed;
  }
  m_dependencies.log(event_id::rollout_ordered,
                     {{"service", order.service},
                      {"version", order.version},
                      {"order", std::to_string(order.written_at.version)},
                      {"limit_ms", std::to_string(order.time_limit.count())}});
  return p;
}

void rollouts::tick() {
  if (m_by_service.empty() || m_clock.now - m_updated_at < update_period) {
    return;
  }
  m_updated_at = m_clock.now;
  for (std::pair<const std::string, progress>& it : m_by_service) {
    progress& p = it.second;
    if (p.phase == rollout_phase::testing) {
      update_exposure(p);
    }
    update_decider(p);
    const bool is_final_phase = p.phase && is_final(*p.phase);
    if (!is_final_phase && is_local_service(p) &&
        m_clock.now - p.evidence_sent_at >= evidence_period) {
      p.evidence_sent_at = m_clock.now;
      send_evidence(p);
    }
  }
}

void rollouts::update_exposure(progress& p) {
  std::map<std::string, double> new_targets;
  double current_capacity = 0;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const wire::memberT& m = it.second.info;
    if (m.service != p.order.service || !m.ready || !it.second.usable()) {
      continue;
    }
    if (m.version == p.order.version) {
      new_targets[m.node] = m.limit;
    } else if (is_current(p, m.version)) {
      current_capacity += m.limit;
    }
  }
  p.exposure->update(p.order.written_at.version, new_targets, current_capacity,
                     m_clock.wall);
}

void rollouts::update_decider(progress& p) {
  const bool decides =
      m_dependencies.members.preferred("rollout/" + p.order.service) ==
      m_dependencies.members.self().info.node;
  const bool needed = decides && (p.is_ordered || p.withdrawn) &&
                      !(p.phase && is_final(*p.phase));
  if (!needed) {
    p.decider.reset();
    return;
  }
  if (!p.decider) {
    p.decider = std::make_unique<rollout_decider>(
        p.order, p.phase,
        rollout_decider::dependencies{
            m_dependencies.members, m_dependencies.table, m_dependencies.log,
            [this, &p](rollout_phase phase, wall_time deadline) {
              set_phase(p, phase, deadline, own_news_fanout);
            }},
        m_clock);
  }
  if (p.withdrawn) {
    p.decider->withdraw();
  }
  p.decider->tick();
}

void rollouts::set_phase(progress& p, rollout_phase phase, wall_time deadline,
                         std::size_t fanout) {
  const bool is_later = !p.phase || phase > *p.phase;
  if (!is_later || (p.phase && is_final(*p.phase))) {
    return;
  }
  p.phase = phase;
  p.deadline = deadline;
  m_dependencies.gossip(fanout);
}

std::uint64_t rollouts::choose_order(const std::string& service,
                                     bool first_attempt) {
  const auto it = m_by_service.find(service);
  if (it == m_by_service.end()) {
    return 0;
  }
  progress& p = it->second;
  const std::uint64_t order = p.order.written_at.version;
  if (!p.phase || *p.phase == rollout_phase::testing) {
    const bool chosen =
        first_attempt && p.phase && p.exposure->choose(m_dependencies.random);
    return chosen ? order : 0;
  }
  const bool uses_new = *p.phase == rollout_phase::switching ||
                        *p.phase == rollout_phase::completed;
  return uses_new ? order : 0;
}

bool rollouts::allows(const wire::memberT& m, std::uint64_t order) const {
  const auto it = m_by_service.find(m.service);
  if (it == m_by_service.end()) {
    return true;
  }
  const progress& p = it->second;
  const bool is_new = m.version == p.order.version;
  if (!p.phase) {
    return is_current(p, m.version) || (is_new && !has_current_version(p));
  }
  switch (*p.phase) {
  case rollout_phase::testing:
    return order == 0 ? is_current(p, m.version)
                      : is_new && p.exposure->is_test_target(m.node);
  case rollout_phase::switching:
  case rollout_phase::completed:
    return is_new;
  case rollout_phase::halted:
  case rollout_phase::rolled_back:
    break;
  }
  return is_current(p, m.version);
}

bool rollouts::is_current(const progress& p, const std::string& version) {
  return version != p.order.version && p.withheld.count(version) == 0;
}

bool rollouts::is_local_service(const progress& p) const {
  return p.order.service == m_dependencies.local_target.service();
}

bool rollouts::has_current_version(const progress& p) const {
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const wire::memberT& m = it.second.info;
    if (m.service == p.order.service && is_current(p, m.version) &&
        it.second.usable()) {
      return true;
    }
  }
  return false;
}

std::optional<reason> rollouts::check_call(const wire::callT& call) const {
  const auto it = m_by_service.find(m_dependencies.local_target.service());
  if (it == m_by_service.end()) {
    return std::nullopt;
  }
  const progress& p = it->second;
  const std::string& version = m_dependencies.local_target.version();
  const bool is_new = version == p.order.version;
  const bool by_order = call.rollout_order == p.order.written_at.version;
  bool admitted = is_current(p, version);
  if (!p.phase) {
    admitted |= is_new && !has_current_version(p);
  } else if (*p.phase == rollout_phase::testing) {
    admitted = is_new ? by_order : admitted;
  } else if (*p.phase == rollout_phase::switching ||
             *p.phase == rollout_phase::completed) {
    admitted = is_new;
  }
  return admitted ? std::nullopt
                  : std::optional<reason>(reason::version_not_released);
}

void rollouts::on_run_ended(const run_report& r) {
  const auto it = m_by_service.find(m_dependencies.local_target.service());
  if (it == m_by_service.end() ||
      (it->second.phase && is_final(*it->second.phase))) {
    return;
  }
  progress& p = it->second;
  if (r.lost) {
    const bool same_burst = m_clock.now - p.last_lost_at < loss_burst;
    p.last_lost_at = m_clock.now;
    if (same_burst) {
      return;
    }
  }
  const bool is_known = p.answers.count(r.kind) != 0;
  answer_counts& n =
      p.answers[is_known || p.answers.size() < max_kinds ? r.kind
                                                         : other_kinds];
  r.failed ? n.add_failure() : n.add_success(r.latency);
}

void rollouts::send_evidence(progress& p) {
  wire::rollout_evidenceT m;
  m.service = p.order.service;
  m.version = m_dependencies.local_target.version();
  m.order_version = p.order.written_at.version;
  m.phase = static_cast<std::uint8_t>(p.phase.value_or(rollout_phase::testing));
  m.idle = m_dependencies.local_target.idle();
  for (const std::pair<const std::string, answer_counts>& it : p.answers) {
    std::unique_ptr<wire::rollout_answersT> a =
        std::make_unique<wire::rollout_answersT>();
    a->kind = it.first;
    a->answered = it.second.answered;
    a->failed = it.second.failed;
    a->latencies.assign(it.second.latencies.begin(), it.second.latencies.end());
    m.answers.push_back(std::move(a));
  }
  const std::string to =
      m_dependencies.members.preferred("rollout/" + p.order.service);
  if (to == m_dependencies.members.self().info.node) {
    on_evidence(to, m);
    return;
  }
  wire::payloadUnion body;
  body.Set(std::move(m));
  m_dependencies.send(to, std::move(body));
}

void rollouts::on_evidence(const std::string& from,
                           const wire::rollout_evidenceT& m) {
  const auto it = m_by_service.find(m.service);
  if (it != m_by_service.end() && it->second.decider) {
    it->second.decider->on_evidence(from, m);
  }
}

void rollouts::fill_gossip(wire::gossipT& g) const {
  for (const std::pair<const std::string, progress>& it : m_by_service) {
    const progress& p = it.second;
    if (!p.phase) {
      continue;
    }
    std::unique_ptr<wire::rollout_stateT> s =
        std::make_unique<wire::rollout_stateT>();
    s->service = p.order.service;
    s->target_version = p.order.version;
    s->order_timeline = p.order.written_at.timeline;
    s->order_version = p.order.written_at.version;
    s->phase = static_cast<std::uint8_t>(*p.phase);
    s->deadline_ms = static_cast<std::uint64_t>(p.deadline.count());
    g.rollouts.push_back(std::move(s));
  }
}

void rollouts::on_gossip(const wire::gossipT& g) {
  if (m_options.max_share <= 0) {
    return;
  }
  for (const std::unique_ptr<wire::rollout_stateT>& it : g.rollouts) {
    rollout_order order;
    order.service = it->service;
    order.version = it->target_version;
    order.written_at = {it->order_timeline, it->order_version};
    const auto known = m_by_service.find(order.service);
    const bool is_outdated =
        known != m_by_service.end() &&
        !same_order(known->second.order, order) &&
        (known->second.is_ordered ||
         order.written_at < known->second.order.written_at);
    const bool is_valid =
        it->phase <= static_cast<std::uint8_t>(rollout_phase::rolled_back) &&
        (known != m_by_service.end() || m_by_service.size() < max_services);
    if (is_outdated || !is_valid) {
      continue;
    }
    progress& p = follow(order);
    const rollout_phase phase = static_cast<rollout_phase>(it->phase);
    if (p.decider) {
      p.decider->on_phase_learned(phase);
    }
    set_phase(p, phase, wall_time(static_cast<wall_time::rep>(it->deadline_ms)),
              learned_news_fanout);
  }
}

std::map<std::string, std::optional<rollout_phase>> rollouts::phases() const {
  std::map<std::string, std::optional<rollout_phase>> out;
  for (const std::pair<const std::string, progress>& it : m_by_service) {
    out[it.first] = it.second.phase;
  }
  return out;
}

} // namespace kingcupslip
