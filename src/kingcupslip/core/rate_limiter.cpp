// Wait queues in front of the teams' token buckets.
#include "kingcupslip/core/rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration max_queue_wait = std::chrono::milliseconds(250);
/// A request waits at most the time left to its deadline divided by this.
constexpr int time_left_divisor = 4;
constexpr duration retry_after_without_tokens = std::chrono::seconds(1);

duration retry_after(duration expected) {
  return expected == duration::max() ? retry_after_without_tokens : expected;
}

} // namespace

rate_limiter::rate_limiter(token_source tokens, const clock_reading& clock)
    : m_tokens(std::move(tokens)), m_clock(clock) {}

void rate_limiter::acquire(const std::string& team, instant deadline,
                           admission_handler next) {
  m_tokens.count_demand(team, m_clock.now);
  wait_queue& queue = m_queues[team];
  if (queue.empty() && m_tokens.take(team, m_clock.now)) {
    next(true, duration(0));
    return;
  }
  const duration max_wait =
      std::min(max_queue_wait, (deadline - m_clock.now) / time_left_divisor);
  const duration expected =
      m_tokens.expected_wait(team, queue.size(), m_clock.now);
  if (expected > max_wait) {
    next(false, retry_after(expected));
    return;
  }
  queue.push_back({m_clock.now + max_wait, std::move(next)});
  report_queue(team, queue);
}

void rate_limiter::tick() {
  for (std::pair<const std::string, wait_queue>& it : m_queues) {
    serve_queue(it.first, it.second);
    report_queue(it.first, it.second);
  }
}

void rate_limiter::on_tokens_available(const std::string& team) {
  const auto it = m_queues.find(team);
  if (it != m_queues.end()) {
    serve_queue(team, it->second);
  }
}

void rate_limiter::report_queue(const std::string& team,
                                const wait_queue& queue) const {
  if (m_tokens.on_queue_change) {
    m_tokens.on_queue_change(
        team, queue.size(),
        queue.empty() ? m_clock.now : queue.back().expires_at, m_clock.now);
  }
}

void rate_limiter::serve_queue(const std::string& team, wait_queue& queue) {
  while (!queue.empty()) {
    const bool admitted = m_tokens.take(team, m_clock.now);
    if (!admitted && m_clock.now < queue.front().expires_at) {
      return;
    }
    const admission_handler next = std::move(queue.front().next);
    queue.pop_front();
    const duration expected =
        admitted ? duration(0)
                 : m_tokens.expected_wait(team, queue.size(), m_clock.now);
    next(admitted, retry_after(expected));
  }
}

} // namespace kingcupslip
