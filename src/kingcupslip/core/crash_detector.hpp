// Detects target crashes from runs without an answer, and which requests may
// have caused them.
#ifndef KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP
#define KINGCUPSLIP_CORE_CRASH_DETECTOR_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kingcupslip {

/// How an instance of the target was seen to have ended.
enum class instance_end : std::uint8_t {
  replaced, ///< another instance has announced itself
  refused,  ///< it refuses connections
  silent    ///< it no longer announces itself, or is not at its address
};

/// Decides whether runs without an answer were lost in a crash of the target,
/// and reports crashes to the quarantine.
///
/// A crash ends each connection at once, later, or not at all. So it takes only
/// one broken connection, and no sign of life since: the run of a request that
/// was sent later is answered, or any run a while later. The crash is reported
/// once its instance is seen to have ended, or after a short time without a
/// sign of life, so that it is known if this node ends, too. Its causes may be
/// all runs that had no answer then. A later sign of life withdraws it.
class crash_detector {
public:
  /// A run of the current instance.
  struct run {
    std::uint64_t digest = 0;
    instant started_at{0};
  };
  /// Returns the runs of the current instance that have not ended.
  using run_source = std::function<std::vector<run>()>;

  crash_detector(quarantine& crash_quarantine, run_source running,
                 event_sink log);

  /// The connection of a run broke before the run's deadline.
  void on_run_lost(const run& r, instant now);
  /// A run that was sent ended without an answer, for another cause.
  void on_run_stopped(const run& r, instant now);
  void on_run_answered(const run& r, instant now);

  void on_instance_ended(instance_end how, instant now);
  /// The instance leaves as planned: the losses so far are no crash.
  void on_planned_end();

  /// Reports losses without a sign of life, and drops those that were not
  /// confirmed in time.
  void tick(instant now);

private:
  struct unanswered_run {
    run r;
    instant ended_at{0};
    bool broken = false; ///< its connection broke
  };
  /// A crash that was reported.
  struct report {
    std::uint64_t record = 0;
    instant lost_at{0};     ///< the last loss before it
    bool confirmed = false; ///< the instance was seen to have ended
    std::vector<std::uint64_t> digests;
  };

  void add(const run& r, bool broken, instant now);
  /// Reports the runs that are not in an earlier report of this instance:
  /// those without an answer, and those still running that had started by
  /// `started_by`.
  void report_crash(const char* how, instant started_by, instant now);
  void log_crash(const char* how,
                 const std::vector<std::uint64_t>& digests) const;
  /// Forgets what was lost by `lost_by`, and withdraws the reports of it.
  void dismiss(instant lost_by, const char* why);
  /// The same, but keeps reports that are confirmed.
  void dismiss_unconfirmed(instant lost_by);
  void dismiss_if(instant lost_by, const char* why,
                  const std::function<bool(const report&)>& withdrawn);
  /// Null if no connection broke.
  const unanswered_run* last_broken() const;

  quarantine& m_quarantine;
  run_source m_running;
  event_sink m_log;
  /// Of the current instance, without a sign of life since, in the order of
  /// their ends. Bounded.
  std::vector<unanswered_run> m_unanswered;
  std::vector<report> m_reports; ///< of the current instance
  instant m_reported_until{0};   ///< the last loss that a tick has reported
};

} // namespace kingcupslip

#endif
