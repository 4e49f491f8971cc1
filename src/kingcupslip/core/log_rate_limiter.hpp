// Limits the log lines per second, separately for each event.
#ifndef KINGCUPSLIP_CORE_LOG_RATE_LIMITER_HPP
#define KINGCUPSLIP_CORE_LOG_RATE_LIMITER_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace kingcupslip {

/// Limits the log lines of each event per second, so that a flood of one
/// event suppresses no other. Answered requests have the lowest limit; that of
/// refusals and of all other events is higher.
class log_rate_limiter {
public:
  /// Starts a new second if the last one has passed. Returns the numbers of
  /// lines that were suppressed in it, by event name; nothing if none were.
  std::optional<event_fields> begin_period(instant now);

  /// Whether a line of this event may be written in this second; counts it.
  bool admit(event_id id);

private:
  struct line_count {
    std::uint32_t written = 0;
    std::uint32_t suppressed = 0;
  };
  std::map<event_id, line_count> m_counts;
  instant m_period_start{0};
};

} // namespace kingcupslip

#endif
