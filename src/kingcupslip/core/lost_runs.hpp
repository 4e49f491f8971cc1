// Reports crashes of targets whose nodes ended before they could do so.
#ifndef KINGCUPSLIP_CORE_LOST_RUNS_HPP
#define KINGCUPSLIP_CORE_LOST_RUNS_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace kingcupslip {

/// Remembers the runs of this node's requests that the nodes beside their
/// targets have reported lost. A crash is recorded by the node beside its
/// target, once it is sure; if that node ends before, this one records what it
/// knows of the crash.
///
/// Invariant: the number of remembered runs is bounded; the oldest is dropped.
class lost_runs {
public:
  lost_runs(quarantine& records, const member_table& members,
            member_table::random_source random, event_sink log,
            const clock_reading& clock);

  /// `node`, beside a target, has reported that the connection of a run broke.
  void on_run_lost(const std::string& node, std::uint64_t digest);
  void tick();

private:
  struct lost_run {
    std::string node;
    std::uint64_t incarnation = 0; ///< of the node
    std::uint64_t digest = 0;
    instant at{0};
  };

  bool has_ended(const lost_run& r) const;
  void report(const std::string& node);

  quarantine& m_records;
  const member_table& m_members;
  member_table::random_source m_random;
  event_sink m_log;
  const clock_reading& m_clock;
  std::deque<lost_run> m_runs; ///< in the order of `at`
  /// When to report the runs of a node that has ended.
  std::map<std::string, instant> m_report_at;
};

} // namespace kingcupslip

#endif
