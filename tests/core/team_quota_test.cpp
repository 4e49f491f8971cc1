// Tests a team's rate over the whole fleet, enforced without a coordinator.
#include "support/routed_load.hpp"

#include "kingcupslip/core/token_bucket.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> names_of(std::size_t nodes_per_data_centre) {
  std::vector<std::string> out;
  for (std::size_t i = 1; i <= nodes_per_data_centre; ++i) {
    out.push_back("a" + std::to_string(i));
    out.push_back("b" + std::to_string(i));
  }
  return out;
}

/// Returns how many requests at these times a single bucket would admit.
std::size_t admitted_by_one_bucket(const std::vector<instant>& at,
                                   double rate_per_s, double burst) {
  token_bucket b;
  b.resize(rate_per_s, burst, at.front() - seconds(60));
  std::size_t n = 0;
  for (const instant it : at) {
    n += b.take(it) ? 1 : 0;
  }
  return n;
}

struct served_requests {
  std::size_t ran = 0;
  std::size_t expected = 0; ///< what a single bucket would admit
};

/// Sends random load of a team with this rate and burst through 16 nodes.
served_requests serve_random_load(std::uint64_t seed, double rate_per_s,
                                  double sent_per_s, seconds span) {
  routed_fleet f(seed);
  build_routed_fleet(f, 8, simple_routes(rate_per_s, rate_per_s));
  f.run_for(seconds(10));
  const routed_load l(f, names_of(8), "/safe/x", sent_per_s, span, 7);
  f.run_for(span + seconds(2));
  return {l.ran, admitted_by_one_bucket(l.sent_at, rate_per_s, rate_per_s)};
}

} // namespace

// clang-format off
TEST_GROUP(team_quota){
};
// clang-format on

TEST(team_quota, a_team_is_served_when_all_demand_is_at_one_node) {
  // All demand is at one of eight nodes; the others lend it their tokens.
  routed_fleet f(20);
  build_routed_fleet(f, 4, simple_routes(80, 80));
  f.run_for(seconds(2));
  routed_load l(f, {"a1"}, "/safe/x", 50, seconds(10));
  f.run_for(seconds(11));
  CHECK(l.ran * 100 >= l.sent * 95);
}

TEST(team_quota,
     a_low_rate_team_is_served_while_the_store_is_down_from_the_start) {
  routed_fleet f(21);
  build_routed_fleet(f, 4, simple_routes(16, 16));
  f.store_down = true;
  f.run_for(seconds(2));
  routed_load l(f, {"a1", "b2", "a3", "b4", "a2", "b1", "a4", "b3"}, "/safe/x",
                4, seconds(25));
  f.run_for(seconds(26));
  CHECK(l.ran * 100 >= l.sent * 95);
}

TEST(team_quota, the_rate_bound_holds_through_partitions_and_restarts) {
  routed_fleet f(22);
  build_routed_fleet(f, 4, simple_routes(40, 40));
  f.run_for(seconds(2));
  const std::vector<std::string> all{"a1", "a2", "a3", "a4",
                                     "b1", "b2", "b3", "b4"};
  std::vector<std::uint64_t> runs_at_second;
  routed_load l(f, all, "/safe/x", 300, seconds(30));
  for (int s = 0; s < 30; ++s) {
    if (s == 5) {
      for (const char* a : {"a1", "a2", "a3", "a4"}) {
        for (const char* b : {"b1", "b2", "b3", "b4"}) {
          f.block_link(a, b);
        }
      }
    }
    if (s == 18) {
      f.heal();
    }
    if (s == 12 || s == 22) {
      for (const std::string& it : all) {
        f.kill(it);
        f.restart_node(it);
      }
    }
    runs_at_second.push_back(target_runs(f, all));
    f.run_for(seconds(1));
  }
  for (std::size_t i = 0; i + 5 < runs_at_second.size(); ++i) {
    const std::uint64_t in_window = runs_at_second[i + 5] - runs_at_second[i];
    CHECK(in_window <= (40 * 5 + 40) * 1.1 + 20);
  }
}

TEST(team_quota, a_small_team_below_its_rate_is_served_by_sixteen_nodes) {
  const served_requests p = serve_random_load(25, 5, 4, seconds(120));
  CHECK(p.ran * 100 >= p.expected * 95);
}

TEST(team_quota, a_large_team_below_its_rate_is_served_by_sixteen_nodes) {
  const served_requests p = serve_random_load(27, 66, 60, seconds(60));
  CHECK(p.ran * 100 >= p.expected * 95);
}

TEST(team_quota, a_team_is_served_evenly_by_all_nodes) {
  routed_fleet f(28);
  build_routed_fleet(f, 4, simple_routes(10, 10));
  f.run_for(seconds(10));
  std::vector<std::unique_ptr<routed_load>> loads;
  std::size_t sum = 0;
  for (const std::string& it : names_of(4)) {
    loads.push_back(std::make_unique<routed_load>(
        f, std::vector<std::string>{it}, "/safe/x", 4, seconds(60),
        loads.size() + 1));
  }
  f.run_for(seconds(62));
  for (const std::unique_ptr<routed_load>& it : loads) {
    sum += it->ran;
  }
  for (const std::unique_ptr<routed_load>& it : loads) {
    CHECK(it->ran * loads.size() * 2 >= sum);
  }
}

TEST(team_quota, a_large_fleet_keeps_a_small_team_within_its_burst) {
  routed_fleet f(26);
  build_routed_fleet(f, 50, simple_routes(5, 5));
  f.run_for(seconds(10));
  const std::vector<std::string> all = names_of(50);
  const std::uint64_t before = target_runs(f, all);
  routed_load l(f, all, "/safe/x", 50, seconds(4));
  f.run_for(seconds(5));
  CHECK(target_runs(f, all) - before <= (5 * 5 + 5) * 1.1 + 20);
}

// A node that had been suspended spent tokens that were lent to it before.
TEST(team_quota, a_grant_that_arrives_after_a_suspension_has_lapsed) {
  node_identity self;
  self.node = "n1";
  self.incarnation = 1;
  member_table members(self, [] { return 1; });
  wire::memberT other;
  other.node = "n2";
  other.incarnation = 1;
  members.merge(other, instant(0));
  std::vector<wire::quota_askT> asks;
  team_quota quota(
      members,
      [&asks](const std::string&, const wire::payloadUnion& body) {
        if (body.type == wire::payload::quota_ask) {
          asks.push_back(*body.Asquota_ask());
        }
      },
      [] { return 1; });
  const instant asked_at = seconds(50);
  quota.apply(*std::make_shared<const route_table>(simple_routes(10, 10)),
              asked_at);
  const token_source tokens = quota.make_token_source();
  while (quota.take("t", asked_at)) {
  }
  tokens.on_queue_change("t", 1, asked_at + seconds(1), asked_at);
  LONGS_EQUAL(1, asks.size());
  wire::quota_grantT grant;
  grant.team = "t";
  grant.tokens = 20;
  grant.asked_us = asks.front().asked_us;
  const instant in_time = asked_at + milliseconds(100);
  quota.on_grant(grant, in_time);
  CHECK(quota.take("t", in_time));
  const instant woken = asked_at + seconds(5);
  quota.on_grant(grant, woken);
  std::size_t taken = 0;
  while (quota.take("t", woken)) {
    ++taken;
  }
  // Its own part of the burst.
  CHECK_COMPARE(taken, <=, 5);
}
