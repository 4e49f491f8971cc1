// Longest latencies and overtaking answers by kind of request.
#include "kingcupslip/core/silence_detector.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr duration latency_window = std::chrono::seconds(5);
/// Runs shorter than this are never silent.
constexpr duration min_silence = std::chrono::milliseconds(200);

} // namespace

void silence_detector::on_success(const std::string& kind, instant started_at,
                                  instant now) {
  if (m_kinds.size() >= max_kinds && m_kinds.count(kind) == 0) {
    m_kinds.clear();
  }
  kind_state& state = m_kinds[kind];
  const duration window_age = now - state.window_start;
  if (window_age > latency_window) {
    const bool just_ended = window_age <= 2 * latency_window;
    state.previous_longest = just_ended ? state.longest : duration(0);
    state.longest = duration(0);
    state.window_start = now;
  }
  state.longest = std::max(state.longest, now - started_at);
  std::array<instant, overtaking_answers>& starts = state.latest_starts;
  if (started_at > starts.front()) {
    starts.front() = started_at;
    std::sort(starts.begin(), starts.end());
  }
}

bool silence_detector::is_silent(const std::string& kind, instant started_at,
                                 instant now) const {
  const duration waited = now - started_at;
  const auto it = waited > min_silence ? m_kinds.find(kind) : m_kinds.end();
  if (it == m_kinds.end()) {
    return false;
  }
  const kind_state& state = it->second;
  const duration longest = std::max(state.longest, state.previous_longest);
  const bool overtaken = state.latest_starts.front() > started_at;
  return overtaken && waited > longest + longest / 2;
}

} // namespace kingcupslip
