// Refill and consumption of a token bucket.
#include "kingcupslip/core/token_bucket.hpp"

#include <algorithm>
#include <cstdint>

namespace kingcupslip {

bool token_bucket::take(instant now) {
  refill(now);
  if (m_level < 1.0) {
    return false;
  }
  m_level -= 1.0;
  return true;
}

void token_bucket::return_token(instant now) {
  refill(now);
  m_level = std::min(m_burst, m_level + 1.0);
}

void token_bucket::resize(double rate_per_s, double burst, instant now) {
  refill(now);
  m_rate_per_s = rate_per_s;
  m_burst = burst;
  m_level = std::min(m_level, m_burst);
}

duration token_bucket::time_until_token(instant now) {
  refill(now);
  if (m_level >= 1.0) {
    return duration(0);
  }
  if (m_rate_per_s <= 0 || m_burst < 1.0) {
    return duration::max();
  }
  const double us = (1.0 - m_level) / m_rate_per_s * us_per_s;
  return duration(static_cast<std::int64_t>(us) + 1);
}

double token_bucket::level(instant now) {
  refill(now);
  return m_level;
}

void token_bucket::refill(instant now) {
  if (now <= m_refilled_at) {
    return;
  }
  const double elapsed_us = static_cast<double>((now - m_refilled_at).count());
  m_refilled_at = now;
  m_level = std::min(m_burst, m_level + elapsed_us / us_per_s * m_rate_per_s);
}

} // namespace kingcupslip
