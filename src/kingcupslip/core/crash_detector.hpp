// Detects target crashes from lost runs, and which requests were running.
#ifndef KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP
#define KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcupslip {

/// Decides whether runs whose connections broke were lost in a crash of the
/// target, and reports crashes to the quarantine. A loss stays pending until
/// the target's next announcement or its silence. A new instance, or silence,
/// confirms a crash; a run that outlives the loss, or an announcement of the
/// same instance, refutes it.
class crash_detector {
public:
  /// Request digests by the id of their run at the target.
  using digests_by_run = std::map<std::uint64_t, std::uint64_t>;

  crash_detector(quarantine& crash_quarantine, event_sink log);

  /// The connection of a run broke before the run's deadline. `running`: all
  /// runs in progress just before, including this one.
  void on_run_lost(std::uint64_t run, const digests_by_run& running,
                   instant now);

  /// Confirms or drops the pending loss. `instance_ended`: a new instance has
  /// announced itself, or the target has become silent.
  void resolve(bool instance_ended, instant now);

private:
  struct loss {
    instant at{0};                          ///< of the first lost run
    std::vector<std::uint64_t> in_flight;   ///< digests
    std::set<std::uint64_t> remaining_runs; ///< not lost so far
  };

  void dismiss(const char* why);

  quarantine& m_quarantine;
  event_sink m_log;
  std::optional<loss> m_pending_loss;
};

} // namespace kingcupslip

#endif
