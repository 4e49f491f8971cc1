// Admission decisions, and what follows from the target's answers.
#include "kingcupslip/core/target_stage.hpp"

#include "kingcupslip/core/call_context.hpp"
#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/http_status.hpp"
#include "kingcupslip/core/reply_codec.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::size_t min_queue_capacity = 16;
constexpr std::size_t queue_capacity_per_slot = 4;
/// Minimum latency from which a concurrency is computed for a rate; also
/// stands in before the first answer.
constexpr duration min_busy_time = std::chrono::milliseconds(100);
/// Requests that a cold target may start in a burst.
constexpr double cold_burst = 3;
/// Requests that may run before the first answer tells whether the target has
/// a rate limit, which an earlier process of this node may have known.
constexpr std::size_t max_running_before_answer = 3;
/// A longer queue would not raise the rate, and another target may have room.
constexpr duration max_rate_limit_wait = std::chrono::milliseconds(500);
/// How long queued requests are still sent to a target after it said that it
/// leaves, or was taken out of service.
constexpr duration max_start_after_leaving = std::chrono::seconds(1);
constexpr std::chrono::milliseconds shed_retry_after{1000};
/// A level that sheds next to nothing; averages do not reach 0.
constexpr double min_effective_level = 0.02;
/// A smaller part of refusals is chance.
constexpr double min_refused_part = 0.05;
constexpr double max_refused_part = 0.75;

/// An unknown priority, from a node of another release, counts as the lowest.
priority rank_of(const wire::callT& request) {
  return static_cast<priority>(
      std::min<std::size_t>(request.priority, priority_count - 1));
}

bool has_not_run_verdict(const target_result& r) {
  return std::any_of(r.headers.begin(), r.headers.end(), [](const header& h) {
    return same_header_name(h.name, header_names::verdict) &&
           h.value == name_of(verdict::not_run);
  });
}

/// Up to the second slash.
std::string first_segment(const std::string& path) {
  return path.substr(0, path.find('/', 1));
}

/// What requests of the same work have in common.
std::string kind_of(const wire::callT& request) {
  return request.host + first_segment(request.path);
}

bool is_overload_answer(const target_result& r) {
  return r.end == exchange_end::answered &&
         (r.status == http_status::unavailable ||
          r.status == http_status::too_many_requests);
}

} // namespace

target_stage::target_stage(target_options options, target_hooks hooks,
                           const clock_reading& clock,
                           quarantine& crash_quarantine)
    : m_options(std::move(options)), m_hooks(std::move(hooks)), m_clock(clock),
      m_quarantine(crash_quarantine),
      m_crash_detector(
          crash_quarantine, [this] { return running_at_instance(); },
          m_hooks.log),
      m_limit(m_options.max_in_flight),
      m_downstream(
          [this](const std::string& route, double rate_per_s, double failed) {
            m_hooks.log(rate_per_s > 0 ? event_id::route_limited
                                       : event_id::route_unlimited,
                        {{"route", route},
                         {"rate_per_s", std::to_string(rate_per_s)},
                         {"failed_part", std::to_string(failed)}});
          }),
      m_notices(m_hooks.log), m_load_summary(m_hooks.log) {
  if (!m_options.protocol.is_not_run_answer) {
    m_options.protocol.is_not_run_answer = has_not_run_verdict;
  }
}

std::uint64_t target_stage::submit(wire::callT request, instant deadline,
                                   outcome_handler handler,
                                   silence_handler on_silent) {
  const std::uint64_t ticket = ++m_last_id;
  if (const std::optional<reason> refused_for =
          check_admission(request, deadline)) {
    // Callers that are shed for a service below may return as soon as their
    // time limit suggests: the part that is let in does not depend on it.
    const std::chrono::milliseconds retry_after =
        *refused_for == reason::overloaded_below ? std::chrono::milliseconds(0)
                                                 : shed_retry_after;
    handler(refusal(*refused_for, verdict::not_run, retry_after));
    return ticket;
  }
  waiting_request w;
  w.id = ticket;
  w.team = request.team;
  w.weight = request.weight;
  w.rank = rank_of(request);
  w.wait = request.patient ? patience::patient : patience::impatient;
  w.depth = request.depth;
  w.min_share_percent = request.min_share_percent;
  w.deadline = deadline;
  w.queued_at = m_clock.now;
  const std::size_t body_bytes = request.body.size();
  m_body_bytes += body_bytes;
  m_queued_calls.emplace(
      ticket, queued_call{std::move(request), deadline, std::move(handler),
                          std::move(on_silent), body_bytes, m_clock.now});
  std::vector<shed_request> to_shed;
  m_queue.offer(std::move(w), queue_capacity(), to_shed);
  shed(to_shed);
  start_queued();
  return ticket;
}

void target_stage::cancel(std::uint64_t ticket) {
  if (m_queue.remove(ticket)) {
    finish_queued(ticket, refusal(reason::cancelled));
    return;
  }
  const auto it = m_run_by_ticket.find(ticket);
  if (it != m_run_by_ticket.end()) {
    m_runs.at(it->second).cancelled = true;
    m_hooks.cancel(it->second);
  }
}

void target_stage::on_result(std::uint64_t run_id, target_result result) {
  const auto it = m_runs.find(run_id);
  if (it == m_runs.end()) {
    return;
  }
  run r = std::move(it->second);
  it->second.ended = true;
  m_body_bytes -= r.body_bytes;
  update_limits(r, result);
  m_refused_part.add(is_overload_answer(result) ? 1 : 0, m_clock.now);
  m_load_summary.on_end(m_clock.now - r.started_at, is_overload_answer(result));
  m_level.on_run_ended(m_clock.now - r.started_at);
  m_attribution.on_run_ended(r.kind,
                             result.end == exchange_end::answered &&
                                 result.status >= http_status::internal_error,
                             m_clock.now);
  const bool moved = result.end == exchange_end::answered &&
                     m_options.protocol.is_moved_answer &&
                     m_options.protocol.is_moved_answer(result);
  update_crashes(r, result, moved);
  if (!moved) {
    update_notices(r, result);
  }
  if (moved || result.end != exchange_end::answered) {
    log_failed_run(r, result, moved);
  }
  const bool unreachable =
      result.end == exchange_end::not_connected && !r.cancelled && !r.withdrawn;
  m_instance_disproved |= moved && r.instance_number == m_instance_number;
  if (moved || unreachable) {
    // No requests are sent until the target announces itself again.
    stop_sending();
  }
  if (result.end == exchange_end::answered && !moved &&
      result.status < http_status::internal_error) {
    m_silence_detector.on_success(r.kind, r.started_at, m_clock.now);
  }
  m_silent_runs -= r.silent ? 1 : 0;
  m_runs.erase(run_id);
  m_run_by_ticket.erase(r.ticket);
  if (m_suspect_run == run_id) {
    m_suspect_run = 0;
  }
  if (m_on_run_ended && !moved) {
    report_end(r, result);
  }
  outcome o = make_outcome(r, std::move(result), moved);
  o.retries_used = m_span_retry_budgets.close(r.span_id);
  o.nested_overload = failed_on_nested_overload(r, o);
  if (!r.route.empty() && !r.cancelled) {
    // What is short of room asks for less by its level, for all routes alike.
    const bool level_answers_it =
        m_level_below.value(m_clock.now) > min_effective_level;
    m_downstream.on_end(r.route, r.rank, o.nested_overload && !level_answers_it,
                        m_clock.now);
  }
  r.handler(std::move(o));
  start_queued();
}

void target_stage::on_announce(const target_announcement& a) {
  if (!is_credible_start(a.instance, a.start_time_ms)) {
    return;
  }
  if (is_outdated(a)) {
    add_draining(a);
    return;
  }
  const bool new_instance =
      a.instance != m_instance || a.start_time_ms != m_start_time_ms;
  const bool begins_to_drain =
      a.draining && (new_instance || !m_announced_draining);
  if (new_instance) {
    if (m_target_draining) {
      m_crash_detector.on_planned_end();
    }
    m_crash_detector.on_instance_ended(instance_end::replaced, m_clock.now);
    m_limit.on_target_restart();
    m_knee.on_target_restart();
    m_silence_detector.on_target_restart();
    ++m_instance_number;
    m_notices.on_new_instance(a.instance, a.start_time_ms, m_clock.now);
    m_hooks.log(event_id::target_announced, {{"instance", a.instance}});
  }
  m_instance = a.instance;
  m_version = a.version;
  m_instance_disproved = false;
  m_start_time_ms = a.start_time_ms;
  m_sequence = a.sequence;
  m_announced_at = m_clock.now;
  m_announced_draining = a.draining;
  if (begins_to_drain) {
    add_draining(a);
    m_notices.on_draining(a.sequence);
  }
  // Its heartbeats may still report a target in service.
  m_target_draining = a.draining || m_notices.leaving();
  m_max_concurrency = a.max_concurrency;
  update_cold_start(a, new_instance);
  m_ready = true;
  end_runs_of_earlier_instances();
  start_queued();
}

void target_stage::end_runs_of_earlier_instances() {
  std::vector<std::uint64_t> to_end;
  for (std::pair<const std::uint64_t, run>& it : m_runs) {
    run& r = it.second;
    if (r.instance_number != m_instance_number && !r.outlived) {
      r.outlived = true;
      to_end.push_back(it.first);
    }
  }
  for (const std::uint64_t it : to_end) {
    m_hooks.cancel(it);
  }
}

void target_stage::set_service(const std::string& service) {
  if (service != m_options.service) {
    m_options.service = service;
    m_crash_detector.on_instance_ended(instance_end::silent, m_clock.now);
    stop_sending();
  }
}

bool target_stage::on_deregister(const std::string& instance,
                                 std::uint64_t start_time_ms) {
  if (!is_credible_start(instance, start_time_ms)) {
    return false;
  }
  const bool start_time_known = start_time_ms != 0;
  const bool is_current_instance = instance == m_instance;
  // If neither the deregistration nor an announcement has given the start time
  // of the instance, all instances of the name that started before now have
  // left.
  const std::uint64_t left_start_time_ms =
      start_time_known      ? start_time_ms
      : is_current_instance ? m_start_time_ms
                            : static_cast<std::uint64_t>(m_clock.wall.count());
  add_departure(instance, left_start_time_ms, every_sequence);
  if (instance == m_instance &&
      (!start_time_known || start_time_ms == m_start_time_ms)) {
    m_target_draining = true;
    m_notices.on_goodbye(m_clock.now);
    m_crash_detector.on_planned_end();
    stop_sending();
  } else if (m_instance.empty()) {
    // Announced to an earlier process of this node.
    m_notices.on_new_instance(instance, left_start_time_ms, m_clock.now);
    m_notices.on_goodbye(m_clock.now);
  } else {
    // The instance may have started again under its name without having been
    // announced since.
    check_departed();
  }
  return true;
}

void target_stage::add_departure(const std::string& instance,
                                 std::uint64_t start_time_ms,
                                 std::uint64_t last_sequence) {
  m_departed.add({instance, start_time_ms, last_sequence, m_clock.wall,
                  instance == m_instance});
}

void target_stage::add_draining(const target_announcement& a) {
  // Without a number no announcement that was sent before can be recognized.
  if (a.draining && a.sequence != 0) {
    add_departure(a.instance, a.start_time_ms, a.sequence);
  }
}

void target_stage::check_departed() {
  const bool departed =
      !m_instance.empty() && !m_target_draining &&
      m_departed.contains(m_instance, m_start_time_ms, m_sequence);
  if (!departed) {
    return;
  }
  m_target_draining = true;
  if (m_departed.contains(m_instance, m_start_time_ms, every_sequence)) {
    m_notices.on_goodbye(m_clock.now);
  }
  m_crash_detector.on_planned_end();
  stop_sending();
}

bool target_stage::is_credible_start(const std::string& instance,
                                     std::uint64_t start_time_ms) const {
  const wall_time latest = m_clock.wall + max_clock_difference;
  if (start_time_ms <= static_cast<std::uint64_t>(latest.count())) {
    return true;
  }
  // All later announcements of the target would look older.
  m_hooks.log(event_id::announcement_ignored,
              {{"instance", instance},
               {"start_time_ms", std::to_string(start_time_ms)}});
  return false;
}

bool target_stage::is_outdated(const target_announcement& a) const {
  const bool started_earlier =
      a.start_time_ms < m_start_time_ms && !m_instance_disproved;
  if (m_departed.contains(a.instance, a.start_time_ms, a.sequence) ||
      started_earlier) {
    // Sent by an instance that has ended, and delayed in transit.
    return true;
  }
  const bool same_instance =
      a.instance == m_instance && a.start_time_ms == m_start_time_ms;
  return same_instance && a.sequence != 0 && a.sequence <= m_sequence;
}

void target_stage::tick() {
  m_crash_detector.tick(m_clock.now);
  m_load_summary.tick(limit(), m_clock.now);
  m_level.update(capacity(), m_queue.size(), m_clock.now);
  const bool silent = m_clock.now - m_announced_at > m_options.announce_timeout;
  if (m_ready && silent) {
    m_hooks.log(event_id::target_silent, {{"instance", m_instance}});
    m_crash_detector.on_instance_ended(instance_end::silent, m_clock.now);
    stop_sending();
  }
  find_silent_runs();
  shed_unfinishable();
  refuse_for_leaving_target();
  start_queued();
}

void target_stage::find_silent_runs() {
  // They start attempts elsewhere, and may end runs here.
  std::vector<silence_handler> handlers;
  for (std::pair<const std::uint64_t, run>& it : m_runs) {
    run& r = it.second;
    const bool newly_silent =
        !r.silent && !r.cancelled &&
        m_silence_detector.is_silent(r.kind, r.started_at, m_clock.now);
    if (!newly_silent) {
      continue;
    }
    // It is not cancelled: its answer may still come.
    r.silent = true;
    ++m_silent_runs;
    m_limit.on_failure(m_clock.now);
    m_hooks.log(
        event_id::run_silent,
        {{"request", r.request_id},
         {"instance", m_instance},
         {"ran_us", std::to_string((m_clock.now - r.started_at).count())},
         {"in_flight", std::to_string(m_runs.size())}});
    if (r.on_silent) {
      handlers.push_back(std::move(r.on_silent));
    }
  }
  for (const silence_handler& it : handlers) {
    it();
  }
}

void target_stage::refuse_for_leaving_target() {
  if (!m_target_draining && !m_out_of_service) {
    m_last_in_service = m_clock.now;
  } else if (m_clock.now - m_last_in_service >= max_start_after_leaving) {
    refuse_queued(reason::draining);
    withdraw_unsent();
  }
}

void target_stage::withdraw_unsent() {
  if (!m_hooks.withdraw) {
    return;
  }
  std::vector<std::uint64_t> to_withdraw;
  for (std::pair<const std::uint64_t, run>& it : m_runs) {
    if (!std::exchange(it.second.withdrawn, true)) {
      to_withdraw.push_back(it.first);
    }
  }
  for (const std::uint64_t it : to_withdraw) {
    m_hooks.withdraw(it);
  }
}

void target_stage::start_draining(instant finish_by) {
  m_draining = true;
  m_finish_by = finish_by;
}

void target_stage::shed_unfinishable() {
  // If a request is refused now its caller gets the answer before the deadline
  // and knows that it has not run.
  const instant earliest_finish = m_clock.now + m_limit.baseline_latency();
  const auto late = [earliest_finish](const waiting_request& w) {
    return w.deadline <= earliest_finish;
  };
  for (const waiting_request& it : m_queue.remove_if(late)) {
    finish_queued(it.id, refusal(reason::deadline));
  }
  if (m_finish_by <= earliest_finish) {
    refuse_queued(reason::draining);
  }
}

void target_stage::stop_sending() {
  m_ready = false;
  m_may_have_restarted = true;
  refuse_queued(reason::no_target);
}

void target_stage::refuse_queued(reason why) {
  const auto any_request = [](const waiting_request&) { return true; };
  for (const waiting_request& it : m_queue.remove_if(any_request)) {
    finish_queued(it.id, refusal(why));
  }
}

void target_stage::set_out_of_service(bool out) {
  if (m_out_of_service && !out) {
    m_limit.on_target_restart();
  }
  m_out_of_service = out;
}

void target_stage::assume_cold() {
  const bool cold_before = cold();
  m_assumed_cold_since = m_clock.now;
  log_if_cold(cold_before, "assumed");
}

void target_stage::set_cold_start(const std::optional<cold_start_settings>& s) {
  m_cold_start = s;
  m_cold_start_bucket.resize(s ? s->requests_per_s : 0, cold_burst,
                             m_clock.now);
}

void target_stage::update_cold_start(const target_announcement& a,
                                     bool new_instance) {
  const bool cold_before = !new_instance && cold();
  m_announced_cold_until = m_clock.now + a.cold_time_left;
  if (new_instance) {
    m_assumed_cold_since.reset();
  } else if (m_may_have_restarted) {
    m_assumed_cold_since = m_clock.now;
  }
  m_may_have_restarted = false;
  log_if_cold(cold_before, m_assumed_cold_since ? "assumed" : "announced");
}

bool target_stage::cold() const {
  const bool unlimited = m_cold_start && m_cold_start->requests_per_s <= 0;
  return !unlimited && m_clock.now < cold_until();
}

instant target_stage::cold_until() const {
  if (!m_assumed_cold_since) {
    return m_announced_cold_until;
  }
  const instant assumed = m_cold_start
                              ? *m_assumed_cold_since + m_cold_start->period
                              : instant::max();
  return std::max(m_announced_cold_until, assumed);
}

void target_stage::log_if_cold(bool cold_before, const char* source) const {
  if (cold_before || !cold()) {
    return;
  }
  const duration left = cold_until() - m_clock.now;
  m_hooks.log(event_id::target_cold,
              {{"instance", m_instance},
               {"source", source},
               {"cold_ms", std::to_string(left / std::chrono::milliseconds(1))},
               {"rate_per_s", m_cold_start
                                  ? std::to_string(m_cold_start->requests_per_s)
                                  : "unknown"}});
}

void target_stage::refuse_withdrawn_keys(
    const std::vector<std::string>& key_ids) {
  const auto withdrawn = [this, &key_ids](const waiting_request& w) {
    const std::string& id = m_queued_calls.at(w.id).request.api_key_id;
    return std::find(key_ids.begin(), key_ids.end(), id) != key_ids.end();
  };
  for (const waiting_request& it : m_queue.remove_if(withdrawn)) {
    finish_queued(it.id, refusal(reason::withdrawn_key));
  }
}

bool target_stage::accept_epoch(std::uint32_t slot, std::uint64_t epoch) {
  std::uint64_t& highest = m_epochs[slot];
  if (epoch < highest) {
    return false;
  }
  highest = epoch;
  return true;
}

std::optional<reason> target_stage::check_admission(const wire::callT& request,
                                                    instant deadline) {
  if (m_draining || m_target_draining || m_out_of_service) {
    return reason::draining;
  }
  if (!m_ready || request.service != m_options.service) {
    return reason::no_target;
  }
  if (!m_departures_known) {
    return reason::starting;
  }
  if (deadline <= m_clock.now) {
    return reason::deadline;
  }
  if (m_quarantine.is_quarantined(request.digest, m_clock.now)) {
    return reason::quarantined;
  }
  if (m_call_check) {
    if (const std::optional<reason> refused_for = m_call_check(request)) {
      return refused_for;
    }
  }
  if (!has_room_for_body(request.body.size())) {
    return reason::queue_full;
  }
  if (m_options.plain_forwarding) {
    return std::nullopt;
  }
  if (cold() && !m_cold_start) {
    return reason::starting;
  }
  if (sheds_for_chain(request)) {
    return reason::overloaded_below;
  }
  m_level.on_arrival();
  const std::size_t ahead =
      m_queue.count_ahead(rank_of(request), request.team, request.weight);
  const duration longest_wait = max_wait(deadline);
  const bool over_rate_limit =
      request.patient &&
      m_notices.rate_limit().time_until_starts(ahead + 1, m_clock.now) >
          std::min(longest_wait, max_rate_limit_wait);
  if (over_rate_limit) {
    return reason::target_rate_limited;
  }
  const bool must_wait = cold() || busy() >= limit();
  const bool too_late =
      must_wait && request.patient && expected_wait(ahead) > longest_wait;
  if (too_late) {
    return reason::shed;
  }
  m_downstream.set_pressure(m_pressure_below.value(m_clock.now));
  const bool limited =
      !request.route.empty() &&
      !m_downstream.admit(request.route, rank_of(request), m_clock.now);
  if (limited) {
    return reason::overloaded_below;
  }
  return std::nullopt;
}

bool target_stage::sheds_for_chain(const wire::callT& request) {
  return !request.route.empty() &&
         m_attribution.makes_calls(kind_of(request), m_clock.now) &&
         !m_shedder.admit(request.route, rank_of(request),
                          m_level_below.value(m_clock.now));
}

bool target_stage::has_room_for_body(std::size_t body_bytes) const {
  const std::size_t reserve = body_bytes > m_options.large_body_bytes
                                  ? m_options.max_body_bytes / 4
                                  : 0;
  return m_body_bytes + body_bytes + reserve <= m_options.max_body_bytes;
}

void target_stage::start_queued() {
  std::vector<shed_request> to_shed;
  while (m_ready && m_clock.now < m_finish_by && busy() < max_running() &&
         m_queue.size() > 0 && allows_start()) {
    const duration service_time =
        m_options.plain_forwarding ? duration(0) : m_limit.baseline_latency();
    std::optional<waiting_request> w =
        m_queue.take(m_clock.now, service_time, to_shed);
    if (!w) {
      break;
    }
    const auto it = m_queued_calls.find(w->id);
    const std::uint64_t digest = it->second.request.digest;
    if (m_quarantine.is_quarantined(digest, m_clock.now)) {
      to_shed.push_back({w->id, reason::quarantined});
      continue;
    }
    if (m_quarantine.must_run_alone(digest, m_clock.now) && suspect_running()) {
      // Only one such request runs at a time, so that another crash identifies
      // its cause. This one is shed rather than left to block the queue.
      to_shed.push_back({w->id, reason::shed});
      continue;
    }
    queued_call call = std::move(it->second);
    m_queued_calls.erase(it);
    start(w->id, std::move(call));
  }
  shed(to_shed);
}

void target_stage::start(std::uint64_t ticket, queued_call call) {
  const std::uint64_t id = ++m_last_id;
  run r;
  r.ticket = ticket;
  r.request_id = call.request.request_id;
  r.route = call.request.route;
  r.rank = rank_of(call.request);
  r.digest = call.request.digest;
  r.span_id = placement_hash(m_options.service + std::to_string(id) + "/" +
                             std::to_string(m_clock.wall.count()));
  r.instance_number = m_instance_number;
  r.started_at = m_clock.now;
  r.deadline = std::min(call.deadline, m_finish_by);
  r.idempotent = call.request.idempotent;
  r.cold = m_clock.now < cold_until();
  r.kind = kind_of(call.request);
  r.running = busy() + 1;
  r.body_bytes = call.body_bytes;
  r.handler = std::move(call.handler);
  r.on_silent = std::move(call.on_silent);
  if (m_quarantine.must_run_alone(r.digest, m_clock.now)) {
    m_suspect_run = id;
  }
  if (cold()) {
    m_cold_start_bucket.take(m_clock.now);
  }
  m_notices.rate_limit().on_start(m_clock.now);
  m_span_retry_budgets.open(r.span_id, call.request.retries);
  const duration left = r.deadline - m_clock.now;
  target_request out =
      m_options.protocol.encode
          ? m_options.protocol.encode(call.request, m_instance, left)
          : make_target_request(call.request, r.span_id, left);
  out.time_left = left + m_options.answer_grace;
  out.body = std::move(call.request.body);
  m_run_by_ticket[ticket] = id;
  m_attribution.on_run_started(r.kind);
  m_runs.emplace(id, std::move(r));
  ++m_started;
  m_load_summary.on_start(m_clock.now - call.queued_at, busy(), m_queue.size());
  m_hooks.run(id, std::move(out));
}

void target_stage::shed(const std::vector<shed_request>& to_shed) {
  for (const shed_request& it : to_shed) {
    finish_queued(it.id, refusal(it.why, verdict::not_run, shed_retry_after));
  }
}

void target_stage::finish_queued(std::uint64_t ticket, const outcome& o) {
  const auto it = m_queued_calls.find(ticket);
  if (it == m_queued_calls.end()) {
    return;
  }
  const outcome_handler handler = std::move(it->second.handler);
  m_body_bytes -= it->second.body_bytes;
  m_queued_calls.erase(it);
  handler(o);
}

target_request target_stage::make_target_request(const wire::callT& request,
                                                 std::uint64_t span_id,
                                                 duration time_left) const {
  const std::chrono::milliseconds left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  call_context context;
  context.team = request.team;
  context.api_key_id = request.api_key_id;
  context.deadline = m_clock.wall + left_ms;
  context.rank = static_cast<priority>(request.priority);
  context.retries = request.retries;
  context.depth = request.depth + 1;
  context.span_id = span_id;
  target_request out;
  out.method = request.method;
  out.path = request.path;
  out.headers = from_wire(request.headers);
  out.headers.push_back({std::string(header_names::context),
                         sign_context(context, m_options.fleet_secret)});
  out.headers.push_back(
      {std::string(header_names::timeout_ms), std::to_string(left_ms.count())});
  out.echoed_header = {std::string(header_names::request_id),
                       std::to_string(span_id)};
  out.echo_required = false;
  out.headers.push_back(out.echoed_header);
  if (!request.idempotency_key.empty()) {
    out.headers.push_back(
        {std::string(header_names::idempotency_key), request.idempotency_key});
  }
  return out;
}

void target_stage::update_limits(const run& r, const target_result& result) {
  if (r.cancelled || r.instance_number != m_instance_number) {
    return;
  }
  const bool out_of_time =
      result.end == exchange_end::lost && m_clock.now >= r.deadline;
  if (out_of_time) {
    m_limit.on_deadline_exceeded(m_clock.now - r.started_at, m_runs.size(),
                                 m_clock.now);
    return;
  }
  if (result.end != exchange_end::answered || is_overload_answer(result)) {
    m_limit.on_failure(m_clock.now);
    return;
  }
  m_limit.on_answer(m_clock.now - r.started_at, m_runs.size(), m_clock.now);
  // Runs that make nested calls take as long as the services below.
  const bool makes_nested_calls = m_pressure_below.value(m_clock.now) > 0;
  if (m_max_concurrency > 0 && !r.cold && !makes_nested_calls &&
      result.status < http_status::internal_error) {
    m_knee.on_answer(r.kind, m_clock.now - r.started_at, r.running,
                     m_max_concurrency, m_clock.now);
  }
}

void target_stage::report_end(const run& r, const target_result& result) const {
  const bool failed_below = result.status >= http_status::internal_error &&
                            m_nested_overload_at >= r.started_at;
  const bool says_nothing = r.cancelled || r.cold || failed_below ||
                            r.instance_number != m_instance_number ||
                            is_overload_answer(result) ||
                            result.end == exchange_end::not_connected;
  if (says_nothing) {
    return;
  }
  const bool answered = result.end == exchange_end::answered;
  run_report out;
  out.kind = r.kind;
  out.lost = !answered && m_clock.now < r.deadline;
  out.failed = !answered || result.status >= http_status::internal_error;
  out.latency = m_clock.now - r.started_at;
  m_on_run_ended(out);
}

void target_stage::update_crashes(const run& r, const target_result& result,
                                  bool moved) {
  const bool answered = result.end == exchange_end::answered && !moved;
  // A request that is still at work at its deadline may crash the target yet.
  const bool finished = answered && !is_overload_answer(result) &&
                        result.status != http_status::gateway_timeout &&
                        !m_options.protocol.is_not_run_answer(result);
  if (finished) {
    m_quarantine.on_completed(r.digest, m_clock.now);
  }
  if (r.instance_number != m_instance_number) {
    return;
  }
  const crash_detector::run ended{r.digest, r.started_at};
  if (answered) {
    m_crash_detector.on_run_answered(ended, m_clock.now);
    return;
  }
  const bool in_time = !r.cancelled && m_clock.now < r.deadline;
  const bool sent = result.end == exchange_end::lost;
  if (sent && in_time && !m_target_draining) {
    m_crash_detector.on_run_lost(ended, m_clock.now);
  } else if (sent && !m_target_draining) {
    m_crash_detector.on_run_stopped(ended, m_clock.now);
  }
  if (moved) {
    m_crash_detector.on_instance_ended(instance_end::silent, m_clock.now);
  } else if (result.end == exchange_end::not_connected && !r.cancelled &&
             !r.withdrawn) {
    m_crash_detector.on_instance_ended(instance_end::refused, m_clock.now);
  }
}

void target_stage::update_notices(const run& r, const target_result& result) {
  const bool from_current_instance = result.end == exchange_end::answered &&
                                     r.instance_number == m_instance_number;
  if (!from_current_instance || !m_options.protocol.notice_of) {
    return;
  }
  m_notices.on_answer(m_options.protocol.notice_of(result), r.request_id,
                      m_clock.now);
  m_target_draining |= m_notices.leaving();
  if (m_notices.leaving()) {
    add_departure(m_instance, m_start_time_ms, every_sequence);
  }
}

void target_stage::on_reported_notice(const wire::target_noticeT& n) {
  const bool departed = n.leaving || n.draining_sequence != 0;
  if (departed && is_credible_start(n.instance, n.start_time_ms)) {
    add_departure(n.instance, n.start_time_ms,
                  n.leaving ? every_sequence : n.draining_sequence);
  }
  m_notices.on_reported(n, m_clock.now);
  m_target_draining |= m_notices.leaving();
  check_departed();
}

outcome target_stage::make_outcome(const run& r, target_result result,
                                   bool moved) const {
  switch (result.end) {
  case exchange_end::not_connected:
    return refusal(reason::target_unreachable);
  case exchange_end::lost: {
    const bool late = m_clock.now >= r.deadline;
    return refusal(r.cancelled        ? reason::cancelled
                   : late && r.silent ? reason::target_silent
                   : late             ? reason::deadline
                                      : reason::connection_lost,
                   verdict::may_have_run);
  }
  case exchange_end::answered:
    break;
  }
  if (moved) {
    const bool not_run = m_options.protocol.is_not_run_answer(result);
    return refusal(reason::no_target,
                   not_run ? verdict::not_run : verdict::may_have_run,
                   shed_retry_after);
  }
  if (is_overload_answer(result)) {
    if (m_options.protocol.is_not_run_answer(result)) {
      return refusal(reason::target_refused, verdict::not_run,
                     shed_retry_after);
    }
    if (r.idempotent) {
      return refusal(reason::target_refused, verdict::may_have_run,
                     shed_retry_after);
    }
  }
  outcome out;
  out.execution = verdict::ran;
  out.status = result.status;
  out.headers = std::move(result.headers);
  if (!m_options.protocol.encode) {
    // Between this node and the target only.
    remove_header(out.headers, header_names::request_id);
  }
  out.body = std::move(result.body);
  return out;
}

bool target_stage::failed_on_nested_overload(const run& r,
                                             const outcome& o) const {
  return o.refusal_reason == reason::none &&
         o.status >= http_status::internal_error &&
         m_nested_overload_at >= r.started_at;
}

void target_stage::log_failed_run(const run& r, const target_result& result,
                                  bool moved) {
  const char* end_kind = moved ? "moved"
                         : result.end == exchange_end::not_connected
                             ? "not_connected"
                         : r.cancelled ? "cancelled"
                         : r.outlived  ? "outlived"
                         : r.silent    ? "silent"
                                       : "lost";
  m_hooks.log(event_id::run_failed,
              {{"request", r.request_id},
               {"instance", m_instance},
               {"how", end_kind},
               {"digest", std::to_string(r.digest)},
               {"ran_us", std::to_string((m_clock.now - r.started_at).count())},
               {"in_flight", std::to_string(m_runs.size())}});
  if (result.partial.bytes > 0) {
    const partial_answer& p = result.partial;
    m_hooks.log(event_id::answer_incomplete,
                {{"request", r.request_id},
                 {"instance", m_instance},
                 {"bytes", std::to_string(p.bytes)},
                 {"head", p.head_complete ? "complete" : "cut"},
                 {"body_bytes", std::to_string(p.body_bytes)},
                 {"error", p.error}});
  }
}

std::vector<crash_detector::run> target_stage::running_at_instance() const {
  std::vector<crash_detector::run> out;
  for (const std::pair<const std::uint64_t, run>& it : m_runs) {
    const run& r = it.second;
    if (!r.ended && !m_target_draining &&
        r.instance_number == m_instance_number) {
      out.push_back({r.digest, r.started_at});
    }
  }
  return out;
}

std::size_t target_stage::queue_capacity() const {
  if (m_options.plain_forwarding) {
    return m_options.max_in_flight * queue_capacity_per_slot;
  }
  return std::max(min_queue_capacity, limit() * queue_capacity_per_slot);
}

duration target_stage::expected_service_time() const {
  if (m_options.plain_forwarding) {
    return duration(0);
  }
  // A request that starts with less time left than answers currently take
  // would only time out after it has occupied the target. Allows an eighth
  // more than the expected latency.
  const duration expected_latency =
      std::max(m_limit.baseline_latency(), m_limit.recent_latency());
  return expected_latency + expected_latency / 8;
}

duration target_stage::max_wait(instant deadline) const {
  // Half of the time that remains besides the run itself: estimates are rough,
  // and in a queue as long as all callers can wait, none would be answered in
  // time.
  const duration spare = deadline - m_clock.now - expected_service_time();
  return std::max(spare, duration(0)) / 2;
}

duration target_stage::expected_wait(std::size_t ahead) const {
  const duration time_per_request =
      std::max(m_limit.recent_latency(), duration(1));
  const duration by_concurrency =
      time_per_request * static_cast<int>(ahead + 1) /
      static_cast<int>(std::max<std::size_t>(1, limit()));
  if (!cold()) {
    return by_concurrency;
  }
  const double us = static_cast<double>(ahead + 1) /
                    m_cold_start_bucket.rate_per_s() * us_per_s;
  return std::max(by_concurrency, duration(static_cast<duration::rep>(us)));
}

std::size_t target_stage::concurrency_at(double rate_per_s) const {
  const double busy_s =
      static_cast<double>(
          std::max(m_limit.recent_latency(), min_busy_time).count()) /
      us_per_s;
  return static_cast<std::size_t>(
      std::max(1.0, std::ceil(rate_per_s * busy_s)));
}

std::size_t target_stage::limit() const {
  // A concurrency that the target announces is an upper bound; without one the
  // limit is learned.
  const std::size_t warm_limit =
      m_max_concurrency > 0
          ? std::min(m_knee.limit(m_max_concurrency, m_clock.now),
                     m_options.max_in_flight)
          : m_limit.limit();
  return cold() ? std::min(warm_limit,
                           concurrency_at(m_cold_start_bucket.rate_per_s()))
                : warm_limit;
}

std::size_t target_stage::capacity() const {
  return m_notices.rate_limit().active()
             ? std::min(limit(),
                        concurrency_at(m_notices.rate_limit().rate_per_s()))
             : limit();
}

double target_stage::load() const {
  return static_cast<double>(busy() + m_queue.size()) /
         static_cast<double>(std::max<std::size_t>(1, capacity()));
}

double target_stage::overload_level_of_chain() const {
  return std::max(m_level.value(), m_level_below.value(m_clock.now));
}

double target_stage::pressure() const {
  // A target that refuses a part of its requests bears the rest only.
  const double refused =
      std::min(max_refused_part, m_refused_part.value(m_clock.now));
  const double by_refusals = refused > min_refused_part ? 1 / (1 - refused) : 0;
  return std::max({load(), by_refusals, m_pressure_below.value(m_clock.now)});
}

std::size_t target_stage::max_running() const {
  if (m_options.plain_forwarding) {
    return m_options.max_in_flight;
  }
  const bool limit_unknown =
      m_options.protocol.notice_of && !m_notices.answered();
  return limit_unknown ? std::min(limit(), max_running_before_answer) : limit();
}

bool target_stage::allows_start() {
  const bool warm_enough =
      !cold() || m_cold_start_bucket.level(m_clock.now) >= 1;
  return warm_enough && m_notices.rate_limit().allows_start(m_clock.now);
}

} // namespace kingcupslip
