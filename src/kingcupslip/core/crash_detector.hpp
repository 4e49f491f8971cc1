// Detects target crashes from lost runs, and which requests were running.
#ifndef KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP
#define KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace kingcupslip {

/// Decides whether runs whose connections broke were lost in a crash of the
/// target, and reports crashes to the quarantine. It is a crash if no run
/// outlives the loss and the instance is then seen to have ended: it refuses a
/// connection, falls silent, or another one announces itself. An answer to a
/// later request refutes it. An announcement of the same instance does not, as
/// it may have been sent before the loss.
class crash_detector {
public:
  /// Request digests by the id of their run at the target. Ids increase.
  using digests_by_run = std::map<std::uint64_t, std::uint64_t>;

  crash_detector(quarantine& crash_quarantine, event_sink log);

  /// The connection of a run broke before the run's deadline. `running`: all
  /// runs in progress just before, including this one.
  void on_run_lost(std::uint64_t run, const digests_by_run& running,
                   instant now);
  /// A run ended without an answer, for another cause.
  void on_run_stopped(std::uint64_t run, instant now);
  void on_run_answered(std::uint64_t run, instant now);

  /// The instance has refused a connection, has become silent, or another one
  /// has announced itself.
  void on_instance_ended(instant now);
  /// The instance leaves as planned: the losses so far are no crash.
  void on_planned_end();

  /// Drops losses that were not confirmed in time.
  void tick(instant now);

private:
  /// Runs that were lost together, and may have been in a crash.
  struct loss {
    instant at{0};            ///< of the first lost run
    digests_by_run in_flight; ///< all that ran then, without those answered
    digests_by_run remaining; ///< not ended so far
    std::uint64_t last_run = 0;
    bool instance_ended = false;
  };

  void on_run_ended(loss& l, std::uint64_t run);
  /// Reports the losses that are confirmed by now.
  void report_crashes(instant now);
  void dismiss(const loss& l, const char* why);

  quarantine& m_quarantine;
  event_sink m_log;
  std::vector<loss> m_losses;
};

} // namespace kingcupslip

#endif
