// Counts log lines by event within each second.
#include "kingcupslip/core/log_rate_limiter.hpp"

#include <string>

namespace kingcupslip {

namespace {

constexpr duration period = std::chrono::seconds(1);
constexpr std::uint32_t max_answered_lines = 20;
constexpr std::uint32_t max_refused_lines = 100;
constexpr std::uint32_t max_other_lines = 50;

std::uint32_t max_lines_of(event_id id) {
  switch (id) {
  case event_id::request_answered:
    return max_answered_lines;
  case event_id::request_refused:
    return max_refused_lines;
  default:
    return max_other_lines;
  }
}

} // namespace

std::optional<event_fields> log_rate_limiter::begin_period(instant now) {
  if (now - m_period_start < period) {
    return std::nullopt;
  }
  m_period_start = now;
  event_fields out;
  for (const std::pair<const event_id, line_count>& it : m_counts) {
    if (it.second.suppressed > 0) {
      out.emplace_back(std::string(info_of(it.first).name),
                       std::to_string(it.second.suppressed));
    }
  }
  m_counts.clear();
  return out.empty() ? std::nullopt : std::optional<event_fields>(out);
}

bool log_rate_limiter::admit(event_id id) {
  line_count& n = m_counts[id];
  if (n.written >= max_lines_of(id)) {
    ++n.suppressed;
    return false;
  }
  ++n.written;
  return true;
}

} // namespace kingcupslip
