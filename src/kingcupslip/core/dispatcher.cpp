// Attempts of a request, and the conditions for retrying it.
#include "kingcupslip/core/dispatcher.hpp"

#include "kingcupslip/core/http_status.hpp"
#include "kingcupslip/core/reply_codec.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcupslip {

namespace {

/// With less time left a request stays in this data centre, unless no local
/// target is available.
constexpr duration min_time_for_overflow = std::chrono::milliseconds(20);
constexpr std::uint32_t max_redirects = 2; ///< of one request
/// An older report of a target's load is ignored. Without this a target that
/// was once full, and gets no requests for that, would be taken as full.
constexpr duration load_report_max_age = std::chrono::seconds(1);
/// How long a member whose target accepts no requests is not chosen.
constexpr duration exclusion_period = std::chrono::seconds(1);

/// Whether the target answered with a server error other than a timeout.
bool is_server_failure(const outcome& o) {
  return o.refusal_reason == reason::none &&
         o.status >= http_status::internal_error &&
         o.status != http_status::gateway_timeout;
}

} // namespace

dispatcher::dispatcher(options o, const clock_reading& clock,
                       member_table& members,
                       out_of_service_check is_out_of_service,
                       pending_calls& calls, target_stage& local_target,
                       message_sender send, member_table::random_source random,
                       event_sink log)
    : m_options(o), m_clock(clock), m_members(members),
      m_is_out_of_service(std::move(is_out_of_service)), m_calls(calls),
      m_local_target(local_target), m_send(std::move(send)),
      m_random(std::move(random)),
      m_locality(o.locality_options, std::move(log)) {}

void dispatcher::dispatch(const std::shared_ptr<dispatch_job>& job) {
  retry_budget_for(job->request.service).on_first_attempt();
  if (m_versions.choose_order) {
    job->request.rollout_order =
        m_versions.choose_order(job->request.service, true);
  }
  attempt(job);
}

void dispatcher::cancel(const std::shared_ptr<dispatch_job>& job, reason why) {
  if (job->ended) {
    return;
  }
  job->cancelled_for = why;
  cancel_running(*job);
  const bool was_sent = job->attempts > 0;
  finish(job,
         refusal(why, was_sent ? verdict::may_have_run : verdict::not_run));
}

void dispatcher::cancel_running(dispatch_job& job) {
  const std::vector<running_attempt> running = std::move(job.running);
  job.running.clear();
  for (const running_attempt& it : running) {
    if (it.node == m_members.self().info.node) {
      m_local_target.cancel(it.id);
      continue;
    }
    wire::cancelT cancel;
    cancel.correlation = it.id;
    wire::payloadUnion body;
    body.Set(std::move(cancel));
    m_send(it.node, std::move(body));
  }
}

void dispatcher::tick() {
  if (!m_started_at) {
    m_started_at = m_clock.now;
  }
  if (m_locality.enabled() &&
      m_clock.now - m_locality_updated_at >= locality_update_period) {
    m_locality_updated_at = m_clock.now;
    update_locality();
  }
  while (!m_delayed_retries.empty() &&
         m_delayed_retries.begin()->first <= m_clock.now) {
    const std::shared_ptr<dispatch_job> job = m_delayed_retries.begin()->second;
    m_delayed_retries.erase(m_delayed_retries.begin());
    if (!job->ended) {
      attempt(job);
    }
  }
}

bool dispatcher::has_target_for(const std::string& service) const {
  for (const std::pair<const std::string, member>& it : m_members.all()) {
    if (it.second.info.service == service && it.second.usable()) {
      return true;
    }
  }
  return false;
}

void dispatcher::on_target_report(const std::string& node,
                                  const wire::replyT& reply) {
  member* m = m_members.find(node);
  if (m == nullptr) {
    return;
  }
  if (reply.target_answered || reply.notice) {
    m->target_notice = reply.notice
                           ? std::optional<wire::target_noticeT>(*reply.notice)
                           : std::nullopt;
  }
  if (reply.limit >= 1) {
    m->info.limit = reply.limit;
    m->info.in_flight = reply.in_flight + reply.queued;
    m->load_reported_at = m_clock.now;
    m->last_held = duration(reply.held_us);
  }
}

const char* dispatcher::why_out_of_service(const member& m) const {
  return !m.usable()                      ? "gone"
         : m_is_out_of_service(m.info)    ? "out_of_service"
         : !m.info.ready                  ? "not_ready"
         : m_clock.now < m.excluded_until ? "failed_lately"
                                          : nullptr;
}

std::vector<previewed_target> dispatcher::preview(const std::string& service,
                                                  std::uint64_t order) const {
  std::vector<previewed_target> out;
  for (const std::pair<const std::string, member>& it : m_members.all()) {
    const member& m = it.second;
    if (m.info.service != service || m.state() == member_state::left) {
      continue;
    }
    const target_candidate c = candidate_of(m);
    previewed_target t;
    t.node = m.info.node;
    t.data_centre = m.info.data_centre;
    t.version = m.info.version;
    t.limit = c.limit;
    t.load = std::max(c.own_in_flight, c.reported_in_flight);
    t.relative_load = relative_load(c);
    const char* why = why_out_of_service(m);
    const bool other_version =
        m_versions.allows && !m_versions.allows(m.info, order);
    t.left_out = why != nullptr   ? why
                 : other_version  ? "version_not_released"
                 : m.unresponsive ? "unresponsive"
                                  : "";
    out.push_back(std::move(t));
  }
  std::sort(out.begin(), out.end(),
            [](const previewed_target& a, const previewed_target& b) {
              return std::make_tuple(!a.left_out.empty(), a.relative_load) <
                     std::make_tuple(!b.left_out.empty(), b.relative_load);
            });
  return out;
}

void dispatcher::update_locality() {
  const std::string& here = m_members.self().info.data_centre;
  std::map<std::string, std::map<std::string, data_centre_load>> by_service;
  for (const std::pair<const std::string, member>& it : m_members.all()) {
    const member& m = it.second;
    if (m_run_times.count(m.info.service) == 0 || !is_in_service(m) ||
        m.unresponsive) {
      continue;
    }
    data_centre_load& load = by_service[m.info.service][m.info.data_centre];
    load.name = m.info.data_centre;
    const bool local = &m == &m_members.self();
    const double limit =
        local ? static_cast<double>(m_local_target.capacity()) : m.info.limit;
    load.capacity += limit;
    if (local) {
      load.known_capacity += limit;
      load.known_load += static_cast<double>(m_local_target.in_flight() +
                                             m_local_target.queued());
    } else if (m_clock.now - m.load_reported_at <= load_report_max_age) {
      load.known_capacity += limit;
      load.known_load += static_cast<double>(
          std::max<std::size_t>(m.own_in_flight, m.info.in_flight));
    }
  }
  for (std::pair<const std::string, std::map<std::string, data_centre_load>>&
           it : by_service) {
    std::vector<data_centre_load> loads;
    for (std::pair<const std::string, data_centre_load>& l : it.second) {
      const auto way = m_ways.find(l.first);
      l.second.way = way == m_ways.end() ? duration(0) : way->second;
      loads.push_back(std::move(l.second));
    }
    m_locality.update(it.first, here, loads, m_run_times.at(it.first),
                      m_clock.now);
  }
}

void dispatcher::record_times(const running_attempt& attempt,
                              const outcome& o) {
  const member* m = m_members.find(attempt.node);
  const bool answered = o.refusal_reason == reason::none && o.reported;
  if (!m_locality.enabled() || m == nullptr || !answered) {
    return;
  }
  const auto average = [](std::map<std::string, duration>& averages,
                          const std::string& name, duration sample) {
    const auto it = averages.try_emplace(name, sample).first;
    it->second += (sample - it->second) / 16;
  };
  average(m_run_times, m->info.service, m->last_held);
  average(
      m_ways, m->info.data_centre,
      std::max(m_clock.now - attempt.started_at - m->last_held, duration(0)));
}

std::vector<target_candidate>
dispatcher::candidates(const dispatch_job& job) const {
  std::vector<target_candidate> out;
  std::vector<target_candidate> unresponsive_candidates;
  for (const std::pair<const std::string, member>& it : m_members.all()) {
    const wire::memberT& m = it.second.info;
    const bool in_service =
        m.service == job.request.service && is_in_service(it.second) &&
        (!m_versions.allows || m_versions.allows(m, job.request.rollout_order));
    if (!in_service || job.tried_nodes.count(m.node) != 0) {
      continue;
    }
    (it.second.unresponsive ? unresponsive_candidates : out)
        .push_back(candidate_of(it.second));
  }
  return out.empty() ? unresponsive_candidates : out;
}

target_candidate dispatcher::candidate_of(const member& m) const {
  const member& self = m_members.self();
  const bool local = m.info.node == self.info.node;
  target_candidate out;
  out.node = m.info.node;
  out.same_data_centre = m.info.data_centre == self.info.data_centre;
  out.data_centre = &m.info.data_centre;
  out.own_in_flight = m.own_in_flight;
  out.failures = m.failures;
  out.limit =
      local ? static_cast<double>(m_local_target.capacity()) : m.info.limit;
  out.reported_in_flight =
      local ? m_local_target.in_flight() + m_local_target.queued()
      : m_clock.now - m.load_reported_at <= load_report_max_age
          ? m.info.in_flight
          : 0;
  return out;
}

void dispatcher::attempt(const std::shared_ptr<dispatch_job>& job) {
  const reason send_refusal =
      job->check_before_send ? job->check_before_send() : reason::none;
  if (send_refusal != reason::none) {
    finish(job, refusal(send_refusal));
    return;
  }
  if (job->deadline <= m_clock.now) {
    finish(job, refusal(reason::deadline));
    return;
  }
  if (m_versions.choose_order && job->attempts > 0) {
    job->request.rollout_order =
        m_versions.choose_order(job->request.service, false);
  }
  std::vector<target_candidate> targets = candidates(*job);
  if (targets.empty() && job->request.rollout_order != 0) {
    // The test targets are gone or full.
    job->request.rollout_order =
        m_versions.choose_order(job->request.service, false);
    targets = candidates(*job);
  }
  if (targets.empty() && !job->tried_nodes.empty() && job->max_targets == 0) {
    // Every target was tried once. Attempts are spaced by a backoff, so they
    // may be tried again.
    job->tried_nodes.clear();
    targets = candidates(*job);
  }
  const target_candidate* chosen = choose_candidate(*job, targets);
  if (chosen == nullptr) {
    finish(job, refusal(reason::no_target, verdict::not_run,
                        std::chrono::milliseconds(1000)));
    return;
  }
  send(job, chosen->node);
}

const target_candidate*
dispatcher::choose_candidate(const dispatch_job& job,
                             const std::vector<target_candidate>& targets) {
  const bool allow_overflow =
      job.deadline - m_clock.now > min_time_for_overflow;
  if (m_locality.enabled() && allow_overflow) {
    const std::string* data_centre =
        m_locality.choose(job.request.service, m_random);
    const target_candidate* chosen =
        data_centre == nullptr
            ? nullptr
            : choose_in_data_centre(targets, *data_centre, m_random);
    if (chosen != nullptr) {
      return chosen;
    }
  }
  return choose_target(targets, allow_overflow, m_random);
}

void dispatcher::send(const std::shared_ptr<dispatch_job>& job,
                      const std::string& node) {
  ++job->attempts;
  job->tried_nodes.insert(node);
  wire::callT call = copy_of(job->request);
  call.kind = wire::call_kind::run;
  call.time_left_us = (job->deadline - m_clock.now).count();
  // Half of the retries go to nested calls; the rest remain for this node.
  call.retries = job->request.retries / 2;
  const std::uint32_t nested_retries = call.retries;
  if (member* m = m_members.find(node)) {
    ++m->own_in_flight;
    if (m->target_notice) {
      call.known_notice =
          std::make_unique<wire::target_noticeT>(*m->target_notice);
    }
  }
  const running_attempt attempt{node, 0, job->attempts, m_clock.now};
  const outcome_handler handler = [this, job, attempt,
                                   nested_retries](outcome o) {
    on_outcome(job, attempt, nested_retries, std::move(o));
  };
  const silence_handler on_silent =
      job->request.idempotent
          ? silence_handler([this, job] { on_silent_attempt(job); })
          : nullptr;
  job->running.push_back(attempt);
  const auto set_id = [&job, &attempt](std::uint64_t id) {
    // The attempt may have ended already.
    for (running_attempt& it : job->running) {
      it.id = it.number == attempt.number ? id : it.id;
    }
  };
  if (node == m_members.self().info.node) {
    set_id(m_local_target.submit(std::move(call), job->deadline, handler,
                                 on_silent));
    return;
  }
  call.correlation = m_calls.add(node, job->deadline, handler, on_silent);
  set_id(call.correlation);
  wire::payloadUnion body;
  body.Set(std::move(call));
  m_send(node, std::move(body));
}

void dispatcher::on_silent_attempt(const std::shared_ptr<dispatch_job>& job) {
  // No target has answered, so the first attempt may have run.
  const bool second_attempt_runs = job->running.size() > 1;
  if (job->ended || second_attempt_runs || candidates(*job).empty() ||
      !has_room_for_retry(*job) || !spend_retry(job->request.service)) {
    return;
  }
  job->may_have_run = true;
  --job->request.retries;
  ++job->retries_spent;
  if (job->on_retry) {
    job->on_retry(reason::target_silent);
  }
  attempt(job);
}

void dispatcher::on_outcome(const std::shared_ptr<dispatch_job>& job,
                            const running_attempt& attempt_ended,
                            std::uint32_t nested_retries, outcome o) {
  const std::string& node = attempt_ended.node;
  record_target_health(node, o);
  record_times(attempt_ended, o);
  if (m_on_run_lost && o.reported &&
      o.refusal_reason == reason::connection_lost) {
    m_on_run_lost(node, job->request.digest);
  }
  if (job->ended) {
    return;
  }
  job->running.erase(
      std::remove_if(job->running.begin(), job->running.end(),
                     [&attempt_ended](const running_attempt& it) {
                       return it.number == attempt_ended.number;
                     }),
      job->running.end());
  const reason retry_reason = o.refusal_reason;
  if (may_redirect(*job, o)) {
    ++job->redirects;
    if (job->on_retry) {
      job->on_retry(retry_reason);
    }
    attempt(job);
    return;
  }
  // The nested calls of a lost attempt may have used all of their retries.
  const std::uint32_t used = o.execution == verdict::may_have_run
                                 ? nested_retries
                                 : std::min(nested_retries, o.retries_used);
  job->retries_spent += used;
  job->request.retries -= std::min(job->request.retries, used);
  job->may_have_run |= o.execution == verdict::may_have_run;
  retry_budget_for(job->request.service)
      .on_result(info_of(o.refusal_reason).counts_as_overload, m_clock.now);
  const bool answered =
      o.refusal_reason == reason::none && !is_server_failure(o);
  if (!job->running.empty() && !answered) {
    // The other attempt may be answered yet.
    if (o.refusal_reason == reason::none) {
      job->fallback_answer = std::move(o);
    }
    return;
  }
  if (!may_retry(*job, o)) {
    finish(job, std::move(o));
    return;
  }
  if (o.refusal_reason == reason::none) {
    job->fallback_answer = std::move(o);
  }
  --job->request.retries;
  ++job->retries_spent;
  if (job->on_retry) {
    job->on_retry(retry_reason);
  }
  m_delayed_retries.emplace(job->retry_at, job);
}

void dispatcher::record_target_health(const std::string& node,
                                      const outcome& o) {
  member* m = m_members.find(node);
  if (m == nullptr) {
    return;
  }
  m->own_in_flight -= m->own_in_flight > 0 ? 1 : 0;
  const bool unavailable = o.refusal_reason == reason::no_target ||
                           o.refusal_reason == reason::target_unreachable ||
                           o.refusal_reason == reason::node_unreachable ||
                           o.refusal_reason == reason::draining;
  if (unavailable) {
    // The member's own report that it accepts no requests may still be in
    // transit.
    m->excluded_until = m_clock.now + exclusion_period;
  }
  const bool failed_attempt =
      unavailable || o.refusal_reason == reason::connection_lost ||
      o.refusal_reason == reason::target_refused ||
      o.refusal_reason == reason::target_silent ||
      o.refusal_reason == reason::overloaded_below ||
      (m_options.retry_failed_answers && is_server_failure(o));
  if (failed_attempt) {
    ++m->failures;
    m->last_failure_at = m_clock.now;
  }
}

retry_budget& dispatcher::retry_budget_for(const std::string& service) {
  return m_retry_budgets
      .try_emplace(service, m_options.retry_options,
                   m_started_at.value_or(m_clock.now))
      .first->second;
}

void dispatcher::set_retry_options(const retry_budget::options& o) {
  m_options.retry_options = o;
  for (std::pair<const std::string, retry_budget>& it : m_retry_budgets) {
    it.second.set_options(o);
  }
}

bool dispatcher::may_redirect(const dispatch_job& job, const outcome& o) const {
  const bool target_did_not_get_it =
      o.refusal_reason == reason::target_rate_limited ||
      o.refusal_reason == reason::version_not_released ||
      o.refusal_reason == reason::starting;
  return target_did_not_get_it && o.execution == verdict::not_run &&
         job.redirects < max_redirects && job.deadline > m_clock.now &&
         !candidates(job).empty();
}

bool dispatcher::may_retry(dispatch_job& job, const outcome& o) {
  const bool failed = m_options.retry_failed_answers && is_server_failure(o);
  const bool other_target_may_accept =
      o.refusal_reason != reason::none &&
      info_of(o.refusal_reason).retry_on_other_target;
  if (!failed && !other_target_may_accept) {
    return false;
  }
  const bool safe_to_repeat =
      o.execution == verdict::not_run || job.request.idempotent;
  if (!safe_to_repeat || !has_room_for_retry(job)) {
    return false;
  }
  job.retry_at = m_clock.now + retry_delay(job.attempts, m_random);
  return job.retry_at < job.deadline && spend_retry(job.request.service);
}

bool dispatcher::has_room_for_retry(const dispatch_job& job) const {
  if (job.request.retries == 0) {
    return false;
  }
  const bool every_target_may_be_tried_again = job.max_targets == 0;
  return every_target_may_be_tried_again ||
         (job.tried_nodes.size() - job.redirects < job.max_targets &&
          !candidates(job).empty());
}

bool dispatcher::spend_retry(const std::string& service) {
  return m_options.plain_forwarding ||
         retry_budget_for(service).spend(m_clock.now);
}

void dispatcher::finish(const std::shared_ptr<dispatch_job>& job, outcome o) {
  if (job->ended) {
    return;
  }
  job->ended = true;
  cancel_running(*job);
  const bool attempt_cancelled = o.refusal_reason == reason::cancelled &&
                                 job->cancelled_for != reason::none;
  if (attempt_cancelled) {
    o = refusal(job->cancelled_for, o.execution);
  }
  if (job->fallback_answer && o.refusal_reason != reason::none) {
    // The target's own error is more informative than a later refusal.
    o = std::move(*job->fallback_answer);
  }
  if (job->may_have_run && o.execution == verdict::not_run) {
    // The verdict of the last attempt says nothing about earlier ones.
    o.execution = verdict::may_have_run;
  }
  o.retries_used = job->retries_spent;
  const outcome_handler done = std::move(job->done);
  done(std::move(o));
}

} // namespace kingcupslip
