// Runs random fault injection over a range of seeds and prints violations.
#include "support/random_faults.hpp"
#include "support/routed_faults.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>

namespace {

using namespace kingcupslip;

/// Runs faults around routed nodes; returns how many seeds broke a promise.
std::uint64_t soak_routed_nodes(std::uint64_t first, std::uint64_t count,
                                duration span) {
  routed_faults_result totals;
  std::uint64_t failed_seeds = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const routed_faults_result r = run_routed_faults(seed, span);
    totals.requests += r.requests;
    totals.ran += r.ran;
    totals.limits_stated += r.limits_stated;
    totals.restores += r.restores;
    totals.restarts += r.restarts;
    if (r.broken()) {
      ++failed_seeds;
      std::cout << "seed " << seed << " broke: limits exceeded "
                << r.limits_exceeded << " after leaving "
                << r.requests_after_leaving << " reverted " << r.config_reverted
                << " late " << r.config_late << std::endl;
    }
  }
  std::cout << "seeds " << count << " requests " << totals.requests << " ran "
            << totals.ran << " limits " << totals.limits_stated << " restores "
            << totals.restores << " restarts " << totals.restarts
            << " broken seeds " << failed_seeds << "\n";
  return failed_seeds;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs random fault injection over a range of seeds"};
  std::uint64_t first = 1;
  std::uint64_t count = 10;
  std::uint64_t seconds = 300;
  app.add_option("--first", first);
  app.add_option("--count", count);
  app.add_option("--seconds", seconds, "of virtual time for each seed");
  bool routed = false;
  app.add_flag("--routed", routed, "nodes that route by host and path");
  CLI11_PARSE(app, argc, argv);
  if (routed) {
    return soak_routed_nodes(first, count, std::chrono::seconds(seconds)) == 0
               ? 0
               : 1;
  }
  fault_injection_result totals;
  double max_rate_excess = -1e9;
  std::uint64_t failed_seeds = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const fault_injection_result r =
        run_fault_injection(seed, std::chrono::seconds(seconds));
    totals.requests += r.requests;
    totals.answered += r.answered;
    totals.ran += r.ran;
    totals.duplicate_runs += r.duplicate_runs;
    totals.false_not_run += r.false_not_run;
    totals.misdelivered += r.misdelivered;
    totals.config_rollbacks += r.config_rollbacks;
    max_rate_excess = std::max(max_rate_excess, r.rate_excess);
    const bool failed = r.duplicate_runs + r.false_not_run + r.misdelivered +
                                r.config_rollbacks >
                            0 ||
                        r.rate_excess > 0;
    if (failed) {
      ++failed_seeds;
      std::cout << "seed " << seed << " broke: doubled " << r.duplicate_runs
                << " untrue " << r.false_not_run << " crossed "
                << r.misdelivered << " reverted " << r.config_rollbacks
                << " excess " << r.rate_excess << std::endl;
    }
  }
  std::cout << "seeds " << count << " requests " << totals.requests
            << " answered " << totals.answered << " ran " << totals.ran
            << " doubled " << totals.duplicate_runs << " untrue "
            << totals.false_not_run << " crossed " << totals.misdelivered
            << " reverted " << totals.config_rollbacks << " worst rate excess "
            << max_rate_excess << " broken seeds " << failed_seeds << "\n";
  return failed_seeds == 0 ? 0 : 1;
}
