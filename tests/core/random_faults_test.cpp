// Tests the invariants of a fleet under seeded random faults.
#include "support/random_faults.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

namespace {

void check_seed(std::uint64_t seed) {
  const fault_injection_result r = run_fault_injection(seed, 120s);
  const bool all_hold = r.duplicate_runs == 0 && r.false_not_run == 0 &&
                        r.misdelivered == 0 && r.config_rollbacks == 0 &&
                        r.rate_excess <= 0;
  if (!all_hold) {
    UT_PRINT(StringFromFormat(
        "seed %llu: doubled %llu untrue %llu crossed %llu reverted %llu "
        "excess %.1f\n%s",
        static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(r.duplicate_runs),
        static_cast<unsigned long long>(r.false_not_run),
        static_cast<unsigned long long>(r.misdelivered),
        static_cast<unsigned long long>(r.config_rollbacks), r.rate_excess,
        r.fault_log.c_str()));
  }
  CHECK_TRUE(all_hold);
  CHECK_TRUE(r.ran > 0);
}

} // namespace

TEST_GROUP(random_faults){};

TEST(random_faults, invariants_hold_for_seeds_1_to_8) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    check_seed(seed);
  }
}
