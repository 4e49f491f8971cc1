// Tells from lost runs whether a target crashed, and on what.
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

/// A loss that a crash may explain is held until the target's next word: a
/// new life, or silence, says that it crashed; a run of the old life that
/// still goes on, or the old life announcing itself, disproves it.
class crash_detector {
public:
  /// Digests of requests by the runs that they have at the target.
  using digests_by_run = std::map<std::uint64_t, std::uint64_t>;

  crash_detector(quarantine& crash_quarantine, event_sink log);

  /// A run was lost before its deadline. `running`: what ran just before it
  /// was lost, itself included.
  void on_run_lost(std::uint64_t run, const digests_by_run& running,
                   instant now);

  /// The target's next word: whether its life has ended.
  void resolve(bool instance_ended, instant now);

private:
  struct loss {
    instant at{0};
    std::vector<std::uint64_t> in_flight; ///< digests
    std::set<std::uint64_t> remaining_runs;
  };

  quarantine& m_quarantine;
  event_sink m_log;
  std::optional<loss> m_pending_loss;
};

} // namespace kingcupslip

#endif
