// Limit on the rate of requests that a target asks for.
#ifndef KINGCUPSLIP_CORE_TARGET_RATE_LIMIT_HPP
#define KINGCUPSLIP_CORE_TARGET_RATE_LIMIT_HPP

#include "kingcupslip/core/time.hpp"
#include "kingcupslip/core/token_bucket.hpp"

#include <cstddef>
#include <optional>

namespace kingcupslip {

/// Limits the requests that are started at a target to the rate that the
/// target asks for. All nodes reach a target through the node beside it, so
/// that one limit there holds for the requests of all nodes together.
///
/// Invariant: while the limit is active, any interval has at most
/// rate x length + burst starts.
class target_rate_limit {
public:
  /// Changes the limit to what the target asks for; null: no limit.
  void set(std::optional<double> rate_per_s, instant now);

  bool active() const { return m_active; }
  /// Requests per second; only while the limit is active.
  double rate_per_s() const { return m_bucket.rate_per_s(); }

  /// Whether a request may start now.
  bool allows_start(instant now);
  /// Records the start of a request that the limit allows.
  void on_start(instant now);
  /// Time until `n` more requests could start; 0 without a limit.
  duration time_until_starts(std::size_t n, instant now);

private:
  token_bucket m_bucket;
  bool m_active = false;
};

} // namespace kingcupslip

#endif
