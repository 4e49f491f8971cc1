// Chooses a target for a request among those in service.
#ifndef KINGCUPSLIP_CORE_BALANCER_HPP
#define KINGCUPSLIP_CORE_BALANCER_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kingcupslip {

/// What this node knows of a target's node.
struct target_candidate {
  std::string node;
  bool same_data_centre = true;
  /// Requests this node has out to it: exact, never stale.
  std::size_t own_in_flight = 0;
  /// Its concurrency limit, in-flight and queued requests as of its last
  /// reply or gossip; wrong by as much as that is old.
  double limit = 1;
  std::size_t reported_in_flight = 0;
  /// Recent failures seen from here; each doubles the apparent load.
  std::uint32_t failures = 0;
};

/// Load of a target relative to what it bears: 1 is full.
double relative_load(const target_candidate& t);

/// Power of two choices on `relative_load`, in this data centre first; other
/// data centres when the better local one is full and `overflow` allows.
/// Returns null where `targets` is empty.
const target_candidate*
choose_target(const std::vector<target_candidate>& targets, bool allow_overflow,
              const std::function<std::uint64_t()>& random);

} // namespace kingcupslip

#endif
