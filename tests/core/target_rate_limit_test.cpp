// Tests the rate that a target asks for in its answers, over all nodes, and
// targets that state that they are about to end.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A limit must be in force this long after a target first stated it.
constexpr duration limit_apply_time = seconds(3);
constexpr duration limit_window = seconds(4);
/// A target that states that it leaves gets no requests that are sent later.
constexpr duration drain_time = seconds(2);

/// The most starts in any window from `since` on.
std::size_t most_in_window(const std::vector<instant>& starts, instant since) {
  std::size_t most = 0;
  for (std::size_t i = 0; i < starts.size(); ++i) {
    if (starts[i] < since) {
      continue;
    }
    std::size_t n = 0;
    while (i + n < starts.size() && starts[i + n] < starts[i] + limit_window) {
      ++n;
    }
    most = std::max(most, n);
  }
  return most;
}

std::size_t allowed_in_window(double rate_per_s) {
  return static_cast<std::size_t>(
      rate_per_s * 1.5 * static_cast<double>(limit_window / seconds(1)) + 5);
}

std::size_t starts_since(const std::vector<instant>& starts, instant since) {
  return static_cast<std::size_t>(
      std::count_if(starts.begin(), starts.end(),
                    [since](instant it) { return it >= since; }));
}

void state_limit(routed_fleet& f, const std::string& node,
                 const std::string& per_s) {
  f.target(node).answer_headers = {{rate_limit_field, per_s}};
}

/// A fleet of four nodes whose targets take 60 ms for a request.
struct limited_fleet {
  explicit limited_fleet(std::uint64_t seed) : fleet(seed) {
    build_routed_fleet(fleet, 2);
    fleet.slots = 100;
    for (const std::string& it : nodes) {
      fleet.target(it).mutable_options().slots = 100;
      fleet.target(it).mutable_options().service_time = milliseconds(60);
    }
    fleet.run_for(seconds(1));
  }

  /// Whether a target got no more than it asked for since `stated_at`.
  bool keeps_limit(const std::string& node, double per_s, instant stated_at) {
    return most_in_window(fleet.target(node).started_at,
                          stated_at + limit_apply_time) <=
           allowed_in_window(per_s);
  }

  /// An announcement of the first instance of a1 arrives late.
  void announce_late() {
    target_announcement late;
    late.instance = "a1-1";
    late.start_time_ms = 1;
    late.sequence = 1000;
    late.service = "svc";
    late.max_concurrency = 100;
    fleet.at("a1").on_target_announce(late);
  }

  /// Starts a new instance, which states nothing.
  void replace_idle_target(const std::string& node) {
    fleet.target(node).answer_headers.clear();
    fleet.target(node).crash();
    fleet.target(node).restart();
    fleet.run_for(seconds(2));
  }

  routed_fleet fleet;
  std::vector<std::string> nodes{"a1", "a2", "b1", "b2"};
};

} // namespace

// clang-format off
TEST_GROUP(target_rate_limit){
};
TEST_GROUP(target_leaving){
};
// clang-format on

// A target got its usual load although its answers asked for less.
TEST(target_rate_limit, a_target_gets_no_more_than_it_asks_for_from_all_nodes) {
  limited_fleet l(1);
  routed_load load(l.fleet, l.nodes, "/safe/x", 200, seconds(14));
  l.fleet.run_for(seconds(2));
  const instant stated_at = l.fleet.time.now();
  state_limit(l.fleet, "a1", "10");
  l.fleet.run_for(seconds(13));
  CHECK(l.keeps_limit("a1", 10, stated_at));
  // The other targets have room for the rest.
  CHECK(load.ran * 100 >= load.sent * 97);
  // The target is not left without requests either.
  CHECK(starts_since(l.fleet.target("a1").started_at, stated_at) >= 10 * 8);
}

TEST(target_rate_limit, a_limit_ends_when_answers_no_longer_state_it) {
  limited_fleet l(2);
  routed_load load(l.fleet, l.nodes, "/safe/x", 200, seconds(16));
  state_limit(l.fleet, "a1", "10");
  l.fleet.run_for(seconds(8));
  l.fleet.target("a1").answer_headers.clear();
  l.fleet.run_for(seconds(2));
  const instant since = l.fleet.time.now();
  l.fleet.run_for(seconds(7));
  // An even part of 200 a second is 50.
  CHECK(starts_since(l.fleet.target("a1").started_at, since) >= 5 * 25);
}

// A node that restarts beside a limited target knows nothing of the limit.
TEST(target_rate_limit,
     a_limit_holds_when_the_node_beside_the_target_restarts) {
  limited_fleet l(3);
  routed_load load(l.fleet, l.nodes, "/safe/x", 400, seconds(20));
  l.fleet.target("a1").mutable_options().service_time = milliseconds(900);
  const instant stated_at = l.fleet.time.now();
  state_limit(l.fleet, "a1", "2");
  for (int i = 0; i < 4; ++i) {
    l.fleet.run_for(seconds(4));
    l.fleet.kill("a1");
    l.fleet.run_for(milliseconds(300));
    l.fleet.restart_node("a1");
  }
  l.fleet.run_for(seconds(5));
  CHECK(l.keeps_limit("a1", 2, stated_at));
}

TEST(target_rate_limit, a_limit_holds_when_all_nodes_restart) {
  limited_fleet l(4);
  routed_load load(l.fleet, l.nodes, "/safe/x", 400, seconds(16));
  l.fleet.target("a1").mutable_options().service_time = milliseconds(900);
  const instant stated_at = l.fleet.time.now();
  state_limit(l.fleet, "a1", "2");
  l.fleet.run_for(seconds(6));
  for (const std::string& it : l.nodes) {
    l.fleet.kill(it);
  }
  l.fleet.run_for(milliseconds(500));
  for (const std::string& it : l.nodes) {
    l.fleet.restart_node(it);
  }
  l.fleet.run_for(seconds(12));
  CHECK(l.keeps_limit("a1", 2, stated_at));
}

TEST(target_rate_limit, a_limit_holds_on_both_sides_of_a_partition) {
  limited_fleet l(5);
  routed_load load(l.fleet, l.nodes, "/safe/x", 200, seconds(20));
  state_limit(l.fleet, "a1", "10");
  const instant stated_at = l.fleet.time.now();
  l.fleet.run_for(seconds(4));
  for (const char* a : {"a1", "a2"}) {
    l.fleet.block_link(a, "b1");
    l.fleet.block_link(a, "b2");
  }
  l.fleet.run_for(seconds(6));
  l.fleet.add("a3", "dc-a", "svc");
  l.fleet.run_for(seconds(2));
  l.fleet.heal();
  l.fleet.run_for(seconds(9));
  CHECK(l.keeps_limit("a1", 10, stated_at));
}

TEST(target_rate_limit, a_new_instance_of_the_target_has_no_limit) {
  limited_fleet l(6);
  state_limit(l.fleet, "a1", "4");
  routed_load before(l.fleet, l.nodes, "/safe/x", 200, seconds(4));
  l.fleet.run_for(seconds(6));
  l.replace_idle_target("a1");
  const instant since = l.fleet.time.now();
  routed_load after(l.fleet, l.nodes, "/safe/x", 200, seconds(10));
  l.fleet.run_for(seconds(11));
  CHECK(starts_since(l.fleet.target("a1").started_at, since) >= 8 * 25);
}

TEST(target_rate_limit, a_limit_of_zero_still_ends) {
  limited_fleet l(7);
  routed_load load(l.fleet, l.nodes, "/safe/x", 200, seconds(26));
  const instant stated_at = l.fleet.time.now();
  state_limit(l.fleet, "a1", "0");
  l.fleet.run_for(seconds(10));
  CHECK(l.keeps_limit("a1", 0, stated_at));
  l.fleet.target("a1").answer_headers.clear();
  l.fleet.run_for(seconds(7));
  const instant since = l.fleet.time.now();
  l.fleet.run_for(seconds(10));
  CHECK(starts_since(l.fleet.target("a1").started_at, since) >= 5 * 25);
}

// Requests were refused at limited targets while another one had room.
TEST(target_rate_limit, requests_go_to_the_one_target_that_has_room) {
  limited_fleet l(12);
  for (const char* it : {"a1", "a2", "b1"}) {
    state_limit(l.fleet, it, "5");
  }
  routed_load load(l.fleet, l.nodes, "/once/x", 100, seconds(10));
  l.fleet.run_for(seconds(12));
  CHECK(load.ran * 100 >= load.sent * 97);
}

TEST(target_rate_limit, requests_beyond_the_limits_of_all_targets_are_refused) {
  limited_fleet l(8);
  for (const std::string& it : l.nodes) {
    state_limit(l.fleet, it, "5");
  }
  std::size_t answered_late = 0;
  std::size_t refused_by_limit = 0;
  routed_load load(l.fleet, l.nodes, "/once/x", 100, seconds(10));
  l.fleet.run_for(seconds(5));
  for (int i = 0; i < 20; ++i) {
    const instant sent_at = l.fleet.time.now();
    const outcome o = l.fleet.request_and_wait("a1", "/once/x", "k");
    answered_late += l.fleet.time.now() - sent_at > seconds(1) ? 1 : 0;
    if (o.refusal_reason == reason::target_rate_limited) {
      ++refused_by_limit;
      CHECK(verdict::not_run == o.execution);
      CHECK(o.retry_after.count() > 0);
    }
  }
  CHECK(refused_by_limit > 0);
  LONGS_EQUAL(0, answered_late);
  l.fleet.run_for(seconds(10));
}

// Requests went on to a target whose answers said that it leaves.
TEST(target_leaving, a_target_that_states_that_it_leaves_gets_no_requests) {
  limited_fleet l(9);
  routed_load load(l.fleet, l.nodes, "/safe/x", 200, seconds(10));
  l.fleet.run_for(seconds(2));
  l.fleet.target("a1").answer_headers = {{leaving_field, "1"}};
  l.fleet.run_for(milliseconds(200) + drain_time);
  const instant since = l.fleet.time.now();
  l.fleet.run_for(seconds(9));
  LONGS_EQUAL(0, starts_since(l.fleet.target("a1").started_at, since));
  CHECK(load.ran * 100 >= load.sent * 97);
}

// A restarted node beside a leaving target took its next heartbeat for that of
// a target in service.
TEST(target_leaving, other_nodes_remember_it_when_the_targets_node_restarts) {
  limited_fleet l(10);
  const std::vector<std::string> others{"a2", "b1", "b2"};
  routed_load load(l.fleet, others, "/safe/x", 200, seconds(14));
  l.fleet.run_for(seconds(2));
  l.fleet.target("a1").answer_headers = {{leaving_field, "1"}};
  l.fleet.run_for(milliseconds(200) + drain_time);
  const instant since = l.fleet.time.now();
  l.fleet.kill("a1");
  l.fleet.run_for(milliseconds(300));
  l.fleet.restart_node("a1");
  l.fleet.run_for(seconds(12));
  LONGS_EQUAL(0, starts_since(l.fleet.target("a1").started_at, since));
}

// A node that had acknowledged that its target leaves restarted, and took a
// late announcement for that of a target in service.
TEST(target_leaving, other_nodes_remember_a_goodbye_when_the_node_restarts) {
  limited_fleet l(12);
  const std::vector<std::string> others{"a2", "b1", "b2"};
  routed_load load(l.fleet, others, "/safe/x", 200, seconds(14));
  l.fleet.run_for(seconds(2));
  l.fleet.announcing = false;
  l.fleet.at("a1").on_target_leave("a1-1", 0);
  l.fleet.run_for(milliseconds(200) + drain_time);
  const instant since = l.fleet.time.now();
  l.fleet.kill("a1");
  l.fleet.run_for(milliseconds(300));
  l.fleet.restart_node("a1");
  l.announce_late();
  l.fleet.run_for(seconds(12));
  LONGS_EQUAL(0, starts_since(l.fleet.target("a1").started_at, since));
}

// Without calls from other nodes nothing told a restarted node that its target
// had left, and its own callers used the target.
TEST(target_leaving, a_goodbye_is_remembered_by_nodes_that_send_no_requests) {
  limited_fleet l(13);
  l.fleet.run_for(seconds(2));
  l.fleet.announcing = false;
  l.fleet.at("a1").on_target_leave("a1-1", 0);
  l.fleet.run_for(drain_time);
  l.fleet.kill("a1");
  l.fleet.run_for(milliseconds(300));
  l.fleet.restart_node("a1");
  l.announce_late();
  l.fleet.run_for(seconds(2));
  const instant since = l.fleet.time.now();
  routed_load load(l.fleet, {"a1"}, "/safe/x", 50, seconds(3));
  l.fleet.run_for(seconds(4));
  CHECK(load.ran > 0);
  LONGS_EQUAL(0, starts_since(l.fleet.target("a1").started_at, since));
}

// A goodbye to a process that had never heard of the target was known to it
// only.
TEST(target_leaving, a_goodbye_to_a_restarted_node_is_remembered) {
  limited_fleet l(14);
  l.fleet.run_for(seconds(2));
  l.fleet.announcing = false;
  for (const bool says_goodbye : {true, false}) {
    l.fleet.kill("a1");
    l.fleet.run_for(milliseconds(300));
    l.fleet.restart_node("a1");
    if (says_goodbye) {
      l.fleet.at("a1").on_target_leave("a1-1", 1);
    }
    l.fleet.run_for(drain_time);
  }
  l.announce_late();
  const instant since = l.fleet.time.now();
  routed_load load(l.fleet, {"a1"}, "/safe/x", 50, seconds(3));
  l.fleet.run_for(seconds(4));
  CHECK(load.ran > 0);
  LONGS_EQUAL(0, starts_since(l.fleet.target("a1").started_at, since));
}

TEST(target_leaving, a_new_instance_of_the_target_is_used) {
  limited_fleet l(11);
  l.fleet.target("a1").answer_headers = {{leaving_field, "1"}};
  routed_load before(l.fleet, l.nodes, "/safe/x", 200, seconds(3));
  l.fleet.run_for(seconds(5));
  l.replace_idle_target("a1");
  const instant since = l.fleet.time.now();
  routed_load after(l.fleet, l.nodes, "/safe/x", 200, seconds(5));
  l.fleet.run_for(seconds(6));
  CHECK(starts_since(l.fleet.target("a1").started_at, since) >= 3 * 25);
}

// A departure that was gossiped again displaced what the next instance stated.
TEST(target_leaving, a_known_departure_displaces_no_later_notice) {
  node_identity self;
  self.node = "n1";
  member_table members(self, [] { return 1; });
  wire::memberT other;
  other.node = "n2";
  other.incarnation = 1;
  other.departure = std::make_unique<wire::target_noticeT>();
  other.departure->instance = "i-1";
  other.departure->leaving = true;
  members.merge(other, instant(0));
  CHECK(members.find("n2")->target_notice->instance == "i-1");
  wire::target_noticeT stated;
  stated.instance = "i-2";
  stated.rate_limit_per_s = 5;
  members.find("n2")->target_notice = stated;
  ++other.beat;
  CHECK(members.merge(other, instant(0)));
  CHECK(members.find("n2")->target_notice->instance == "i-2");
}
