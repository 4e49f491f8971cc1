// Admission control next to a target: starts, queues or refuses requests.
#ifndef KINGCUPSLIP_CORE_TARGET_STAGE_HPP
#define KINGCUPSLIP_CORE_TARGET_STAGE_HPP

#include "kingcupslip/core/admission_queue.hpp"
#include "kingcupslip/core/concurrency_limit.hpp"
#include "kingcupslip/core/crash_detector.hpp"
#include "kingcupslip/core/departed_instances.hpp"
#include "kingcupslip/core/downstream_limit.hpp"
#include "kingcupslip/core/knee_detector.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/nested_call_attribution.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/overload_level.hpp"
#include "kingcupslip/core/pending_calls.hpp"
#include "kingcupslip/core/pressure_gauge.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/silence_detector.hpp"
#include "kingcupslip/core/span_retry_budget.hpp"
#include "kingcupslip/core/target_load_summary.hpp"
#include "kingcupslip/core/target_notices.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/core/token_bucket.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// A request as sent to the target. It does not contain the caller's API key.
struct target_request {
  std::string method;
  std::string path;
  std::vector<header> headers;
  body_bytes body;
  /// Time limit of the exchange, including the answer.
  duration time_left{0};
  /// An answer with another value of this header field belongs to another
  /// request and is skipped; so is one without the field, which belongs to no
  /// request. Empty if no answer repeats a request id.
  header echoed_header;
  /// False: the target may leave the field out of its answers. A connection
  /// with such an answer carries no other request.
  bool echo_required = true;
  /// The request gets a connection of its own, on which no copy of an earlier
  /// answer can arrive.
  bool exclusive_connection = false;
};

/// How an HTTP exchange with a target ended.
enum class exchange_end : std::uint8_t {
  answered,
  not_connected, ///< the request was not sent
  lost           ///< sent; then the connection broke or timed out
};

/// What had arrived of an answer when its exchange ended without it.
struct partial_answer {
  std::size_t bytes = 0; ///< as read; 0: nothing arrived
  bool head_complete = false;
  std::size_t body_bytes = 0;
  std::string error; ///< empty if the exchange was ended here
};

/// The result of an exchange with a target; the answer is set only if `end`
/// is `answered`.
struct target_result {
  exchange_end end = exchange_end::lost;
  std::uint16_t status = 0;
  std::vector<header> headers;
  body_bytes body;
  /// Set only if `end` is `lost`.
  partial_answer partial{};
};

/// A periodic announcement in which a target reports its state.
struct target_announcement {
  std::string instance; ///< name that the target gives itself
  /// Start of the instance in Unix milliseconds; distinguishes instances of
  /// the same name. 0 if the name differs at each start.
  std::uint64_t start_time_ms = 0;
  /// Increases with each announcement of an instance; 0 if not announced.
  std::uint64_t sequence = 0;
  std::string service;     ///< empty: the service in the settings
  std::string data_centre; ///< empty: not announced
  std::string version;     ///< of its software; empty: not announced
  bool draining = false;
  std::size_t max_concurrency = 0; ///< requests; 0: unknown
  duration cold_time_left{0};      ///< until it can take its full load
};

/// What the targets of a service need after they have started.
struct cold_start_settings {
  double requests_per_s = 0; ///< that a cold target can take; 0: no limit
  duration period{0};        ///< how long a target is cold
};

/// Encoding of requests and decoding of answers. Empty functions stand for the
/// product's own protocol.
struct target_protocol {
  std::function<target_request(const wire::callT& request,
                               const std::string& instance, duration time_left)>
      encode;
  /// Whether an answer states that the request has not run.
  std::function<bool(const target_result&)> is_not_run_answer;
  /// Whether an answer states that another target now has the address.
  std::function<bool(const target_result&)> is_moved_answer;
  /// What the target states about itself in an answer; null if the answer
  /// cannot be attributed to the target. If the function is empty, targets
  /// state nothing.
  std::function<std::optional<target_notice>(const target_result&)> notice_of;
};

/// Callbacks of the target stage.
struct target_hooks {
  /// Sends a request to the target; `on_result` receives its result.
  std::function<void(std::uint64_t run, target_request)> run;
  /// Aborts the exchange of a run; `on_result` is still called.
  std::function<void(std::uint64_t run)> cancel;
  event_sink log;
  /// Aborts the exchange of a run if the request has not been sent to the
  /// target yet; may be null.
  std::function<void(std::uint64_t run)> withdraw{};
};

/// How the target ended a run. Refusals, runs that were cancelled, runs of a
/// cold target and failures for a service below are not reported.
struct run_report {
  std::string kind; ///< of the request: host and first part of the path
  bool failed = false;
  bool lost = false; ///< the connection broke, or the target ended
  duration latency{0};
};

/// Told that a target does not work on a run.
using silence_handler = std::function<void()>;

/// Settings of the target stage.
struct target_options {
  std::string service;
  std::string fleet_secret;
  std::size_t max_in_flight = 1000;
  /// Memory for the bodies of requests that are queued or running. Beyond it
  /// requests are refused. A quarter is left to bodies of up to
  /// `large_body_bytes`.
  std::size_t max_body_bytes = 32UL * 1024 * 1024;
  std::size_t large_body_bytes = 64UL * 1024;
  bool plain_forwarding = false; ///< baseline for benchmarks: no limits
  /// A target that has not announced itself for this long is unavailable.
  duration announce_timeout = std::chrono::milliseconds(2500);
  /// How long to wait for an answer after the deadline of its run.
  duration answer_grace{0};
  target_protocol protocol;
};

/// Starts, queues or refuses the requests for the local target, and learns from
/// its answers how many it can run at once.
///
/// Invariant: at most limit() runs are not silent, except after the limit has
/// shrunk while more requests were running.
class target_stage {
public:
  target_stage(target_options options, target_hooks hooks,
               const clock_reading& clock, quarantine& crash_quarantine);

  /// Starts, queues or refuses a request. `handler` is called exactly once,
  /// possibly before this function returns. `on_silent`, which may be null, is
  /// called at most once, before that, if the target does not work on the run.
  /// Returns a ticket for `cancel`.
  std::uint64_t submit(wire::callT request, instant deadline,
                       outcome_handler handler,
                       silence_handler on_silent = nullptr);
  /// Cancels a queued or running request; ignored once it has ended.
  void cancel(std::uint64_t ticket);

  /// Called for each call before it is admitted; a reason refuses it.
  void set_call_check(
      std::function<std::optional<reason>(const wire::callT&)> check) {
    m_call_check = std::move(check);
  }
  void set_on_run_ended(std::function<void(const run_report&)> hook) {
    m_on_run_ended = std::move(hook);
  }

  /// Handles the end of an exchange that `target_hooks::run` has started.
  void on_result(std::uint64_t run, target_result result);

  /// Handles an announcement of the target. Outdated ones are ignored, but that
  /// their instance drains is remembered.
  void on_announce(const target_announcement& a);

  /// Applies a change of the settings: the address belongs to a target of this
  /// service from now on. Requests that wait for the earlier one are refused.
  void set_service(const std::string& service);

  /// Handles the deregistration of an instance of the target. It receives no
  /// more requests until another instance announces itself. Returns false if no
  /// instance can have started at this time.
  bool on_deregister(const std::string& instance, std::uint64_t start_time_ms);

  /// Whether the departures of instances that earlier processes of this node
  /// have acknowledged are known. Until then the target gets no requests: its
  /// announcement may be a delayed one.
  void set_departures_known(bool known) { m_departures_known = known; }
  /// Stops sending requests to the current instance if it is among the departed
  /// ones, which another process of this node may have added to.
  void check_departed();
  departed_instances& departed() { return m_departed; }

  /// Handles what another node remembers of the target's notices.
  void on_reported_notice(const wire::target_noticeT& n);

  /// Detects that the target has become silent, and starts or refuses queued
  /// requests.
  void tick();
  /// Refuses new requests from now on. Queued ones get until `finish_by`, when
  /// the process has to exit, and those that cannot finish by then are refused.
  void start_draining(instant finish_by);

  /// Takes the target out of service or back in, as operators decide for it or
  /// its data centre. The learned limit restarts when it comes back in.
  void set_out_of_service(bool out);

  /// A nested call of the target was refused because of overload, by this node
  /// or further downstream.
  void on_nested_overload() {
    m_nested_overload_at = m_clock.now;
    m_attribution.on_call_refused(m_clock.now);
  }
  /// A nested call of the target began, or ended.
  void on_nested_started() { m_attribution.on_call_started(m_clock.now); }
  void on_nested_ended() { m_attribution.on_call_ended(); }
  /// The reply to a nested call of the target reported this pressure, and how
  /// much load its callers should shed.
  void on_nested_pressure(double pressure, double level) {
    m_pressure_below.add(pressure, m_clock.now);
    m_level_below.add(level, m_clock.now);
  }
  /// Of the target, or of what its nested calls need, whichever is greater.
  double overload_level_of_chain() const;
  /// On the target, or on what its nested calls need, whichever is greater.
  double pressure() const;

  /// Treats the target as cold for the period of a cold start, whatever its
  /// current instance announces: an announcement may be older than this call.
  void assume_cold();
  /// Null: not known yet. Until it is, a cold target gets no requests.
  void set_cold_start(const std::optional<cold_start_settings>& s);

  /// Refuses queued requests whose API key was withdrawn.
  void refuse_withdrawn_keys(const std::vector<std::string>& key_ids);

  /// Records the epoch of a key slot. Returns false if a newer one is known:
  /// the call comes from a former owner of the slot and must be refused.
  bool accept_epoch(std::uint32_t slot, std::uint64_t epoch);

  bool ready() const {
    return m_ready && m_departures_known && !m_draining && !m_target_draining &&
           !m_out_of_service;
  }
  std::size_t in_flight() const { return m_runs.size(); }
  std::size_t queued() const { return m_queue.size(); }
  /// The number of requests that may currently run at once.
  std::size_t limit() const;
  /// The concurrency that other nodes balance by: limit(), or what the rate
  /// that the target asks for keeps busy, if that is less.
  std::size_t capacity() const;
  /// The service of the target, from the settings.
  const std::string& service() const { return m_options.service; }
  const std::string& instance() const { return m_instance; }
  /// Of the target's software, as it last announced it.
  const std::string& version() const { return m_version; }
  bool idle() const { return m_runs.empty() && m_queue.size() == 0; }
  /// What the target states about itself.
  const target_notices& notices() const { return m_notices; }
  /// Requests sent to the target so far.
  std::uint64_t started() const { return m_started; }
  span_retry_budget& span_retry_budgets() { return m_span_retry_budgets; }

private:
  struct queued_call {
    wire::callT request;
    instant deadline{0};
    outcome_handler handler;
    silence_handler on_silent;
    std::size_t body_bytes = 0;
    instant queued_at{0};
  };
  /// A request in progress at the target.
  struct run {
    std::uint64_t ticket = 0;
    std::string request_id;
    std::string route; ///< empty for nested calls
    priority rank = priority::normal;
    std::uint64_t digest = 0;
    std::uint64_t span_id = 0;
    std::uint64_t instance_number = 0;
    instant started_at{0};
    instant deadline{0};
    std::string kind;        ///< of the request, for the silence detector
    std::size_t running = 0; ///< runs when it started, itself included
    bool idempotent = true;
    bool cold = false; ///< the target was cold when it started
    bool cancelled = false;
    bool silent = false;   ///< the target does not work on it
    bool ended = false;    ///< its result is being handled
    bool outlived = false; ///< another instance runs at the address now
    /// The target leaves, and must not get the request any more if it has not
    /// been sent.
    bool withdrawn = false;
    std::size_t body_bytes = 0;
    outcome_handler handler;
    silence_handler on_silent;
  };

  std::optional<reason> check_admission(const wire::callT& request,
                                        instant deadline);
  /// Whether a request is shed because of overload below the target.
  bool sheds_for_chain(const wire::callT& request);
  void start(std::uint64_t ticket, queued_call call);
  void start_queued();
  void shed(const std::vector<shed_request>& to_shed);
  void finish_queued(std::uint64_t ticket, const outcome& o);
  target_request make_target_request(const wire::callT& request,
                                     std::uint64_t span_id,
                                     duration time_left) const;
  void update_limits(const run& r, const target_result& result);
  void update_crashes(const run& r, const target_result& result, bool moved);
  /// `moved`: another target has the address now.
  outcome make_outcome(const run& r, target_result result, bool moved) const;
  /// Whether a run failed and a nested call was refused because of overload
  /// while it was in progress. Nested calls are not matched with runs, so the
  /// call may belong to another run.
  bool failed_on_nested_overload(const run& r, const outcome& o) const;
  /// Reports the end of a run, if it says something about the target.
  void report_end(const run& r, const target_result& result) const;
  /// Applies what the target states about itself in the answer of a run.
  void update_notices(const run& r, const target_result& result);
  /// Frees the places of runs that the target does not work on.
  void find_silent_runs();
  /// Whether there is memory for one more body.
  bool has_room_for_body(std::size_t body_bytes) const;
  /// Runs that the target works on.
  std::size_t busy() const { return m_runs.size() - m_silent_runs; }
  void log_failed_run(const run& r, const target_result& result, bool moved);
  /// Ends the runs of instances that another one has replaced: no answer can
  /// come, though their connections may be open.
  void end_runs_of_earlier_instances();
  /// The runs of the current instance that have not ended; none if it leaves,
  /// as it may end with them.
  std::vector<crash_detector::run> running_at_instance() const;
  bool suspect_running() const { return m_suspect_run != 0; }
  std::size_t queue_capacity() const;
  duration expected_service_time() const;
  duration max_wait(instant deadline) const;
  /// Time until a request with `ahead` others before it in the queue starts.
  duration expected_wait(std::size_t ahead) const;
  /// Requests in progress or queued, relative to the concurrency.
  double load() const;
  /// The number of requests that `rate_per_s` keeps busy.
  std::size_t concurrency_at(double rate_per_s) const;
  /// Whether the target is cold and bears fewer requests for that, as far as is
  /// known.
  bool cold() const;
  /// The end of the current cold start; in the past if there is none.
  instant cold_until() const;
  /// Whether the start rates of a cold target and of the target's own limit
  /// allow one more request now.
  bool allows_start();
  /// The number of requests that may be running now.
  std::size_t max_running() const;
  /// Refuses all queued requests and accepts none until the next announcement.
  void stop_sending();
  void refuse_queued(reason why);
  /// Refuses queued requests once the target has been leaving, or out of
  /// service, for too long to send it more.
  void refuse_for_leaving_target();
  /// Ends the runs that still wait for a connection to the target.
  void withdraw_unsent();
  /// Refuses queued requests that can no longer finish before their deadline,
  /// or before the process has to exit.
  void shed_unfinishable();
  bool is_outdated(const target_announcement& a) const;
  /// Remembers that an instance gets no more requests, whatever its
  /// announcements up to `last_sequence` report.
  void add_departure(const std::string& instance, std::uint64_t start_time_ms,
                     std::uint64_t last_sequence);
  void add_draining(const target_announcement& a);
  /// Whether an instance can have started at this time.
  bool is_credible_start(const std::string& instance,
                         std::uint64_t start_time_ms) const;
  void update_cold_start(const target_announcement& a, bool new_instance);
  /// Logs that the target is cold, if it was not before. `source` says how this
  /// node knows.
  void log_if_cold(bool cold_before, const char* source) const;

  target_options m_options;
  target_hooks m_hooks;
  const clock_reading& m_clock;
  quarantine& m_quarantine;
  crash_detector m_crash_detector;
  silence_detector m_silence_detector;
  concurrency_limit m_limit;
  knee_detector m_knee;
  downstream_limit m_downstream;
  pressure_gauge m_pressure_below;
  pressure_gauge m_level_below; ///< overload levels, from the same replies
  overload_level m_level;
  priority_shedder m_shedder;
  nested_call_attribution m_attribution;
  pressure_gauge m_refused_part; ///< of the runs, by the target itself
  admission_queue m_queue;
  span_retry_budget m_span_retry_budgets;
  std::unordered_map<std::uint64_t, queued_call> m_queued_calls; ///< by ticket
  std::map<std::uint64_t, run> m_runs;                           ///< by run id
  std::unordered_map<std::uint64_t, std::uint64_t> m_run_by_ticket;
  std::map<std::uint32_t, std::uint64_t> m_epochs; ///< highest by key slot
  std::uint64_t m_last_id = 0;                     ///< of tickets and runs
  std::uint64_t m_suspect_run = 0; ///< one that runs alone; 0: none
  std::size_t m_silent_runs = 0;   ///< of `m_runs`
  std::size_t m_body_bytes = 0;    ///< of queued and running requests
  std::function<std::optional<reason>(const wire::callT&)> m_call_check;
  std::function<void(const run_report&)> m_on_run_ended;
  std::string m_instance;
  std::string m_version;
  std::uint64_t m_start_time_ms = 0;
  std::uint64_t m_sequence = 0;
  /// The target at the address has stated that it is not `m_instance`.
  bool m_instance_disproved = false;
  departed_instances m_departed;
  bool m_departures_known = true;
  /// Counts the instances of the target. An answer of an earlier instance says
  /// nothing about the current one.
  std::uint64_t m_instance_number = 0;
  target_notices m_notices;
  target_load_summary m_load_summary;
  std::uint64_t m_started = 0;
  std::size_t m_max_concurrency = 0;
  std::optional<cold_start_settings> m_cold_start = cold_start_settings{};
  token_bucket m_cold_start_bucket;
  instant m_announced_cold_until{0};
  /// Set while the current instance may be colder than it announces.
  std::optional<instant> m_assumed_cold_since;
  /// The target may have ended and started again under its name since it last
  /// announced itself.
  bool m_may_have_restarted = false;
  instant m_announced_at{0};
  instant m_nested_overload_at{-1};
  bool m_ready = false;
  instant m_finish_by = instant::max(); ///< earlier than that once draining
  bool m_draining = false;
  bool m_out_of_service = false;
  bool m_target_draining = false;
  bool m_announced_draining = false; ///< in the last announcement
  /// When the target was last seen neither leaving nor out of service.
  instant m_last_in_service{0};
};

} // namespace kingcupslip

#endif
