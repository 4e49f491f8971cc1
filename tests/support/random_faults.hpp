// Seeded random fault injection that checks the invariants on the way.
#ifndef KINGCUPSLIP_TESTS_RANDOM_FAULTS_HPP
#define KINGCUPSLIP_TESTS_RANDOM_FAULTS_HPP

#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <string>

namespace kingcupslip {

/// Counts of one run. Where a violation is named, zero is the correct value.
struct fault_injection_result {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t ran = 0;
  /// Non-idempotent requests that ran more than once.
  std::uint64_t duplicate_runs = 0;
  /// Requests answered not-run that ran before or after.
  std::uint64_t false_not_run = 0;
  /// Answers that belong to another request.
  std::uint64_t misdelivered = 0;
  /// Times that a node returned to an older configuration.
  std::uint64_t config_rollbacks = 0;
  double rate_excess = 0; ///< over rate x time + burst; correct up to 0
  std::string fault_log;  ///< injected faults and violations
};

/// Runs a fleet for `span` of virtual time under continuous requests and
/// resends. Injects killed, paused and draining nodes, blocked links, target
/// crashes, table outages, lost answers and operators' changes.
fault_injection_result run_fault_injection(std::uint64_t seed, duration span);

} // namespace kingcupslip

#endif
