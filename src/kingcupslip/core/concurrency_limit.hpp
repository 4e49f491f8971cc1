// Learns how many requests a target bears at once, from its own behaviour.
#ifndef KINGCUPSLIP_CORE_CONCURRENCY_LIMIT_HPP
#define KINGCUPSLIP_CORE_CONCURRENCY_LIMIT_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>

namespace kingcupslip {

/// Compares each window's mean latency with the uncongested floor: grows
/// while they agree, shrinks when latency rises, and halves when the target
/// itself refuses. Health reports play no part.
///
/// Invariant: 1 <= limit() <= the maximum given.
class concurrency_limit {
public:
  explicit concurrency_limit(std::size_t maximum = 1000);

  std::size_t limit() const { return static_cast<std::size_t>(m_limit); }

  /// A request was answered after `latency`; `in_flight` counts the
  /// requests at the target just before this answer.
  void on_answer(duration latency, std::size_t in_flight, instant now);

  /// The request was cut short at its deadline: it would have taken longer
  /// than `latency`. Taken as it is, such a latency would make an overloaded
  /// target look quick to callers with little time.
  void on_deadline_exceeded(duration latency, std::size_t in_flight,
                            instant now);

  /// The target refused, timed out or lost a connection.
  void on_failure(instant now);

  /// The target started anew: begin again from the cold limit.
  void on_target_restart();

  /// The mean latency of the last window; 0 before the first.
  duration recent_latency() const { return m_recent_latency; }
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
  std::size_t m_window_max_in_flight = 0; ///< most requests in flight
  instant m_no_backoff_before{0};
  instant m_no_growth_before{0};
  /// Latency when the present run of cuts began, and the limit then.
  duration m_latency_before_cuts{0};
  double m_limit_before_cuts = 0;
};

} // namespace kingcupslip

#endif
