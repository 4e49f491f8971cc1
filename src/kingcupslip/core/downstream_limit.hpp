// Limits requests whose nested calls are refused for overload.
#ifndef KINGCUPSLIP_CORE_DOWNSTREAM_LIMIT_HPP
#define KINGCUPSLIP_CORE_DOWNSTREAM_LIMIT_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/core/token_bucket.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace kingcupslip {

/// Where a service further down is overloaded, it refuses a part of all
/// calls, and a request that needs several of them fails with most of its
/// work done. This limits the rate at which such requests start, by route,
/// from the part of their runs that failed for it: a failing window cuts the
/// rate, a good one raises it. Less urgent routes are cut at once, urgent
/// ones only if windows go on failing.
///
/// Invariant: a route without such failures has no limit.
class downstream_limit {
public:
  /// Told when a route becomes limited, with its rate, and when it no longer
  /// is, with rate 0.
  using change_hook = std::function<void(
      const std::string& route, double rate_per_s, double failed_fraction)>;

  explicit downstream_limit(change_hook on_change);

  /// Whether a request may start now.
  bool admit(const std::string& route, priority rank, instant now);

  /// A request that was admitted ended; `failed_on_nested_overload`: for want
  /// of a nested call that was refused for overload.
  void on_end(const std::string& route, priority rank,
              bool failed_on_nested_overload, instant now);

  /// Requests a second; 0: not limited.
  double rate_of(const std::string& route) const;

private:
  struct route_state {
    instant window_start{0};
    std::size_t admitted = 0;
    std::size_t ended = 0;
    std::size_t failed = 0;
    std::size_t consecutive_failing_windows = 0;
    double rate_per_s = 0;         ///< 0: not limited
    double failing_rate_per_s = 0; ///< rate of the last failing window
    token_bucket bucket;
  };

  void close_window(const std::string& route, route_state& state, priority rank,
                    instant now);
  void set_rate(route_state& state, double rate_per_s, instant now) const;

  change_hook m_on_change;
  std::map<std::string, route_state> m_routes;
};

} // namespace kingcupslip

#endif
