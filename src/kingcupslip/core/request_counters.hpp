// Request counters by team and route: requests asked, run and refused.
#ifndef KINGCUPSLIP_CORE_REQUEST_COUNTERS_HPP
#define KINGCUPSLIP_CORE_REQUEST_COUNTERS_HPP

#include "kingcupslip/core/outcome.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace kingcupslip {

/// Totals of one team on one route. Invariant: asked is at least
/// ran + may_have_run + the sum of refused; the rest is in progress.
struct route_counters {
  std::uint64_t asked = 0;
  std::uint64_t ran = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t replayed = 0;
  std::array<std::uint64_t, reason_count> refused{};   ///< did not run
  std::array<std::uint64_t, reason_count> uncertain{}; ///< may have run
  std::array<std::uint64_t, reason_count> retried{};

  void add(const route_counters& other);
};

/// The team, and the service with the path prefix.
using team_route_key = std::pair<std::string, std::string>;

/// Counts the requests that entered the fleet through this node.
class request_counters {
public:
  void on_asked(const team_route_key& key) { ++m_rows[key].asked; }
  void on_outcome(const team_route_key& key, const outcome& o);
  void on_retry(const team_route_key& key, reason why);
  void add(const team_route_key& key, const route_counters& t) {
    m_rows[key].add(t);
  }

  const std::map<team_route_key, route_counters>& rows() const {
    return m_rows;
  }

  /// The rows as a JSON array.
  std::string to_json() const;

  /// Adds the rows of such an array to these. False if `text` is none, or at
  /// the first element that is no object; earlier rows have been added then.
  bool add_from_json(std::string_view text);

private:
  std::map<team_route_key, route_counters> m_rows;
};

} // namespace kingcupslip

#endif
