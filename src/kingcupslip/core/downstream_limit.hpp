// Rate limit for requests whose nested calls are refused for overload.
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

/// Limits the rate at which requests start, by route, while their nested
/// calls are refused for overload. An overloaded downstream service refuses a
/// fraction of all calls, so a request that needs several of them fails after
/// most of its work is done. A window in which too many requests failed for
/// this reason cuts the rate, a good one raises it. Routes of lower priority
/// are cut at once, those of higher priority only after several failing
/// windows in a row.
///
/// The rate grows fast as long as the pressure on the services below says that
/// they have room.
///
/// Invariant: a route without such failures has no limit.
class downstream_limit {
public:
  /// How routes of one priority react to failing windows.
  struct priority_policy;

  /// Called with the rate when a route becomes limited, and with rate 0 when
  /// the limit is removed. `failed_fraction` is that of the last window.
  using change_hook = std::function<void(
      const std::string& route, double rate_per_s, double failed_fraction)>;

  explicit downstream_limit(change_hook on_change);

  /// Pressure on the services below, as the replies to nested calls report it;
  /// 0: unknown. Call before `admit`.
  void set_pressure(double pressure) { m_pressure = pressure; }

  /// Whether a request may start now; counts it if so.
  bool admit(const std::string& route, priority rank, instant now);

  /// An admitted request ended. `failed_on_nested_overload`: it failed because
  /// a nested call was refused for overload.
  void on_end(const std::string& route, priority rank,
              bool failed_on_nested_overload, instant now);

  /// Requests per second; 0: not limited.
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
  void cut(const std::string& route, route_state& state, double admitted_per_s,
           double factor, double failed_fraction, instant now);
  /// Factor by which a limited rate changes after a window without failures.
  double growth(const route_state& state, const priority_policy& policy) const;
  void set_rate(route_state& state, double rate_per_s, instant now) const;

  change_hook m_on_change;
  double m_pressure = 0;
  std::map<std::string, route_state> m_routes;
};

} // namespace kingcupslip

#endif
