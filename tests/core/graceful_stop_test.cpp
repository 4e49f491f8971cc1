// Tests the graceful stop of a node: what it has taken is answered before its
// process ends.
#include "support/routed_load.hpp"
#include "support/virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration grace_period = seconds(6);
/// Routes whose requests may last longer than a grace period.
constexpr milliseconds route_timeout{20'000};

void build_slow_fleet(routed_fleet& f, duration service_time) {
  route_table::content routes = simple_routes();
  for (host_route& it : routes.routes) {
    it.timeout = route_timeout;
  }
  build_routed_fleet(f, 2, routes);
  for (const char* it : {"a1", "a2", "b1", "b2"}) {
    f.target(it).mutable_options().service_time = service_time;
    f.target(it).keep_started_requests = true;
  }
}

/// The answers that callers got, in order.
struct answers {
  outcome_handler collect() {
    return [this](outcome o) { got.push_back(std::move(o)); };
  }
  std::vector<outcome> got;
};

duration longest_time_limit(routed_fleet& f) {
  duration longest{0};
  for (const char* it : {"a1", "a2", "b1", "b2"}) {
    for (const target_request& r : f.target(it).started_requests) {
      longest = std::max(longest, r.time_left);
    }
  }
  return longest;
}

} // namespace

// clang-format off
TEST_GROUP(graceful_stop){
};
// clang-format on

// The connections of requests that outlast the grace period were closed
// without an answer.
TEST(graceful_stop, a_request_that_outlasts_the_grace_period_is_answered) {
  for (const char* path : {"/safe/x", "/once/x"}) {
    routed_fleet f(1);
    build_slow_fleet(f, seconds(20));
    answers a;
    for (int i = 0; i < 4; ++i) {
      f.request("a1", path, "k", a.collect(), route_timeout);
    }
    f.run_for(milliseconds(50));
    f.at("a1").start_draining();
    f.run_for(grace_period * 9 / 10);
    LONGS_EQUAL(0, a.got.size());
    for (int i = 0; i < 60 && !f.at("a1").drained(); ++i) {
      f.run_for(milliseconds(10));
    }
    CHECK(f.at("a1").drained());
    LONGS_EQUAL(4, a.got.size());
    for (const outcome& it : a.got) {
      CHECK(reason::draining == it.refusal_reason);
      CHECK(verdict::may_have_run == it.execution);
    }
    LONGS_EQUAL(0, f.at("a1").in_progress());
  }
}

// A request that waits for its turn when the grace period ends was cut too; it
// has not run.
TEST(graceful_stop, a_request_that_still_waits_is_refused_as_not_run) {
  routed_fleet f(2);
  f.write_routes([] {
    route_table::content routes = simple_routes();
    for (host_route& it : routes.routes) {
      it.timeout = route_timeout;
      it.max_targets = 1;
    }
    return routes;
  }());
  fake_target::options slow;
  slow.slots = 1;
  slow.service_time = seconds(8);
  f.slots = 1;
  f.add("a1", "dc-a", "svc", slow);
  f.add("a2", "dc-a", "other", slow);
  f.run_for(seconds(3));
  answers a;
  f.request("a1", "/once/x", "k", a.collect(), route_timeout);
  f.run_for(milliseconds(50));
  f.request("a1", "/once/y", "k", a.collect(), route_timeout);
  f.run_for(milliseconds(50));
  f.at("a1").start_draining();
  f.run_for(grace_period);
  LONGS_EQUAL(2, a.got.size());
  LONGS_EQUAL(1, f.target("a1").total_runs);
  LONGS_EQUAL(1,
              std::count_if(a.got.begin(), a.got.end(), [](const outcome& o) {
                return o.execution == verdict::not_run &&
                       o.refusal_reason == reason::draining;
              }));
}

// A request that was taken late in the grace period was passed on with all of
// its caller's time, and cut at the end.
TEST(graceful_stop, a_request_taken_while_draining_gets_the_time_that_is_left) {
  routed_fleet f(3);
  build_slow_fleet(f, milliseconds(100));
  f.at("a1").start_draining();
  f.run_for(milliseconds(2500));
  answers a;
  f.request("a1", "/once/x", "k", a.collect(), route_timeout);
  f.run_for(milliseconds(200));
  LONGS_EQUAL(1, a.got.size());
  CHECK(verdict::ran == a.got.front().execution);
  CHECK(longest_time_limit(f) <= grace_period - milliseconds(2500));
  CHECK(longest_time_limit(f) > seconds(2));
}

// Runs that were in progress failed when the node beside their target refused
// their nested calls.
TEST(graceful_stop, nested_calls_of_a_run_in_progress_are_still_served) {
  routed_fleet f(4);
  build_slow_fleet(f, milliseconds(10));
  for (int i = 0; i < 8; ++i) {
    f.request_and_wait("a2", "/once/x", "k");
  }
  f.target("a1").request_handler =
      [&f](const target_request&,
           const std::function<void(std::uint16_t)>& done) {
        f.time.run_after(milliseconds(3700), [&f, done] {
          f.request("a1", "/inner/x", "", [done](const outcome& o) {
            done(o.refusal_reason == reason::none ? 200 : 500);
          });
        });
      };
  answers a;
  for (int i = 0; i < 8; ++i) {
    f.request("a2", "/once/x", "k", a.collect(), route_timeout);
  }
  f.run_for(milliseconds(50));
  CHECK(f.target("a1").load() > 0);
  f.at("a1").start_draining();
  f.run_for(milliseconds(4500));
  LONGS_EQUAL(8, a.got.size());
  for (const outcome& it : a.got) {
    LONGS_EQUAL(200, it.status);
  }
  CHECK(f.at("a1").drained());
}

// The same on the product's own interface.
TEST(graceful_stop, a_node_with_keys_answers_what_outlasts_its_drain_limit) {
  virtual_fleet f(5);
  build_two_data_centres(f, 2);
  for (const std::string& it : f.names()) {
    f.target(it).mutable_options().service_time = seconds(90);
  }
  answers a;
  for (const char* path : {"/svc/list", "/svc/book"}) {
    f.request("a1", path, "secret-a", f.make_idempotency_key(), "x",
              a.collect(), seconds(80));
  }
  f.run_for(milliseconds(50));
  f.at("a1").start_draining();
  f.run_for(seconds(19));
  LONGS_EQUAL(0, a.got.size());
  f.run_for(seconds(2));
  CHECK(f.at("a1").drained());
  LONGS_EQUAL(2, a.got.size());
  for (const outcome& it : a.got) {
    CHECK(reason::draining == it.refusal_reason);
    CHECK(verdict::may_have_run == it.execution);
  }
}
