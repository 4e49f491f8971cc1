// How much of a service's load a node sends to a new version under test.
#ifndef KINGCUPSLIP_CORE_ROLLOUT_EXPOSURE_HPP
#define KINGCUPSLIP_CORE_ROLLOUT_EXPOSURE_HPP

#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace kingcupslip {

/// Bounds the requests that a possibly bad version gets, and lets it show
/// faults that need load: few of its targets get as much as a target of the
/// current version, if the bound allows only a part of the time, rather than
/// all of them a little. The nodes agree on the targets by hashing and on the
/// time by their wall clocks, without messages.
///
/// Invariant: the requests that went to the new version are at most
/// `max_share` of those that were counted.
class rollout_exposure {
public:
  explicit rollout_exposure(double max_share) : m_max_share(max_share) {}

  /// `new_targets`: the concurrency of each ready target of the new version,
  /// by node. `current_capacity`: the sum of those of the current version.
  void update(std::uint64_t order,
              const std::map<std::string, double>& new_targets,
              double current_capacity, wall_time wall);

  /// Counts a request. Returns whether it goes to the new version.
  bool choose(const std::function<std::uint64_t()>& random);

  /// Whether the node's target takes part in the test.
  bool is_test_target(const std::string& node) const {
    return m_test_targets.count(node) != 0;
  }
  std::uint64_t sent() const { return m_sent; }

private:
  double m_max_share;
  double m_probability = 0; ///< at present
  std::set<std::string> m_test_targets;
  std::uint64_t m_requests = 0;
  std::uint64_t m_sent = 0;
};

} // namespace kingcupslip

#endif
