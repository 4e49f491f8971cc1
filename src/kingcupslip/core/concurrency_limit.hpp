// Adaptive limit on the requests that are in flight at a target.
#ifndef KINGCUPSLIP_CORE_CONCURRENCY_LIMIT_HPP
#define KINGCUPSLIP_CORE_CONCURRENCY_LIMIT_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>

namespace kingcupslip {

/// Derives the limit from the target's latency and failures. Compares the
/// mean latency of each window with the baseline, the latency without
/// congestion: the limit grows while they agree, shrinks when latency rises,
/// and is halved when the target fails. Health reports are not used.
///
/// Invariant: 1 <= limit() <= the maximum given.
class concurrency_limit {
public:
  explicit concurrency_limit(std::size_t maximum = 1000);

  std::size_t limit() const { return static_cast<std::size_t>(m_limit); }

  /// A request was answered after `latency`; `in_flight` counts the
  /// requests at the target just before this answer.
  void on_answer(duration latency, std::size_t in_flight, instant now);

  /// A request was cut off at its deadline; its answer would have taken longer
  /// than `latency`. It counts as at least a multiple of the baseline: taken
  /// as is, `latency` would make an overloaded target look fast whenever
  /// deadlines are short.
  void on_deadline_exceeded(duration latency, std::size_t in_flight,
                            instant now);

  /// The target refused, timed out or lost a connection.
  void on_failure(instant now);

  /// The target restarted: resets the limit to its initial value.
  void on_target_restart();

  /// Mean latency of the last window; 0 before the first one.
  duration recent_latency() const { return m_recent_latency; }
  /// Latency without congestion; 0 before the first window.
  duration baseline_latency() const { return m_baseline_latency; }

private:
  void close_window(instant now);
  void grow();
  void shrink(double factor);
  bool is_downstream_slow(duration mean, std::size_t max_in_flight) const;

  double m_maximum;
  double m_limit;
  bool m_slow_start = true;
  duration m_baseline_latency{0};
  duration m_recent_latency{0};
  instant m_window_start{0};
  duration m_window_latency_sum{0};
  std::size_t m_window_sample_count = 0;
  std::size_t m_window_max_in_flight = 0;
  instant m_no_backoff_before{0};
  instant m_no_growth_before{0};
  /// Latency and limit when the current series of cuts began. The limit is 0
  /// while there is no such series.
  duration m_latency_before_cuts{0};
  double m_limit_before_cuts = 0;
};

} // namespace kingcupslip

#endif
