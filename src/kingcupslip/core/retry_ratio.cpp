// Retry tokens and the overload gate.
#include "kingcupslip/core/retry_ratio.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr double closed_share = 0.5;
constexpr double fewest_tries = 10;
constexpr duration half_life = std::chrono::seconds(1);
constexpr duration base_delay = std::chrono::milliseconds(2);
constexpr duration longest_delay = std::chrono::milliseconds(250);
constexpr std::uint32_t most_doublings = 7;

} // namespace

void retry_ratio::set_options(options o) {
  m_options = o;
  m_tokens = std::min(m_tokens, m_options.most_tokens);
}

void retry_ratio::on_first_try() {
  m_tokens =
      std::min(m_options.most_tokens, m_tokens + m_options.tokens_per_try);
}

void retry_ratio::on_result(bool overloaded, instant now) {
  age(now);
  m_tries += 1;
  m_overloaded += overloaded ? 1 : 0;
}

bool retry_ratio::spend(instant now) {
  if (m_tokens < 1 || closed(now)) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

bool retry_ratio::closed(instant now) {
  age(now);
  return m_tries >= fewest_tries && m_overloaded > m_tries * closed_share;
}

void retry_ratio::age(instant now) {
  while (now - m_aged_at >= half_life) {
    m_tries /= 2;
    m_overloaded /= 2;
    m_aged_at += half_life;
    if (m_tries < 1) {
      m_aged_at = now;
      return;
    }
  }
}

duration retry_delay(std::uint32_t n,
                     const std::function<std::uint64_t()>& random) {
  const std::uint32_t doublings = std::min(n, most_doublings);
  const duration most = std::min(longest_delay, base_delay * (1 << doublings));
  return duration(static_cast<duration::rep>(
      random() % static_cast<std::uint64_t>(most.count())));
}

} // namespace kingcupslip
