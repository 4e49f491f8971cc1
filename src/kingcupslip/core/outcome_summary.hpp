// Counts by route how requests end, and logs the counts once a second.
#ifndef KINGCUPSLIP_CORE_OUTCOME_SUMMARY_HPP
#define KINGCUPSLIP_CORE_OUTCOME_SUMMARY_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace kingcupslip {

/// Log lines of single requests are limited, so that under overload most of
/// them are left out. The counts of a second are complete: they tell which
/// decision ended the requests of a route, and whether those were callers'
/// requests or nested calls, whose refusal wastes what their chain has done.
class outcome_summary {
public:
  explicit outcome_summary(event_sink log) : m_log(std::move(log)) {}

  /// A request ended `took` after its arrival. `nested`: a target made it.
  void on_outcome(const std::string& route, bool nested, const outcome& o,
                  duration took);

  /// Logs the counts of the last second if it is over.
  void tick(instant now);

private:
  static constexpr duration period = std::chrono::seconds(1);
  /// Further ones are not counted; operators' routes are fewer.
  static constexpr std::size_t max_routes = 64;

  struct counts {
    std::size_t answered = 0;
    std::size_t failed = 0;
    std::size_t failed_below = 0;
    std::size_t uncertain = 0;
    std::array<std::size_t, reason_count> refused{};
    std::size_t refused_total = 0;
    duration time{0};
  };

  void write(const std::pair<std::string, bool>& key, const counts& n) const;

  event_sink m_log;
  std::map<std::pair<std::string, bool>, counts> m_counts;
  instant m_period_start{0};
};

} // namespace kingcupslip

#endif
