// Reservation and release of the retries of each span.
#include "kingcupslip/core/span_retry_budget.hpp"

#include <algorithm>

namespace kingcupslip {

void span_retry_budget::open(std::uint64_t span, std::uint32_t retries) {
  m_spans[span] = budget{retries, 0};
}

std::uint32_t span_retry_budget::close(std::uint64_t span) {
  const auto it = m_spans.find(span);
  if (it == m_spans.end()) {
    return 0;
  }
  const std::uint32_t spent = it->second.spent;
  m_spans.erase(it);
  return spent;
}

std::uint32_t span_retry_budget::reserve(std::uint64_t span) {
  const auto it = m_spans.find(span);
  if (it == m_spans.end()) {
    return 0;
  }
  const std::uint32_t granted = (it->second.remaining + 1) / 2;
  it->second.remaining -= granted;
  return granted;
}

void span_retry_budget::release(std::uint64_t span, std::uint32_t reserved,
                                std::uint32_t used) {
  const auto it = m_spans.find(span);
  if (it == m_spans.end()) {
    return;
  }
  const std::uint32_t spent = std::min(reserved, used);
  it->second.remaining += reserved - spent;
  it->second.spent += spent;
}

} // namespace kingcupslip
