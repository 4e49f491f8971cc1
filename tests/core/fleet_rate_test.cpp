// Tests that a team's rate and burst hold over all nodes while parts fail.
#include "support/golden.hpp"
#include "support/rate_check.hpp"
#include "support/virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

TEST_GROUP(fleet_rate) {
  virtual_fleet f{1};
  std::uint64_t sent = 0;
  std::uint64_t over_rate = 0;

  /// Sends `rate_per_s` requests a second, each through a random entry node.
  void offer(const std::vector<std::string>& entry_nodes, double rate_per_s,
             duration span) {
    const duration interval(static_cast<duration::rep>(1e6 / rate_per_s));
    const instant end = f.time.now() + span;
    while (f.time.now() < end) {
      const std::string& node = entry_nodes[f.random() % entry_nodes.size()];
      if (f.alive(node)) {
        ++sent;
        f.request(node, "/svc/list", "secret-a", "", "x",
                  [this](const outcome& o) {
                    over_rate += o.refusal_reason == reason::over_rate ? 1 : 0;
                  });
      }
      f.run_for(interval);
    }
  }

  double refused_percent() const {
    return 100.0 * static_cast<double>(over_rate) / static_cast<double>(sent);
  }
};

TEST(fleet_rate, a_team_over_its_rate_is_limited_to_its_rate) {
  build_two_data_centres(f, 4, 60, 30);
  f.admissions.clear();
  offer(f.names(), 600, 20s);
  CHECK_TRUE(max_rate_excess(f.admissions, 60, 30) <= 0);
  CHECK_COMPARE(f.admissions.size(), >=, 60U * 20U * 95U / 100U);
}

TEST(fleet_rate, a_team_within_its_rate_is_rarely_refused) {
  build_two_data_centres(f, 4, 120, 60);
  offer(f.names(), 90, 10s);
  sent = 0;
  over_rate = 0;
  offer(f.names(), 90, 20s);
  CHECK_COMPARE(refused_percent(), <, 1.0);
  CHECK_TRUE(max_rate_excess(f.admissions, 120, 60) <= 0);
}

TEST(fleet_rate, shares_follow_demand_to_another_data_centre) {
  build_two_data_centres(f, 3, 120, 60);
  offer({"a1", "a2", "a3"}, 90, 10s);
  sent = 0;
  over_rate = 0;
  offer({"b1", "b2"}, 90, 10s);
  CHECK_COMPARE(refused_percent(), <, 5.0);
  CHECK_TRUE(max_rate_excess(f.admissions, 120, 60) <= 0);
}

TEST(fleet_rate, the_rate_bound_holds_through_node_failures_and_partitions) {
  build_two_data_centres(f, 3, 60, 30);
  offer(f.names(), 300, 5s);
  f.kill("a1");
  f.pause("b1");
  f.partition_data_centres("dc-a", "dc-b");
  f.faults.cut_off_nodes = {"b2", "b3"};
  offer({"a2", "a3", "b2", "b3"}, 300, 40s);
  f.resume("b1");
  f.restart_node("a1");
  offer(f.names(), 300, 5s);
  f.heal();
  f.faults.cut_off_nodes.clear();
  offer(f.names(), 300, 20s);
  CHECK_TRUE(max_rate_excess(f.admissions, 60, 30) <= 0);
}

TEST(fleet_rate, shares_are_kept_during_a_table_outage) {
  build_two_data_centres(f, 3, 120, 60);
  offer(f.names(), 90, 10s);
  f.faults.down = true;
  sent = 0;
  over_rate = 0;
  offer(f.names(), 90, 120s);
  CHECK_COMPARE(refused_percent(), <, 1.0);
  CHECK_TRUE(max_rate_excess(f.admissions, 120, 60) <= 0);
}

TEST(fleet_rate, a_lowered_rate_is_not_exceeded_during_the_change) {
  build_two_data_centres(f, 3, 120, 60);
  offer(f.names(), 300, 10s);
  f.apply_contract("a1", simple_contract("team-a", 30, 15));
  f.run_for(3s);
  f.admissions.clear();
  offer(f.names(), 300, 20s);
  CHECK_TRUE(max_rate_excess(f.admissions, 30, 15) <= 0);
}
