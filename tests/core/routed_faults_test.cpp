// Runs random faults around routed nodes on a few seeds; bench/soak runs more.
#include "support/routed_faults.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

// clang-format off
TEST_GROUP(routed_faults){
};
// clang-format on

TEST(routed_faults, limits_and_changes_hold_for_seeds_1_to_8) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const routed_faults_result r =
        run_routed_faults(seed, std::chrono::seconds(60));
    LONGS_EQUAL(0, r.limits_exceeded);
    LONGS_EQUAL(0, r.requests_after_leaving);
    LONGS_EQUAL(0, r.config_reverted);
    LONGS_EQUAL(0, r.config_late);
    CHECK(r.ran * 2 > r.requests);
  }
}

// Seed 1154: the store was restored and, at once, away again; the version that
// it had at its return was the cursor of all watches, which waited 3 s.
TEST(routed_faults, limits_and_changes_hold_for_seeds_that_failed_before) {
  const routed_faults_result r =
      run_routed_faults(1154, std::chrono::seconds(120));
  CHECK_FALSE(r.broken());
}
