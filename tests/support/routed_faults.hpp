// Random faults around a fleet of routed nodes, and the checks of what must
// hold meanwhile.
#ifndef KINGCUPSLIP_TESTS_ROUTED_FAULTS_HPP
#define KINGCUPSLIP_TESTS_ROUTED_FAULTS_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace kingcupslip {

/// What a run did, and how often it broke a promise.
struct routed_faults_result {
  std::size_t requests = 0;
  std::size_t ran = 0;
  std::size_t limits_stated = 0;
  std::size_t restores = 0;
  std::size_t restarts = 0;
  /// Windows in which a target got more than it had asked for.
  std::size_t limits_exceeded = 0;
  /// Requests to a target later than 2 s after it said that it leaves.
  std::size_t requests_after_leaving = 0;
  /// Nodes with an older configuration than they had before.
  std::size_t config_reverted = 0;
  /// Nodes without the newest configuration 2 s after it was acknowledged.
  std::size_t config_late = 0;

  bool broken() const {
    return limits_exceeded + requests_after_leaving + config_reverted +
               config_late >
           0;
  }
};

/// Runs load on a fleet for `span` of virtual time, with random limits and
/// departures of targets, restarts, partitions, outages and restores of the
/// store, and changes of the configuration, also at the same time.
routed_faults_result run_routed_faults(std::uint64_t seed, duration span);

} // namespace kingcupslip

#endif
