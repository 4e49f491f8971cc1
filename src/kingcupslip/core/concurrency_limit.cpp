// Evaluation of latency windows and adjustment of the limit.
#include "kingcupslip/core/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace kingcupslip {

namespace {

constexpr double initial_limit = 2;
constexpr std::size_t max_window_samples = 16;
constexpr duration min_window = std::chrono::milliseconds(50);
constexpr double grow_below_ratio = 1.3;
constexpr double shrink_above_ratio = 1.6;
constexpr double min_latency_cut_factor = 0.6;
constexpr double failure_cut_factor = 0.5;
/// Minimum latency of a request cut off at its deadline, in baselines.
constexpr double deadline_latency_baselines = 3;
/// Bounds the rise of the baseline in one window that did not reach the
/// limit. A target that became permanently slower is thus recognized in time.
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
    : m_maximum(static_cast<double>(maximum)), m_limit(initial_limit) {}

void concurrency_limit::on_answer(duration latency, std::size_t in_flight,
                                  instant now) {
  if (m_window_sample_count == 0) {
    m_window_start = now;
  }
  m_window_latency_sum += latency;
  ++m_window_sample_count;
  m_window_max_in_flight = std::max(m_window_max_in_flight, in_flight);
  const bool long_enough = now - m_window_start >= min_window;
  const bool full = m_window_sample_count >= max_window_samples;
  if (full ||
      (long_enough && m_window_sample_count * 2 >= max_window_samples)) {
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
  // At most one cut per round trip: requests that were already in flight are
  // not affected by the last cut.
  m_no_backoff_before = now + std::max(m_recent_latency, min_window);
  shrink(failure_cut_factor);
}

void concurrency_limit::on_target_restart() {
  m_limit = initial_limit;
  m_slow_start = true;
  m_baseline_latency = duration(0);
  m_recent_latency = duration(0);
  m_window_sample_count = 0;
  m_window_latency_sum = duration(0);
  m_window_max_in_flight = 0;
  m_limit_before_cuts = 0;
}

void concurrency_limit::close_window(instant now) {
  const duration mean =
      m_window_latency_sum / static_cast<int>(m_window_sample_count);
  const std::size_t max_in_flight = m_window_max_in_flight;
  const bool saturated = max_in_flight >= limit();
  m_window_sample_count = 0;
  m_window_latency_sum = duration(0);
  m_window_max_in_flight = 0;
  m_recent_latency = mean;
  if (m_baseline_latency == duration(0) || mean < m_baseline_latency) {
    m_baseline_latency = mean;
  } else if (!saturated) {
    m_baseline_latency =
        std::min(mean, scaled(m_baseline_latency, max_baseline_growth_factor));
  }
  const double congestion = ratio(mean, m_baseline_latency);
  if (congestion > shrink_above_ratio) {
    if (now < m_no_backoff_before) {
      return;
    }
    m_no_backoff_before = now + mean;
    if (m_limit_before_cuts == 0) {
      m_limit_before_cuts = m_limit;
      m_latency_before_cuts = mean;
    }
    if (is_downstream_slow(mean, max_in_flight)) {
      m_baseline_latency = mean;
      m_limit = std::max(1.0, m_limit_before_cuts / 2);
      m_limit_before_cuts = 0;
      return;
    }
    shrink(std::max(min_latency_cut_factor, shrink_above_ratio / congestion));
    return;
  }
  m_limit_before_cuts = 0;
  if (congestion < grow_below_ratio && saturated) {
    if (now < m_no_growth_before) {
      return;
    }
    // Answers that arrive earlier belong to requests sent under the old limit
    // and say nothing about the new one.
    m_no_growth_before = now + mean;
    grow();
  } else if (congestion >= grow_below_ratio) {
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

bool concurrency_limit::is_downstream_slow(duration mean,
                                           std::size_t max_in_flight) const {
  // Latency that does not fall when the limit is cut to a quarter is not
  // caused by load on this target: a service that it calls became slow, and
  // further cuts would only lose throughput. This can be told only once the
  // requests from before the cuts have completed.
  const bool cut_to_quarter = m_limit <= std::max(1.0, m_limit_before_cuts / 4);
  return cut_to_quarter && max_in_flight <= limit() &&
         ratio(mean, m_latency_before_cuts) > 0.7;
}

} // namespace kingcupslip
