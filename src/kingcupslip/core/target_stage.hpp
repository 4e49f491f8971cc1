// Admission beside the target: what starts, what waits, what is refused.
#ifndef KINGCUPSLIP_CORE_TARGET_STAGE_HPP
#define KINGCUPSLIP_CORE_TARGET_STAGE_HPP

#include "kingcupslip/core/admission_queue.hpp"
#include "kingcupslip/core/concurrency_limit.hpp"
#include "kingcupslip/core/crash_detector.hpp"
#include "kingcupslip/core/downstream_limit.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/pending_calls.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/span_retry_budget.hpp"
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

/// What goes to the target. The caller's key is not in it.
struct target_request {
  std::string method;
  std::string path;
  std::vector<header> headers;
  body_bytes body;
  /// Bounds the exchange, answer included.
  duration time_left{0};
  /// An answer whose field of this name has another value belongs to another
  /// request and is skipped; empty where targets name no request.
  header echoed_header;
};

/// How a run at the target ended.
enum class exchange_end : std::uint8_t {
  answered,
  not_connected, ///< the request was never written
  lost           ///< written, then the connection broke or timed out
};

struct target_result {
  exchange_end end = exchange_end::lost;
  std::uint16_t status = 0;
  std::vector<header> headers;
  body_bytes body;
};

/// What a target says of itself when it announces itself.
struct target_announcement {
  std::string instance; ///< the target's name for itself
  /// Start of this life in Unix milliseconds; tells lives of one name apart.
  /// 0 where names differ at each start.
  std::uint64_t start_time_ms = 0;
  /// Grows with each announcement of a life; 0 where it is not told.
  std::uint64_t sequence = 0;
  std::string service; ///< empty: as the settings say
  bool draining = false;
  std::size_t max_concurrency = 0; ///< requests it runs at once; 0: not known
  duration cold_time_left{0};      ///< how long it still bears little
};

/// How requests look to the target; the product's own form by default.
struct target_protocol {
  std::function<target_request(const wire::callT& request,
                               const std::string& instance, duration time_left)>
      encode;
  /// Whether an answer says that the request has not run.
  std::function<bool(const target_result&)> is_not_run_answer;
  /// Whether it says that another target has the address now.
  std::function<bool(const target_result&)> is_moved_answer;
};

struct target_hooks {
  std::function<void(std::uint64_t run, target_request)> run;
  std::function<void(std::uint64_t run)> cancel;
  event_sink log;
};

struct target_options {
  std::string service;
  std::string fleet_secret;
  std::size_t max_in_flight = 1000;
  bool plain_forwarding = false; ///< the bench's baseline: no admission
  /// Without an announcement for so long the target counts as gone.
  duration announce_timeout = std::chrono::milliseconds(2500);
  /// How long after its deadline a run's answer is still waited for.
  duration answer_grace{0};
  target_protocol protocol;
};

/// Invariant: in_flight() <= limit(), but for a limit that shrank while
/// more were running.
class target_stage {
public:
  target_stage(target_options options, target_hooks hooks,
               const clock_reading& clock, quarantine& crash_quarantine);

  /// Admits, queues or refuses. `handler` runs exactly once. Returns a
  /// ticket for `cancel`.
  std::uint64_t submit(wire::callT request, instant deadline,
                       outcome_handler handler);
  void cancel(std::uint64_t ticket);

  void on_result(std::uint64_t run, target_result result);

  /// The target says that it is there; `instance` differs at each start.
  void on_announce(const target_announcement& a);

  /// The target was reported to have left; it gets nothing more until
  /// another instance announces itself.
  void on_deregister(const std::string& instance, std::uint64_t start_time_ms);

  void tick();
  void start_draining() { m_draining = true; }

  /// Follows the operators' out mark of this target or its data centre.
  /// Coming back in begins like a cold start.
  void set_out_of_service(bool out);

  /// A call that the target made was refused for overload, here or further
  /// down.
  void on_nested_overload() { m_nested_overload_at = m_clock.now; }

  /// Treats the target as cold until its next announcement.
  void assume_cold(duration period);
  /// Requests a second that a cold target bears; 0: no limit.
  void set_cold_rate(double per_s);

  /// Refuses queued work of withdrawn keys.
  void refuse_withdrawn_keys(const std::vector<std::string>& key_ids);

  /// A slot's epoch was seen; calls of older epochs are refused from now.
  bool accept_epoch(std::uint32_t slot, std::uint64_t epoch);

  bool ready() const {
    return m_ready && !m_draining && !m_target_draining && !m_out_of_service;
  }
  std::size_t in_flight() const { return m_runs.size(); }
  std::size_t queued() const { return m_queue.size(); }
  /// Requests that may run at once now.
  std::size_t limit() const;
  /// The service of the target.
  const std::string& service() const { return m_service; }
  const std::string& instance() const { return m_instance; }
  bool idle() const { return m_runs.empty() && m_queue.size() == 0; }
  span_retry_budget& retry_budgets() { return m_retry_budgets; }

private:
  struct queued_call {
    wire::callT request;
    instant deadline{0};
    outcome_handler handler;
  };
  struct run {
    std::uint64_t ticket = 0;
    std::string request_id;
    std::string route; ///< empty for calls that targets make
    priority rank = priority::normal;
    std::uint64_t digest = 0;
    std::uint64_t span_id = 0;
    instant started_at{0};
    instant deadline{0};
    bool idempotent = true;
    bool cancelled = false;
    outcome_handler handler;
  };

  std::optional<reason> check_admission(const wire::callT& request,
                                        instant deadline);
  void start(std::uint64_t ticket, queued_call call);
  void start_queued();
  void shed(const std::vector<shed_request>& to_shed);
  void finish_queued(std::uint64_t ticket, const outcome& o);
  target_request make_target_request(const wire::callT& request,
                                     std::uint64_t span_id,
                                     duration time_left) const;
  void update_limits(const run& r, const target_result& result);
  /// `moved`: another target has the address and did not run it.
  outcome make_outcome(const run& r, target_result result, bool moved) const;
  /// Whether a run failed for want of a nested call.
  bool failed_on_nested_overload(const run& r, const outcome& o) const;
  void log_failed_run(const run& r, const target_result& result, bool moved);
  crash_detector::digests_by_run running_digests() const;
  bool suspect_running() const { return m_suspect_run != 0; }
  std::size_t queue_capacity() const;
  duration expected_service_time() const;
  duration max_wait(instant deadline) const;
  duration expected_wait(const wire::callT& request) const;
  bool cold() const {
    return m_clock.now < m_cold_until && m_cold_start_bucket.rate_per_s() > 0;
  }
  /// Takes one of the starts that a cold target bears, if there is one now.
  bool take_cold_start_token();
  void stop_sending();
  void shed_unfinishable();
  bool is_outdated(const target_announcement& a) const;

  target_options m_options;
  target_hooks m_hooks;
  const clock_reading& m_clock;
  quarantine& m_quarantine;
  crash_detector m_crash_detector;
  concurrency_limit m_limit;
  downstream_limit m_downstream;
  admission_queue m_queue;
  span_retry_budget m_retry_budgets;
  std::unordered_map<std::uint64_t, queued_call> m_queued_calls;
  std::map<std::uint64_t, run> m_runs;
  std::unordered_map<std::uint64_t, std::uint64_t> m_run_by_ticket;
  std::map<std::uint32_t, std::uint64_t> m_epochs;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_suspect_run = 0;
  std::string m_service;
  std::string m_instance;
  std::uint64_t m_start_time_ms = 0;
  std::uint64_t m_sequence = 0;
  std::string m_left_instance;
  std::uint64_t m_left_start_time_ms = 0;
  std::size_t m_max_concurrency = 0;
  instant m_cold_until{0};
  token_bucket m_cold_start_bucket;
  instant m_announced_at{0};
  instant m_nested_overload_at{-1};
  bool m_ready = false;
  bool m_draining = false;
  bool m_out_of_service = false;
  bool m_target_draining = false;
};

} // namespace kingcupslip

#endif
