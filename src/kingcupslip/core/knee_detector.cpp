// Latencies by bands of concurrency, and the limit that follows.
#include "kingcupslip/core/knee_detector.hpp"

#include <algorithm>

namespace kingcupslip {

void knee_detector::average::add(double sample, instant now) {
  // A known state of the band has expired, or this is the first sample.
  if (now - updated_at > max_age) {
    samples = 0;
  }
  samples = std::min(samples + 1, max_samples);
  value += (sample - value) / static_cast<double>(samples);
  updated_at = now;
}

double knee_detector::upper_edge(std::size_t i) {
  return min_part + (1 - min_part) * static_cast<double>(i + 1) /
                        static_cast<double>(band_count);
}

void knee_detector::on_answer(const std::string& kind, duration latency,
                              std::size_t running, std::size_t slots,
                              instant now) {
  if (slots < min_slots) {
    return;
  }
  const double part = static_cast<double>(running) / static_cast<double>(slots);
  const double us = static_cast<double>(latency.count());
  if (part <= min_part) {
    if (m_baselines.size() < max_kinds || m_baselines.count(kind) != 0) {
      average& baseline = m_baselines[kind];
      baseline.add(us, now);
      m_probe_until = baseline.known(now) ? now : m_probe_until;
    }
    return;
  }
  const auto baseline = m_baselines.find(kind);
  if (baseline == m_baselines.end() || !baseline->second.known(now)) {
    if (++m_not_comparable >= min_samples) {
      m_not_comparable = 0;
      m_probe_until = now + max_probe_time;
    }
    return;
  }
  m_not_comparable = 0;
  std::size_t band = 0;
  while (band + 1 < band_count && part > upper_edge(band)) {
    ++band;
  }
  m_slowdowns[band].add(us / baseline->second.value, now);
}

std::size_t knee_detector::limit(std::size_t slots, instant now) const {
  if (now < m_probe_until) {
    return static_cast<std::size_t>(min_part * static_cast<double>(slots));
  }
  // Runs complete at a rate in proportion to the concurrency, divided by how
  // much slower they are there.
  double best_part = 1;
  double best_rate = 0;
  for (std::size_t i = band_count; i-- > 0;) {
    const average& a = m_slowdowns[i];
    const double slowdown = a.known(now) ? std::max(1.0, a.value) : 1;
    const double rate = upper_edge(i) / slowdown;
    if (rate > best_rate * (best_rate > 0 ? min_gain : 1)) {
      best_rate = rate;
      best_part = upper_edge(i);
    }
  }
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(best_part * static_cast<double>(slots)));
}

} // namespace kingcupslip
