// Lines in front of the teams' buckets.
#include "kingcupslip/core/rate_gate.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration longest_wait = std::chrono::milliseconds(250);
/// No request spends more than this part of its time in line.
constexpr int part_of_time_left = 4;
constexpr duration wait_without_share = std::chrono::seconds(1);

duration retry_after(duration expected) {
  return expected == duration::max() ? wait_without_share : expected;
}

} // namespace

rate_gate::rate_gate(token_source tokens, const clock_reading& clock)
    : m_tokens(std::move(tokens)), m_clock(clock) {}

void rate_gate::enter(const std::string& team, instant deadline,
                      next_step next) {
  m_tokens.count(team, m_clock.now);
  line& l = m_lines[team];
  if (l.empty() && m_tokens.take(team, m_clock.now)) {
    next(true, duration(0));
    return;
  }
  const duration patience =
      std::min(longest_wait, (deadline - m_clock.now) / part_of_time_left);
  const duration expected = m_tokens.expected_wait(team, l.size(), m_clock.now);
  if (expected > patience) {
    next(false, retry_after(expected));
    return;
  }
  l.push_back({m_clock.now + patience, std::move(next)});
  tell_line(team, l);
}

void rate_gate::tick() {
  for (std::pair<const std::string, line>& it : m_lines) {
    advance(it.first, it.second);
    tell_line(it.first, it.second);
  }
}

void rate_gate::on_tokens(const std::string& team) {
  const auto it = m_lines.find(team);
  if (it != m_lines.end()) {
    advance(team, it->second);
  }
}

void rate_gate::tell_line(const std::string& team, const line& l) const {
  if (m_tokens.on_line) {
    m_tokens.on_line(team, l.size(),
                     l.empty() ? m_clock.now : l.back().give_up_at,
                     m_clock.now);
  }
}

void rate_gate::advance(const std::string& team, line& l) {
  while (!l.empty()) {
    const bool passed = m_tokens.take(team, m_clock.now);
    if (!passed && m_clock.now < l.front().give_up_at) {
      return;
    }
    const next_step next = std::move(l.front().next);
    l.pop_front();
    const duration expected =
        passed ? duration(0)
               : m_tokens.expected_wait(team, l.size(), m_clock.now);
    next(passed, retry_after(expected));
  }
}

} // namespace kingcupslip
