// Seeds of the random fault mix, one after the other; prints what broke.
#include "support/random_faults.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>

int main(int argc, char** argv) {
  using namespace kingcupslip;
  CLI::App app{"Runs the random fault mix over a range of seeds"};
  std::uint64_t first = 1;
  std::uint64_t count = 10;
  std::uint64_t seconds = 300;
  app.add_option("--first", first);
  app.add_option("--count", count);
  app.add_option("--seconds", seconds, "of virtual time for each seed");
  CLI11_PARSE(app, argc, argv);
  fault_injection_result sum;
  double worst = -1e9;
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const fault_injection_result r =
        run_fault_injection(seed, std::chrono::seconds(seconds));
    sum.requests += r.requests;
    sum.answered += r.answered;
    sum.ran += r.ran;
    sum.duplicate_runs += r.duplicate_runs;
    sum.false_not_run += r.false_not_run;
    sum.misdelivered += r.misdelivered;
    sum.config_rollbacks += r.config_rollbacks;
    worst = std::max(worst, r.rate_excess);
    const bool bad = r.duplicate_runs + r.false_not_run + r.misdelivered +
                             r.config_rollbacks >
                         0 ||
                     r.rate_excess > 0;
    if (bad) {
      ++broken;
      std::cout << "seed " << seed << " broke: doubled " << r.duplicate_runs
                << " untrue " << r.false_not_run << " crossed "
                << r.misdelivered << " reverted " << r.config_rollbacks
                << " excess " << r.rate_excess << std::endl;
    }
  }
  std::cout << "seeds " << count << " requests " << sum.requests << " answered "
            << sum.answered << " ran " << sum.ran << " doubled "
            << sum.duplicate_runs << " untrue " << sum.false_not_run
            << " crossed " << sum.misdelivered << " reverted "
            << sum.config_rollbacks << " worst rate excess " << worst
            << " broken seeds " << broken << "\n";
  return broken == 0 ? 0 : 1;
}
