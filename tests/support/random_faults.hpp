// A seeded random mix of all faults, with every promise checked on the way.
#ifndef KINGCUPSLIP_TESTS_RANDOM_FAULTS_HPP
#define KINGCUPSLIP_TESTS_RANDOM_FAULTS_HPP

#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <string>

namespace kingcupslip {

struct fault_injection_result {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t ran = 0;
  std::uint64_t duplicate_runs =
      0; ///< non-idempotent requests run more than once
  std::uint64_t false_not_run =
      0;                          ///< not-run, although it had run or ran later
  std::uint64_t misdelivered = 0; ///< another request's answer
  std::uint64_t config_rollbacks =
      0;                  ///< a node went back to an older configuration
  double rate_excess = 0; ///< over rate x T + burst; at most 0 is right
  std::string fault_log;  ///< the faults, for a failing seed
};

/// Kills, pauses, cuts, drains, crashes, table outages, lost answers and
/// operators' changes over `span` of virtual time, with requests and resends
/// all along.
fault_injection_result run_fault_injection(std::uint64_t seed, duration span);

} // namespace kingcupslip

#endif
