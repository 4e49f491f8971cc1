// Token bucket behind the rate that a target asks for.
#include "kingcupslip/core/target_rate_limit.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

/// A lower limit would never end, as its end is only seen in an answer.
constexpr double min_rate_per_s = 0.25;
/// Requests that may start in a burst.
constexpr double max_burst = 3;

} // namespace

void target_rate_limit::set(std::optional<double> rate_per_s, instant now) {
  m_active = rate_per_s.has_value();
  if (m_active) {
    m_bucket.resize(std::max(*rate_per_s, min_rate_per_s), max_burst, now);
  }
}

bool target_rate_limit::allows_start(instant now) {
  return !m_active || m_bucket.level(now) >= 1.0;
}

void target_rate_limit::on_start(instant now) {
  if (m_active) {
    m_bucket.take(now);
  }
}

duration target_rate_limit::time_until_starts(std::size_t n, instant now) {
  if (!m_active) {
    return duration(0);
  }
  const double missing = static_cast<double>(n) - m_bucket.level(now);
  const double us = std::max(0.0, missing) / m_bucket.rate_per_s() * us_per_s;
  return duration(static_cast<duration::rep>(us));
}

} // namespace kingcupslip
