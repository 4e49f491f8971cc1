// Tests announcements and goodbyes that another writer sends to a node, and
// sound ones whose service is named late.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An announcement that a node acknowledges but for what a test changes. It is
/// newer than those of the simulated targets.
target_announcement announcement_of(const std::string& instance,
                                    const routed_node& node) {
  target_announcement out;
  out.instance = instance;
  out.start_time_ms = static_cast<std::uint64_t>(node.clock().wall.count());
  out.sequence = 1;
  out.service = "svc";
  out.max_concurrency = 10;
  return out;
}

/// Checks that the node sends requests to its own target.
void check_in_use(routed_fleet& f, const std::string& node,
                  const std::string& instance) {
  STRCMP_EQUAL("svc", f.at(node).target().service().c_str());
  STRCMP_EQUAL(instance.c_str(), f.at(node).target().instance().c_str());
  const std::uint64_t before = f.target(node).total_runs;
  routed_load l(f, {node}, "/safe/x", 100, seconds(1));
  f.run_for(seconds(2));
  LONGS_EQUAL(l.sent, l.ran);
  CHECK_COMPARE(f.target(node).total_runs, >, before);
}

} // namespace

// clang-format off
TEST_GROUP(foreign_announcement){
};
// clang-format on

// Requests ran with the announced service as their caller's, and the target
// beside the node got none until the node restarted.
TEST(foreign_announcement, of_another_service_displaces_no_target) {
  routed_fleet f(40);
  build_routed_fleet(f, 1);
  target_announcement foreign = announcement_of("x", f.at("a1"));
  foreign.service = "reports";
  CHECK_FALSE(f.at("a1").on_target_announce(foreign));
  f.run_for(seconds(2));
  check_in_use(f, "a1", "a1-1");
}

// The same before the node knows which services there are.
TEST(foreign_announcement, before_the_desired_state_displaces_no_target) {
  routed_fleet f(41);
  f.announcing = false;
  f.add("a1", "dc-a", "svc");
  f.run_for(milliseconds(100));
  target_announcement foreign = announcement_of("x", f.at("a1"));
  foreign.service = "reports";
  CHECK_FALSE(f.at("a1").on_target_announce(foreign));
  STRCMP_EQUAL("svc", f.at("a1").target().service().c_str());
  f.announcing = true;
  f.kill("a1");
  f.restart_node("a1");
  CHECK_FALSE(f.at("a1").on_target_announce(foreign));
  f.add("b1", "dc-b", "svc");
  f.write_routes(simple_routes());
  f.run_for(seconds(3));
  check_in_use(f, "a1", "a1-1");
}

// A draining announcement of another writer stopped the target's requests.
TEST(foreign_announcement, that_is_draining_stops_no_target) {
  routed_fleet f(42);
  build_routed_fleet(f, 1);
  target_announcement foreign = announcement_of("x", f.at("a1"));
  foreign.service = "reports";
  foreign.draining = true;
  CHECK_FALSE(f.at("a1").on_target_announce(foreign));
  CHECK(f.at("a1").target().ready());
  check_in_use(f, "a1", "a1-1");
}

// A target in another data centre was taken for the one beside the node.
TEST(foreign_announcement, of_another_data_centre_displaces_no_target) {
  routed_fleet f(43);
  build_routed_fleet(f, 1);
  target_announcement foreign = announcement_of("x", f.at("a1"));
  foreign.data_centre = "dc-b";
  CHECK_FALSE(f.at("a1").on_target_announce(foreign));
  foreign.sequence = 2;
  foreign.data_centre = "dc-a";
  CHECK(f.at("a1").on_target_announce(foreign));
}

// Only the last goodbye was remembered: after one of another instance, a late
// announcement of a target that had left displaced its successor. Targets that
// state no start time differ by their names only.
TEST(foreign_announcement, a_goodbye_of_another_instance_hides_no_other) {
  routed_fleet f(44);
  build_routed_fleet(f, 1);
  f.announcing = false;
  f.kill("a1");
  f.restart_node("a1");
  f.run_for(milliseconds(100));
  target_announcement own = announcement_of("i", f.at("a1"));
  own.start_time_ms = 0;
  target_announcement successor = own;
  successor.instance = "successor";
  f.at("a1").on_target_announce(own);
  f.at("a1").on_target_leave("i", 0);
  f.at("a1").on_target_announce(successor);
  for (int n = 0; n < 1000; ++n) {
    f.at("a1").on_target_leave("x" + std::to_string(n), 0);
  }
  own.sequence = 9;
  f.at("a1").on_target_announce(own);
  STRCMP_EQUAL("successor", f.at("a1").target().instance().c_str());
  CHECK(f.at("a1").target().ready());
}

// A goodbye of an instance that is not the target's must not stop it.
TEST(foreign_announcement, a_goodbye_of_another_instance_stops_no_target) {
  routed_fleet f(45);
  build_routed_fleet(f, 1);
  f.at("a1").on_target_leave("x", 0);
  check_in_use(f, "a1", "a1-1");
}

// A sound target whose service no route names yet is used as soon as one does.
TEST(foreign_announcement, a_service_that_is_named_later_is_used_in_time) {
  routed_fleet f(46);
  f.add("a1", "dc-a", "svc");
  f.add("b1", "dc-b", "svc");
  route_table::content without = simple_routes();
  for (host_route& it : without.routes) {
    it.services = {{"other", 1}};
  }
  without.services.clear();
  f.write_routes(without);
  f.run_for(seconds(3));
  CHECK_FALSE(f.request_and_wait("a1", "/safe/x", "k").status == 200);
  f.write_routes(simple_routes());
  f.run_for(seconds(1));
  check_in_use(f, "a1", "a1-1");
}

// A node that restarts while the store is away uses its target again.
TEST(foreign_announcement, a_target_is_used_while_the_store_is_away) {
  routed_fleet f(47);
  build_routed_fleet(f, 2);
  f.store_down = true;
  f.run_for(seconds(1));
  f.kill("a1");
  f.restart_node("a1");
  f.run_for(seconds(3));
  check_in_use(f, "a1", "a1-1");
}

// The settings name another service: its target has the address from then on.
// Requests that waited for the earlier one ran at the new one.
TEST(foreign_announcement, a_service_in_new_settings_ends_the_earlier_target) {
  routed_fleet f(48);
  f.slots = 1;
  build_routed_fleet(f, 1);
  f.kill("b1");
  f.run_for(seconds(7));
  f.target("a1").mutable_options().service_time = seconds(30);
  std::optional<outcome> waiting;
  f.request(
      "a1", "/once/x", "k", [](const outcome&) {}, seconds(9));
  f.request(
      "a1", "/once/x", "k", [&waiting](outcome o) { waiting = std::move(o); },
      seconds(9));
  f.run_for(milliseconds(100));
  CHECK_FALSE(waiting.has_value());
  routed_options o;
  o.self.service = "other";
  f.at("a1").set_options(o);
  f.run_for(milliseconds(100));
  CHECK(waiting.has_value());
  CHECK(verdict::not_run == waiting->execution);
  CHECK_FALSE(f.at("a1").target().ready());
  target_announcement later = announcement_of("later", f.at("a1"));
  CHECK_FALSE(f.at("a1").on_target_announce(later));
  later.service = "other";
  CHECK(f.at("a1").on_target_announce(later));
  CHECK(f.at("a1").target().ready());
  STRCMP_EQUAL("other", f.at("a1").target().service().c_str());
}

// After an instance that never was at the address, which said so, the target
// that is there was taken for one that had ended before.
TEST(foreign_announcement, an_instance_that_is_not_there_hides_no_earlier_one) {
  constexpr std::uint16_t moved_status = 421;
  clock_reading clock;
  clock.wall = wall_time(1'700'000'000'000);
  quarantine crashes;
  std::uint64_t run = 0;
  target_options options;
  options.service = "svc";
  options.protocol.is_moved_answer = [](const target_result& r) {
    return r.status == moved_status;
  };
  target_hooks hooks;
  hooks.run = [&run](std::uint64_t id, const target_request&) { run = id; };
  hooks.cancel = [](std::uint64_t) {};
  hooks.log = [](event_id, const event_fields&) {};
  target_stage stage(options, hooks, clock, crashes);
  target_announcement own;
  own.instance = "own";
  own.start_time_ms = 1000;
  own.sequence = 1;
  stage.on_announce(own);
  target_announcement foreign = own;
  foreign.instance = "x";
  foreign.start_time_ms = 2000;
  stage.on_announce(foreign);
  own.sequence = 2;
  stage.on_announce(own);
  STRCMP_EQUAL("x", stage.instance().c_str());
  wire::callT call;
  call.service = "svc";
  stage.submit(std::move(call), clock.now + seconds(1), [](const outcome&) {});
  stage.on_result(run, {exchange_end::answered, moved_status, {}, {}});
  own.sequence = 3;
  stage.on_announce(own);
  CHECK(stage.ready());
  STRCMP_EQUAL("own", stage.instance().c_str());
}
