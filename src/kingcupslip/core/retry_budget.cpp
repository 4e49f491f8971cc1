// Retry tokens, detection of overload, and retry delays.
#include "kingcupslip/core/retry_budget.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr double max_overloaded_fraction = 0.5;
constexpr double min_attempts = 10;
constexpr duration half_life = std::chrono::seconds(1);
constexpr duration base_delay = std::chrono::milliseconds(2);
constexpr duration max_delay = std::chrono::milliseconds(250);
constexpr std::uint32_t max_doublings = 7;

} // namespace

void retry_budget::set_options(options o) {
  m_options = o;
  m_tokens = std::min(m_tokens, m_options.max_tokens);
}

retry_budget::retry_budget(options o, instant process_start)
    : m_options(o), m_process_start(process_start),
      m_tokens(o.release_time == duration(0) ? o.max_tokens : 0),
      m_released_part(o.release_time == duration(0) ? 1 : 0) {}

void retry_budget::release(instant now) {
  if (m_released_part >= 1) {
    return;
  }
  const double elapsed = static_cast<double>((now - m_process_start).count());
  const double all = static_cast<double>(m_options.release_time.count());
  const double part = elapsed >= all ? 1 : elapsed / all;
  m_tokens =
      std::min(m_options.max_tokens,
               m_tokens + m_options.max_tokens * (part - m_released_part));
  m_released_part = part;
}

void retry_budget::on_first_attempt() {
  m_tokens = std::min(m_options.max_tokens,
                      m_tokens + m_options.tokens_per_first_attempt);
}

void retry_budget::on_result(bool overloaded, instant now) {
  decay(now);
  m_attempts += 1;
  m_overloaded += overloaded ? 1 : 0;
}

bool retry_budget::spend(instant now) {
  release(now);
  if (m_tokens < 1 || is_overloaded(now)) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

bool retry_budget::is_overloaded(instant now) {
  decay(now);
  return m_attempts >= min_attempts &&
         m_overloaded > m_attempts * max_overloaded_fraction;
}

void retry_budget::decay(instant now) {
  while (now - m_decayed_at >= half_life) {
    m_attempts /= 2;
    m_overloaded /= 2;
    m_decayed_at += half_life;
    if (m_attempts < 1) {
      m_decayed_at = now;
      return;
    }
  }
}

duration retry_delay(std::uint32_t retry_number,
                     const std::function<std::uint64_t()>& random) {
  const std::uint32_t doublings = std::min(retry_number, max_doublings);
  const duration upper_bound =
      std::min(max_delay, base_delay * (1 << doublings));
  return duration(static_cast<duration::rep>(
      random() % static_cast<std::uint64_t>(upper_bound.count())));
}

} // namespace kingcupslip
