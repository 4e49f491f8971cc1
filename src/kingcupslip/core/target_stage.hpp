// Admission beside the target: what starts, what waits, what is refused.
#ifndef KINGCUPSLIP_CORE_TARGET_STAGE_HPP
#define KINGCUPSLIP_CORE_TARGET_STAGE_HPP

#include "kingcupslip/core/admission_queue.hpp"
#include "kingcupslip/core/concurrency_limit.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/pending_calls.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/span_budget.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
  duration time_left{0};
};

/// How a run at the target ended.
enum class target_end : std::uint8_t {
  answered,
  not_connected, ///< the request was never written
  lost           ///< written, then the connection broke or timed out
};

struct target_result {
  target_end end = target_end::lost;
  std::uint16_t status = 0;
  std::vector<header> headers;
  body_bytes body;
};

struct target_hooks {
  std::function<void(std::uint64_t run, target_request)> run;
  std::function<void(std::uint64_t run)> cancel;
  event_sink log;
};

struct target_options {
  std::string service;
  std::string fleet_secret;
  std::size_t most_in_flight = 1000;
  bool plain_forwarding = false; ///< the bench's baseline: no admission
};

/// Invariant: in_flight() <= limit(), but for a limit that shrank while
/// more were running.
class target_stage {
public:
  target_stage(target_options options, target_hooks hooks,
               const clock_reading& clock, quarantine& crashes);

  /// Admits, queues or refuses. `handler` runs exactly once. Returns a
  /// ticket for `cancel`.
  std::uint64_t submit(wire::callT request, instant deadline,
                       outcome_handler handler);
  void cancel(std::uint64_t ticket);

  void on_result(std::uint64_t run, target_result result);

  /// The target says that it is there; `instance` differs at each start.
  void on_announce(const std::string& instance, bool draining);

  void tick();
  void start_draining() { m_draining = true; }

  /// Follows the operators' out mark of this target or its data centre.
  /// Coming back in begins like a cold start.
  void set_out(bool out);

  /// Refuses queued work of withdrawn keys.
  void refuse_keys(const std::vector<std::string>& key_ids);

  /// A slot's epoch was seen; calls of older epochs are refused from now.
  bool accept_epoch(std::uint32_t slot, std::uint64_t epoch);

  bool ready() const {
    return m_ready && !m_draining && !m_target_draining && !m_out;
  }
  std::size_t in_flight() const { return m_runs.size(); }
  std::size_t queued() const { return m_queue.size(); }
  std::size_t limit() const { return m_limit.limit(); }
  bool idle() const { return m_runs.empty() && m_queue.size() == 0; }
  span_budget& spans() { return m_spans; }

private:
  struct held_call {
    wire::callT request;
    instant deadline{0};
    outcome_handler handler;
  };
  struct run {
    std::uint64_t ticket = 0;
    std::uint64_t digest = 0;
    std::uint64_t span = 0;
    instant began{0};
    instant deadline{0};
    bool idempotent = true;
    bool cancelled = false;
    outcome_handler handler;
  };
  /// A loss that a crash may explain, until the target's next word.
  struct loss {
    instant at{0};
    std::vector<std::uint64_t> in_flight;
    std::set<std::uint64_t> runs_left;
  };

  std::optional<reason> refuse_at_once(const wire::callT& request,
                                       instant deadline) const;
  void start(std::uint64_t ticket, held_call call);
  void start_waiting();
  void shed(const std::vector<shed_request>& gone);
  void end_held(std::uint64_t ticket, const outcome& o);
  target_request to_target(const wire::callT& request, std::uint64_t span,
                           duration time_left) const;
  void learn(const run& r, const target_result& result);
  outcome judge(const run& r, target_result result) const;
  void note_loss(std::uint64_t run_id);
  void settle_loss(bool crashed);
  bool suspect_running() const { return m_suspect_run != 0; }
  std::size_t queue_capacity() const;
  duration time_to_serve() const;
  duration longest_wait(instant deadline) const;
  duration expected_wait(const wire::callT& request) const;

  target_options m_options;
  target_hooks m_hooks;
  const clock_reading& m_clock;
  quarantine& m_crashes;
  concurrency_limit m_limit;
  admission_queue m_queue;
  span_budget m_spans;
  std::unordered_map<std::uint64_t, held_call> m_held;
  std::map<std::uint64_t, run> m_runs;
  std::unordered_map<std::uint64_t, std::uint64_t> m_run_by_ticket;
  std::map<std::uint32_t, std::uint64_t> m_epochs;
  std::optional<loss> m_loss;
  std::uint64_t m_next = 0;
  std::uint64_t m_suspect_run = 0;
  std::string m_instance;
  instant m_announced_at{0};
  bool m_ready = false;
  bool m_draining = false;
  bool m_out = false;
  bool m_target_draining = false;
};

} // namespace kingcupslip

#endif
