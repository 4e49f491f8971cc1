// Counts what waits and runs at a target, and logs the counts once a second.
#ifndef KINGCUPSLIP_CORE_TARGET_LOAD_SUMMARY_HPP
#define KINGCUPSLIP_CORE_TARGET_LOAD_SUMMARY_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace kingcupslip {

/// Tells a target that has too little room from one that is given too little
/// work, and waits in its queue from slow runs.
class target_load_summary {
public:
  explicit target_load_summary(event_sink log) : m_log(std::move(log)) {}

  void on_start(duration waited, std::size_t running, std::size_t queued) {
    ++m_counts.starts;
    m_counts.waited += waited;
    m_counts.most_running = std::max(m_counts.most_running, running);
    m_counts.most_queued = std::max(m_counts.most_queued, queued);
  }
  /// `refused`: by the target itself.
  void on_end(duration ran, bool refused) {
    ++m_counts.ends;
    m_counts.ran += ran;
    m_counts.refused += refused ? 1 : 0;
  }

  /// Logs the counts of the last second if it is over, and the target was full
  /// in it or refused.
  void tick(std::size_t limit, instant now) {
    if (now - m_period_start < period) {
      return;
    }
    m_period_start = now;
    const counts n = std::exchange(m_counts, counts{});
    const bool was_full = n.starts > 0 && n.most_running >= limit;
    if (was_full || n.refused > 0) {
      m_log(event_id::target_load, {{"limit", std::to_string(limit)},
                                    {"running", std::to_string(n.most_running)},
                                    {"queued", std::to_string(n.most_queued)},
                                    {"starts", std::to_string(n.starts)},
                                    {"refused", std::to_string(n.refused)},
                                    {"waited_ms", mean_ms(n.waited, n.starts)},
                                    {"ran_ms", mean_ms(n.ran, n.ends)}});
    }
  }

private:
  static constexpr duration period = std::chrono::seconds(1);

  struct counts {
    std::size_t starts = 0;
    std::size_t ends = 0;
    std::size_t refused = 0;
    std::size_t most_running = 0;
    std::size_t most_queued = 0;
    duration waited{0}; ///< sum over starts
    duration ran{0};    ///< sum over ends
  };

  static std::string mean_ms(duration sum, std::size_t n) {
    return std::to_string(sum / static_cast<int>(std::max<std::size_t>(1, n)) /
                          std::chrono::milliseconds(1));
  }

  event_sink m_log;
  counts m_counts;
  instant m_period_start{0};
};

} // namespace kingcupslip

#endif
