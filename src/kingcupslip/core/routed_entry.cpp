// Checks and dispatches requests that are routed by host and path.
#include "kingcupslip/core/routed_entry.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/reply_codec.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

/// A request's remaining time is divided by this to get the upper bound of its
/// `Retry-After`.
constexpr int retry_after_divisor = 4;
constexpr std::chrono::milliseconds max_retry_after{1000};
constexpr std::chrono::milliseconds min_retry_after{50};
constexpr std::chrono::milliseconds starting_retry_after{500};
constexpr std::chrono::milliseconds draining_retry_after{200};

/// The same for all keys of a team, which may change between two attempts.
std::uint64_t digest_of(const routed_request& r, const std::string& team) {
  std::string text = r.method + " " + r.host + r.path + "\n";
  text += team + "\n";
  text.append(r.body.begin(), r.body.end());
  return digest64(text);
}

} // namespace

routed_entry::routed_entry(dependencies d, const clock_reading& clock)
    : m_dependencies(std::move(d)), m_clock(clock),
      m_rate_limiter(m_dependencies.quota.make_token_source(), clock),
      m_summary(m_dependencies.log) {
  m_dependencies.quota.set_on_grant([this](const std::string& team) {
    m_rate_limiter.on_tokens_available(team);
  });
}

void routed_entry::on_request(routed_request request, outcome_handler handler) {
  const route_table* table = m_dependencies.state.routes();
  const active_request_ptr e = std::make_shared<active_request>();
  e->arrived_at = m_clock.now;
  e->deadline = m_clock.now + request.time_left.value_or(max_retry_after);
  e->request = std::move(request);
  e->handler = std::move(handler);
  m_active.insert(e);
  if (refuses(e->request)) {
    finish(e,
           refusal(reason::draining, verdict::not_run, draining_retry_after));
    return;
  }
  if (table == nullptr) {
    finish(e,
           refusal(reason::starting, verdict::not_run, starting_retry_after));
    return;
  }
  const host_route* route = table->find_route(e->request.host, e->request.path);
  if (route == nullptr || route->services.empty()) {
    finish(e, refusal(reason::unknown_service));
    return;
  }
  e->route_name = route->name;
  const team_settings* team =
      e->request.api_key ? table->find_key(*e->request.api_key) : nullptr;
  const bool needs_key = !route->open && !table->teams().empty();
  if (needs_key && team == nullptr) {
    finish(e,
           refusal(e->request.api_key ? reason::unknown_key : reason::no_key));
    return;
  }
  e->team = team == nullptr ? "" : team->name;
  e->nested = team == nullptr && !table->teams().empty();
  const std::chrono::milliseconds left =
      std::min(e->request.time_left.value_or(route->timeout), route->timeout);
  e->deadline = std::min(m_clock.now + left, m_answer_by);
  m_counts.on_asked({e->team, e->route_name});
  if (e->request.connection != 0) {
    m_by_connection.emplace(e->request.connection, e);
  }
  e->digest = digest_of(e->request, e->team);
  if (m_dependencies.crash_quarantine.is_quarantined(e->digest, m_clock.now)) {
    finish(e, refusal(reason::quarantined));
    return;
  }
  const bool limited = needs_key && team->rate_per_s > 0;
  if (!limited) {
    admit(e);
    return;
  }
  m_rate_limiter.acquire(
      e->team, e->deadline, [this, e](bool passed, duration retry_after) {
        if (!passed) {
          finish(e, refusal(reason::over_rate, verdict::not_run,
                            std::chrono::ceil<std::chrono::milliseconds>(
                                retry_after)));
          return;
        }
        e->took_quota_token = true;
        admit(e);
      });
}

bool routed_entry::refuses(const routed_request& r) const {
  // Callers other than targets have a key.
  const bool may_be_nested =
      !r.api_key && m_dependencies.local_target.in_flight() > 0;
  return m_ended || (m_refusing_new && !may_be_nested);
}

void routed_entry::admit(const active_request_ptr& e) {
  if (m_active.count(e) == 0) {
    // Answered while it waited for a token.
    return;
  }
  if (e->caller_disconnected) {
    finish(e, refusal(reason::cancelled));
    return;
  }
  // Routes and keys may have changed while the request waited for a token.
  const std::shared_ptr<const route_table> table =
      m_dependencies.state.shared_routes();
  const host_route* route = table->find_route(e->request.host, e->request.path);
  if (route == nullptr || route->services.empty()) {
    finish(e, refusal(reason::unknown_service));
    return;
  }
  const team_settings* team =
      e->request.api_key ? table->find_key(*e->request.api_key) : nullptr;
  if (team == nullptr && !route->open && !table->teams().empty()) {
    finish(e, refusal(reason::withdrawn_key));
    return;
  }
  e->service = choose_service(*route);
  const std::shared_ptr<dispatch_job> job = std::make_shared<dispatch_job>();
  job->request = make_call(*e, *route, team);
  job->deadline = e->deadline;
  job->check_before_send = [this, digest = e->digest] {
    return m_dependencies.crash_quarantine.is_quarantined(digest, m_clock.now)
               ? reason::quarantined
               : reason::none;
  };
  job->max_targets = std::max<std::uint32_t>(1, route->max_targets);
  job->on_retry = [this, key = team_route_key{e->team, e->route_name}](
                      reason retry_reason) {
    m_counts.on_retry(key, retry_reason);
  };
  job->done = [this, e](outcome o) { finish(e, std::move(o)); };
  e->job = job;
  if (e->nested) {
    e->counted_as_nested = true;
    m_dependencies.local_target.on_nested_started();
  }
  m_dependencies.dispatch.dispatch(job);
}

route_preview routed_entry::preview(const std::string& team,
                                    const std::string& host,
                                    const std::string& path) const {
  route_preview out;
  out.team = team;
  const route_table* table = m_dependencies.state.routes();
  if (m_ended || m_refusing_new || table == nullptr) {
    out.refused_for = table == nullptr ? reason::starting : reason::draining;
    return out;
  }
  const host_route* route = table->find_route(host, path);
  if (route == nullptr || route->services.empty()) {
    out.refused_for = reason::unknown_service;
    return out;
  }
  out.route = route->name;
  out.time_limit = route->timeout;
  out.max_targets = std::max<std::uint32_t>(1, route->max_targets);
  out.idempotent = route->idempotent;
  const auto settings = std::find_if(
      table->teams().begin(), table->teams().end(),
      [&team](const team_settings& it) { return it.name == team; });
  const bool found = settings != table->teams().end();
  out.unknown_team = !team.empty() && !found;
  const bool needs_key = !route->open && !table->teams().empty();
  if (needs_key && !found) {
    out.refused_for = reason::no_key;
    return out;
  }
  if (needs_key && settings->rate_per_s > 0) {
    out.quota_rate_per_s = settings->rate_per_s;
    out.quota_tokens = m_dependencies.quota.available(team, m_clock.now);
  }
  for (const weighted_service& it : route->services) {
    previewed_service s;
    s.name = it.service;
    s.weight = it.weight;
    s.leaving = m_dependencies.dispatch.leaving().parts(it.service);
    s.targets = m_dependencies.dispatch.preview(it.service, 0);
    out.services.push_back(std::move(s));
  }
  const bool has_target = std::any_of(
      out.services.begin(), out.services.end(), [](const previewed_service& s) {
        return !s.targets.empty() && s.targets.front().left_out.empty();
      });
  out.refused_for = has_target ? reason::none : reason::no_target;
  return out;
}

void routed_entry::on_caller_disconnected(std::uint64_t connection) {
  const auto range = m_by_connection.equal_range(connection);
  std::vector<active_request_ptr> requests;
  for (auto it = range.first; it != range.second; ++it) {
    requests.push_back(it->second);
  }
  m_by_connection.erase(range.first, range.second);
  for (const active_request_ptr& it : requests) {
    it->caller_disconnected = true;
    // Copied because finishing the request resets its job.
    if (const std::shared_ptr<dispatch_job> job = it->job) {
      m_dependencies.dispatch.cancel(job);
    }
  }
}

void routed_entry::start_draining(instant answer_by) {
  m_answer_by = answer_by;
  for (const active_request_ptr& it : m_active) {
    it->deadline = std::min(it->deadline, answer_by);
    if (it->job) {
      it->job->deadline = it->deadline;
    }
  }
}

void routed_entry::end_all() {
  m_ended = true;
  const std::unordered_set<active_request_ptr> active = m_active;
  for (const active_request_ptr& it : active) {
    if (const std::shared_ptr<dispatch_job> job = it->job) {
      m_dependencies.dispatch.cancel(job, reason::draining);
    } else if (m_active.count(it) != 0) {
      finish(it, refusal(reason::draining));
    }
  }
}

void routed_entry::finish(const active_request_ptr& e, outcome o) {
  if (m_active.erase(e) == 0) {
    return;
  }
  const auto of_connection = m_by_connection.equal_range(e->request.connection);
  for (auto it = of_connection.first; it != of_connection.second; ++it) {
    if (it->second == e) {
      m_by_connection.erase(it);
      break;
    }
  }
  if (e->took_quota_token && o.execution == verdict::not_run) {
    m_dependencies.quota.return_token(e->team, m_clock.now);
  }
  const bool sends_retry_after = o.refusal_reason != reason::none &&
                                 o.execution == verdict::not_run &&
                                 info_of(o.refusal_reason).sends_retry_after;
  if (sends_retry_after) {
    o.retry_after = std::max(o.retry_after, retry_after_for(*e));
  }
  if (e->counted_as_nested) {
    m_dependencies.local_target.on_nested_ended();
  }
  if (e->nested &&
      (info_of(o.refusal_reason).counts_as_overload || o.nested_overload)) {
    m_dependencies.local_target.on_nested_overload();
  }
  if (e->nested && o.pressure > 0) {
    m_dependencies.local_target.on_nested_pressure(o.pressure,
                                                   o.overload_level);
  }
  m_counts.on_outcome({e->team, e->route_name}, o);
  m_summary.on_outcome(e->route_name, e->nested, o,
                       m_clock.now - e->arrived_at);
  log_result(*e, o);
  e->job.reset();
  const outcome_handler handler = std::move(e->handler);
  handler(std::move(o));
}

void routed_entry::log_result(const active_request& e, const outcome& o) {
  const bool refused = o.refusal_reason != reason::none;
  const route_table* table = m_dependencies.state.routes();
  m_dependencies.log(
      refused ? event_id::request_refused : event_id::request_answered,
      {{"request", e.request.id},
       {"route", e.route_name},
       {"service", e.service},
       {"team", e.team},
       {"reason", std::string(info_of(o.refusal_reason).name)},
       {"verdict", std::string(name_of(o.execution))},
       {"status", std::to_string(o.status)},
       {"targets", e.job ? join_with_commas(e.job->tried_nodes) : ""},
       {"took_us", std::to_string((m_clock.now - e.arrived_at).count())},
       {"left_us", std::to_string((e.deadline - m_clock.now).count())},
       {"routes", table == nullptr ? "" : table->version()},
       {"state_age_ms", std::to_string(m_dependencies.state.age() /
                                       std::chrono::milliseconds(1))}});
}

const std::string& routed_entry::choose_service(const host_route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::map<std::string, double>& credit = m_round_robin_credit[route.name];
  double total = 0;
  for (const weighted_service& it : route.services) {
    total += it.weight;
  }
  // In requests, so that what is left over means the same after a change of the
  // weights, whatever their scale.
  const weighted_service* best = nullptr;
  for (const weighted_service& it : route.services) {
    credit[it.service] += total > 0 ? it.weight / total : 0;
    if (best == nullptr || credit[it.service] > credit[best->service]) {
      best = &it;
    }
  }
  credit[best->service] -= 1;
  return best->service;
}

wire::callT routed_entry::make_call(active_request& e, const host_route& route,
                                    const team_settings* team) const {
  wire::callT call;
  call.service = e.service;
  call.host = e.request.host;
  call.path = e.request.path;
  call.method = e.request.method;
  call.request_id = e.request.id;
  call.caller_service = m_dependencies.local_target.service();
  call.route = e.nested ? "" : route.name;
  call.team = e.team;
  const std::uint32_t urgency =
      team != nullptr && team->urgency ? *team->urgency : route.urgency;
  call.priority = static_cast<std::uint8_t>(priority_of_urgency(urgency));
  call.retries = route.max_targets > 1 ? route.max_targets - 1 : 0;
  call.idempotent = route.idempotent;
  call.patient = true;
  call.digest = e.digest;
  call.headers = to_wire(e.request.headers);
  call.body = std::move(e.request.body);
  return call;
}

std::chrono::milliseconds
routed_entry::retry_after_for(const active_request& e) const {
  const std::chrono::milliseconds left =
      std::chrono::duration_cast<std::chrono::milliseconds>(e.deadline -
                                                            m_clock.now);
  const std::chrono::milliseconds longest = std::min(
      max_retry_after, std::max(min_retry_after, left / retry_after_divisor));
  // Random, so that callers refused at the same time do not all retry at the
  // same time.
  const std::uint64_t half =
      static_cast<std::uint64_t>(longest.count() / 2 + 1);
  return longest / 2 + std::chrono::milliseconds(static_cast<std::int64_t>(
                           m_dependencies.random() % half));
}

} // namespace kingcupslip
