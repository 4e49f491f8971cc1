// Bounds the lines that are logged in a second, by kind of event.
#ifndef KINGCUPSLIP_CORE_LOG_RATE_LIMITER_HPP
#define KINGCUPSLIP_CORE_LOG_RATE_LIMITER_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace kingcupslip {

/// Each kind of event has its own most, so that a flood of one kind hides
/// no other; answers have the least, failures and refusals more.
class log_rate_limiter {
public:
  /// Begins a new second where one has passed. Then the counts of what was
  /// left out in the last one, by name of the event, if there was anything.
  std::optional<event_fields> begin_period(instant now);

  /// Whether a line of this kind may be written in this second.
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
