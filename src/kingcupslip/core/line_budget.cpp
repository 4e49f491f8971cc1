// Counting of log lines by kind and second.
#include "kingcupslip/core/line_budget.hpp"

#include <string>

namespace kingcupslip {

namespace {

constexpr duration period = std::chrono::seconds(1);
constexpr std::uint32_t most_answers = 20;
constexpr std::uint32_t most_refusals = 100;
constexpr std::uint32_t most_others = 50;

std::uint32_t most_of(event_id id) {
  switch (id) {
  case event_id::request_answered:
    return most_answers;
  case event_id::request_refused:
    return most_refusals;
  default:
    return most_others;
  }
}

} // namespace

std::optional<event_fields> line_budget::turn(instant now) {
  if (now - m_began < period) {
    return std::nullopt;
  }
  m_began = now;
  event_fields out;
  for (const std::pair<const event_id, line_count>& it : m_counts) {
    if (it.second.left_out > 0) {
      out.emplace_back(std::string(info_of(it.first).name),
                       std::to_string(it.second.left_out));
    }
  }
  m_counts.clear();
  return out.empty() ? std::nullopt : std::optional<event_fields>(out);
}

bool line_budget::admit(event_id id) {
  line_count& n = m_counts[id];
  if (n.written >= most_of(id)) {
    ++n.left_out;
    return false;
  }
  ++n.written;
  return true;
}

} // namespace kingcupslip
