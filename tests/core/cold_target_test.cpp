// Tests that a cold target gets no more than it bears, whatever its node knows.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A target of `simple_routes` bears 10 requests per second while it is cold;
/// half more and 5 are allowed in any second.
constexpr std::size_t max_cold_starts_per_s = 20;

/// The most requests that a target started within one second.
std::size_t max_starts_per_s(const fake_target& t, instant from) {
  const std::vector<instant>& starts = t.started_at;
  std::size_t most = 0;
  auto end_it = starts.begin();
  for (auto it = starts.begin(); it != starts.end(); ++it) {
    while (end_it != starts.end() && *end_it < *it + seconds(1)) {
      ++end_it;
    }
    if (*it >= from) {
      most = std::max(most, static_cast<std::size_t>(end_it - it));
    }
  }
  return most;
}

/// An announcement of the instance that a1's target starts with.
target_announcement first_instance_of_a1(std::uint64_t sequence) {
  target_announcement out;
  out.instance = "a1-1";
  out.start_time_ms = 1;
  out.sequence = sequence;
  out.service = "svc";
  out.max_concurrency = 100;
  return out;
}

void use_large_targets(routed_fleet& f, std::size_t nodes_per_data_centre) {
  f.slots = 100;
  build_routed_fleet(f, nodes_per_data_centre);
  for (std::size_t i = 1; i <= nodes_per_data_centre; ++i) {
    for (const char* data_centre : {"a", "b"}) {
      f.target(data_centre + std::to_string(i)).mutable_options().slots = 100;
    }
  }
}

} // namespace

// clang-format off
TEST_GROUP(cold_target){
};
// clang-format on

// A node that had just started, while the store was away, knew no rate for its
// cold target and sent it all that other nodes passed on.
TEST(cold_target, is_not_flooded_by_a_node_that_has_no_routes_yet) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    routed_fleet f(seed);
    use_large_targets(f, 3);
    // The next exchange of news among the members is most of a second away.
    f.run_for(milliseconds(100));
    f.store_down = true;
    f.kill("a1");
    f.target("a1").crash();
    f.target("a1").restart();
    f.cold_time_left = seconds(3);
    const instant started_at = f.time.now();
    f.restart_node("a1");
    routed_load l(f, {"a2", "a3", "b1", "b2"}, "/safe/x", 3000, seconds(3));
    f.run_for(milliseconds(2900));
    CHECK_COMPARE(max_starts_per_s(f.target("a1"), started_at), <=,
                  max_cold_starts_per_s);
    f.run_for(seconds(2));
  }
}

// Guards against a cold target that waits for its rate until its node happens
// to exchange news with another.
TEST(cold_target, is_used_soon_after_its_node_was_called_without_routes) {
  routed_fleet f(3);
  use_large_targets(f, 3);
  f.run_for(milliseconds(100));
  f.store_down = true;
  f.kill("a1");
  f.target("a1").crash();
  f.target("a1").restart();
  f.cold_time_left = seconds(3);
  f.restart_node("a1");
  routed_load l(f, {"a2", "a3", "b1", "b2"}, "/safe/x", 3000, seconds(4));
  const std::uint64_t before = f.target("a1").total_runs;
  f.run_for(milliseconds(800));
  CHECK_COMPARE(f.target("a1").total_runs, >=, before + 4);
  f.run_for(seconds(5));
}

// A data centre came back cold, and an announcement from before, which said
// that the target was warm, arrived late.
TEST(cold_target, is_not_taken_for_warm_by_an_announcement_from_before) {
  routed_fleet f(7);
  use_large_targets(f, 1);
  f.mark_out("dc-a", true);
  f.run_for(milliseconds(500));
  f.announcing = false;
  f.mark_out("dc-a", false);
  f.run_for(milliseconds(100));
  const instant returned_at = f.time.now();
  f.at("a1").on_target_announce(first_instance_of_a1(1000));
  routed_load l(f, {"a1"}, "/safe/x", 400, seconds(2));
  f.run_for(milliseconds(1900));
  CHECK_COMPARE(max_starts_per_s(f.target("a1"), returned_at), <=,
                max_cold_starts_per_s);
  f.run_for(seconds(2));
}

// A target crashed and started again under its name; an announcement from
// before the crash arrived before the first one of the new instance.
TEST(cold_target, may_be_cold_after_it_refused_a_connection) {
  routed_fleet f(8);
  use_large_targets(f, 1);
  f.announcing = false;
  f.target("a1").crash();
  f.request_and_wait("a1", "/safe/x", "k");
  f.target("a1").restart();
  const instant restarted_at = f.time.now();
  f.at("a1").on_target_announce(first_instance_of_a1(1000));
  routed_load l(f, {"a1"}, "/safe/x", 400, seconds(2));
  f.run_for(milliseconds(1900));
  CHECK_COMPARE(max_starts_per_s(f.target("a1"), restarted_at), <=,
                max_cold_starts_per_s);
  f.run_for(seconds(2));
}

TEST(cold_target, is_warm_when_a_new_instance_says_so) {
  routed_fleet f(9);
  use_large_targets(f, 1);
  f.target("a1").crash();
  f.request_and_wait("a1", "/safe/x", "k");
  f.target("a1").restart();
  f.run_for(seconds(2));
  const std::uint64_t before = f.target("a1").total_runs;
  routed_load l(f, {"a1"}, "/safe/x", 200, seconds(1));
  f.run_for(milliseconds(900));
  CHECK_COMPARE(f.target("a1").total_runs, >=, before + 60);
  f.run_for(seconds(2));
}
