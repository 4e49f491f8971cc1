// Window arithmetic of the concurrency limit.
#include "kingcupslip/core/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace kingcupslip {

namespace {

constexpr double cold_limit = 2;
constexpr std::size_t window_samples = 16;
constexpr duration window_span = std::chrono::milliseconds(50);
constexpr double grow_below = 1.3;
constexpr double shrink_above = 1.6;
constexpr double deepest_cut = 0.6;
constexpr double failure_cut = 0.5;
/// In floors.
constexpr double deadline_latency_baselines = 3;
/// A floor may rise this much per window while nothing is congested, so
/// that a target that really became slower is believed in time.
constexpr double max_baseline_growth_factor = 1.01;

double ratio(duration a, duration b) {
  return static_cast<double>(a.count()) /
         static_cast<double>(std::max<duration::rep>(1, b.count()));
}

duration scaled(duration d, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
}

} // namespace

concurrency_limit::concurrency_limit(std::size_t maximum)
    : m_maximum(static_cast<double>(maximum)), m_limit(cold_limit) {}

void concurrency_limit::on_answer(duration latency, std::size_t in_flight,
                                  instant now) {
  if (m_window_count == 0) {
    m_window_began = now;
  }
  m_window_sum += latency;
  ++m_window_count;
  m_window_peak = std::max(m_window_peak, in_flight);
  const bool long_enough = now - m_window_began >= window_span;
  const bool full = m_window_count >= window_samples;
  if (full || (long_enough && m_window_count * 2 >= window_samples)) {
    close_window(now);
  }
}

void concurrency_limit::on_deadline_exceeded(duration latency,
                                             std::size_t in_flight,
                                             instant now) {
  on_answer(
      std::max(latency, scaled(m_baseline_latency, deadline_latency_baselines)),
      in_flight, now);
}

void concurrency_limit::on_failure(instant now) {
  if (now < m_no_backoff_before) {
    return;
  }
  // One cut per round trip: the requests that were already out cannot have
  // felt the last one.
  m_no_backoff_before = now + std::max(m_recent_latency, window_span);
  shrink(failure_cut);
}

void concurrency_limit::restart() {
  m_limit = cold_limit;
  m_slow_start = true;
  m_baseline_latency = duration(0);
  m_recent_latency = duration(0);
  m_window_count = 0;
  m_window_sum = duration(0);
  m_window_peak = 0;
  m_cut_limit = 0;
}

void concurrency_limit::close_window(instant now) {
  const duration mean = m_window_sum / static_cast<int>(m_window_count);
  const std::size_t peak = m_window_peak;
  const bool saturated = peak >= limit();
  m_window_count = 0;
  m_window_sum = duration(0);
  m_window_peak = 0;
  m_recent_latency = mean;
  if (m_baseline_latency == duration(0) || mean < m_baseline_latency) {
    m_baseline_latency = mean;
  } else if (!saturated) {
    m_baseline_latency =
        std::min(mean, scaled(m_baseline_latency, max_baseline_growth_factor));
  }
  const double congestion = ratio(mean, m_baseline_latency);
  if (congestion > shrink_above) {
    if (now < m_no_backoff_before) {
      return;
    }
    m_no_backoff_before = now + mean;
    if (m_cut_limit == 0) {
      m_cut_limit = m_limit;
      m_cut_latency = mean;
    }
    if (slow_below(mean, peak)) {
      m_baseline_latency = mean;
      m_limit = std::max(1.0, m_cut_limit / 2);
      m_cut_limit = 0;
      return;
    }
    shrink(std::max(deepest_cut, shrink_above / congestion));
    return;
  }
  m_cut_limit = 0;
  if (congestion < grow_below && saturated) {
    if (now < m_no_growth_before) {
      return;
    }
    // Answers that come sooner were sent under the old limit and say
    // nothing about the new one.
    m_no_growth_before = now + mean;
    grow();
  } else if (congestion >= grow_below) {
    m_slow_start = false;
  }
}

void concurrency_limit::grow() {
  const double step = m_slow_start ? m_limit : std::sqrt(m_limit);
  m_limit = std::min(m_maximum, m_limit + step);
}

void concurrency_limit::shrink(double factor) {
  m_slow_start = false;
  m_limit = std::max(1.0, m_limit * factor);
}

bool concurrency_limit::slow_below(duration mean, std::size_t peak) const {
  // Latency that does not fall when the limit is quartered is not caused by
  // this queue: something below became slow, and more cuts only lose work.
  // It says so only once the requests of before the cuts have gone.
  const bool cut_deeply = m_limit <= std::max(1.0, m_cut_limit / 4);
  return cut_deeply && peak <= limit() && ratio(mean, m_cut_latency) > 0.7;
}

} // namespace kingcupslip
