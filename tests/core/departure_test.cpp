// Tests that an acknowledged departure of a target is remembered when nodes
// end, whatever the store does meanwhile.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> nodes{"a1", "a2", "b1", "b2"};

/// The announcement of a1's first target with this sequence number.
target_announcement announcement_of_a1(std::uint64_t sequence,
                                       bool draining = false) {
  target_announcement out;
  out.instance = "a1-1";
  out.start_time_ms = 1;
  out.sequence = sequence;
  out.service = "svc";
  out.draining = draining;
  out.max_concurrency = 10;
  return out;
}

/// What a node answers to an announcement; null until it does.
using pending_result = std::shared_ptr<std::optional<announcement_result>>;

/// Four nodes whose targets announce themselves only before the test begins.
struct settled_fleet : routed_fleet {
  explicit settled_fleet(std::uint64_t seed) : routed_fleet(seed) {
    build_routed_fleet(*this, 2);
    announcing = false;
  }

  /// Sends a1's goodbye, or that it drains.
  pending_result leave(bool by_draining) {
    const pending_result out =
        std::make_shared<std::optional<announcement_result>>();
    const auto answer = [out](announcement_result r) { *out = r; };
    if (by_draining) {
      at("a1").on_target_announce(announcement_of_a1(1001, true), answer);
    } else {
      at("a1").on_target_leave("a1-1", 1, answer);
    }
    return out;
  }

  void restart_all() {
    for (const std::string& it : nodes) {
      kill(it);
    }
    run_for(milliseconds(300));
    for (const std::string& it : nodes) {
      restart_node(it);
    }
  }
};

/// Checks that callers of all nodes send nothing to the target of a1.
void check_unused(routed_fleet& f) {
  const std::uint64_t before = f.target("a1").total_runs;
  routed_load l(f, nodes, "/safe/x", 100, seconds(2));
  f.run_for(seconds(3));
  LONGS_EQUAL(before, f.target("a1").total_runs);
}

/// Ends all nodes and checks that a delayed announcement of a1's target does
/// not bring it back.
void check_unused_after_all_end(settled_fleet& f) {
  f.restart_all();
  f.run_for(seconds(3));
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  check_unused(f);
}

} // namespace

// clang-format off
TEST_GROUP(departure){
};
// clang-format on

// A goodbye was kept in the memory of nodes only. When all of them ended, an
// announcement that had been sent before it brought the target back.
TEST(departure, by_goodbye_outlasts_the_end_of_all_nodes) {
  settled_fleet f(1);
  f.at("a1").on_target_leave("a1-1", 1);
  f.run_for(milliseconds(500));
  check_unused_after_all_end(f);
}

// The same where the late announcement is the first message to the new process.
TEST(departure, is_known_before_the_first_announcement_counts) {
  settled_fleet f(2);
  f.at("a1").on_target_leave("a1-1", 1);
  f.run_for(milliseconds(500));
  f.restart_all();
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  check_unused(f);
}

// The same for a target that had announced that it drains: an announcement sent
// before that one counted as news.
TEST(departure, by_draining_outlasts_the_end_of_all_nodes) {
  settled_fleet f(3);
  f.at("a1").on_target_announce(announcement_of_a1(1001, true));
  f.run_for(milliseconds(500));
  check_unused_after_all_end(f);
}

// The same for a target whose answers said that it leaves: its heartbeats go on
// reporting a target in service.
TEST(departure, stated_in_answers_outlasts_the_end_of_all_nodes) {
  settled_fleet f(4);
  f.target("a1").answer_headers = {{leaving_field, "1"}};
  routed_load l(f, nodes, "/safe/x", 100, seconds(1));
  f.run_for(seconds(2));
  CHECK_FALSE(f.at("a1").target().ready());
  f.target("a1").answer_headers = {};
  check_unused_after_all_end(f);
}

// An acknowledgement was given before the table had the departure. Here all
// nodes end at any moment of the exchange; what was acknowledged must hold.
TEST(departure, that_was_acknowledged_holds_whenever_all_nodes_end) {
  std::size_t acknowledged = 0;
  std::size_t unacknowledged = 0;
  for (const bool by_draining : {false, true}) {
    for (int ms = 0; ms <= 20; ++ms) {
      settled_fleet f(5);
      const pending_result answer = f.leave(by_draining);
      f.run_for(milliseconds(ms));
      f.restart_all();
      if (!*answer) {
        ++unacknowledged;
        continue;
      }
      ++acknowledged;
      CHECK(**answer == announcement_result::acknowledged);
      f.at("a1").on_target_announce(announcement_of_a1(1000));
      f.run_for(seconds(3));
      f.at("a1").on_target_announce(announcement_of_a1(1000));
      check_unused(f);
    }
  }
  CHECK(acknowledged > 0);
  CHECK(unacknowledged > 0);
}

// While the store is away no promise can outlast the processes, so none is
// given; the target gets no requests all the same.
TEST(departure, is_not_acknowledged_while_the_store_is_away) {
  for (const bool by_draining : {false, true}) {
    settled_fleet f(6);
    f.store_down = true;
    pending_result answer = f.leave(by_draining);
    check_unused(f);
    CHECK(*answer == announcement_result::not_recorded);
    f.store_down = false;
    f.run_for(seconds(1));
    answer = f.leave(by_draining);
    f.run_for(milliseconds(1));
    CHECK(*answer == announcement_result::acknowledged);
    check_unused_after_all_end(f);
  }
}

// Guards against an answer that comes after the target has given up waiting.
TEST(departure, is_answered_within_a_second) {
  settled_fleet f(7);
  f.store_down = true;
  const pending_result answer = f.leave(false);
  f.run_for(milliseconds(950));
  CHECK(answer->has_value());
}

// A write that took effect though its answer was lost must be recognized, or
// the goodbye is never acknowledged.
TEST(departure, is_acknowledged_though_the_answer_of_the_store_was_lost) {
  settled_fleet f(8);
  f.lost_commits = 1;
  const pending_result answer = f.leave(false);
  f.run_for(milliseconds(500));
  CHECK(*answer == announcement_result::acknowledged);
}

// All nodes end while the store is away. Some of them reach it before a1 does,
// and send it routes and requests.
TEST(departure, is_learned_from_a_node_that_has_read_the_table) {
  settled_fleet f(9);
  const pending_result answer = f.leave(false);
  f.run_for(milliseconds(500));
  CHECK(*answer == announcement_result::acknowledged);
  f.cut_off_nodes = {"a1"};
  f.restart_all();
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  f.run_for(seconds(3));
  CHECK(f.at("a1").state().routes() != nullptr);
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  check_unused(f);
}

// No node knows what a1's target said, as none has reached the store: a1 must
// not take that for no departure.
TEST(departure, is_not_ruled_out_by_nodes_that_have_not_read_the_table) {
  settled_fleet f(10);
  f.leave(false);
  f.run_for(milliseconds(500));
  f.restart_all();
  f.run_for(milliseconds(5));
  // The others have routes, but the rows were not read.
  f.store_down = true;
  f.kill("a1");
  f.kill("a2");
  f.kill("b1");
  f.run_for(milliseconds(10));
  f.restart_node("a1");
  f.restart_node("a2");
  f.restart_node("b1");
  f.kill("b2");
  f.restart_node("b2");
  f.run_for(seconds(3));
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  CHECK_FALSE(f.at("a1").target().ready());
}

// A single node that restarts while the store is away must not keep its target
// out of service for as long: it has what it needs once it has routes.
TEST(departure, of_none_is_learned_from_others_while_the_store_is_away) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    settled_fleet f(seed);
    f.store_down = true;
    f.kill("a1");
    f.run_for(milliseconds(300));
    f.announcing = true;
    f.restart_node("a1");
    for (int n = 0; n < 500 && f.at("a1").state().routes() == nullptr; ++n) {
      f.run_for(milliseconds(10));
    }
    CHECK(f.at("a1").state().routes() != nullptr);
    f.run_for(milliseconds(20));
    CHECK(f.at("a1").target().ready());
  }
}

// Only nodes that had read the table themselves could tell others. Once all had
// restarted in turn, none was left, and no target was used until the store was
// back.
TEST(departure, is_passed_on_while_all_nodes_restart_without_the_store) {
  settled_fleet f(19);
  f.leave(false);
  f.run_for(milliseconds(500));
  f.store_down = true;
  f.announcing = true;
  for (int round = 0; round < 2; ++round) {
    for (const std::string& it : nodes) {
      f.kill(it);
      f.run_for(milliseconds(300));
      f.restart_node(it);
      f.run_for(seconds(3));
    }
  }
  for (const char* it : {"a2", "b1", "b2"}) {
    CHECK(f.at(it).target().ready());
  }
  check_unused(f);
}

// Each node that starts beside a store in service would be sent the list by
// three others, which at 1,000 departures is 0.3 MB.
TEST(departure, list_is_wanted_only_if_the_table_was_not_read) {
  departed_instances departed;
  clock_reading clock{seconds(1), milliseconds(1)};
  read_handler answer;
  const auto read = [&answer](const table_query&, const read_handler& h) {
    answer = h;
  };
  const auto ignore = [](const wire::target_noticeT&) {};
  departure_store s({node_identity{},
                     {read, nullptr},
                     departed,
                     [] { return false; },
                     [] {},
                     ignore,
                     [](event_id, const event_fields&) {}},
                    clock);
  s.tick();
  CHECK_FALSE(s.wants_list());
  answer(table_status::unavailable, {});
  CHECK(s.wants_list());
  CHECK_FALSE(s.known());
  clock.now += seconds(2);
  s.tick();
  answer(table_status::ok, {});
  CHECK_FALSE(s.wants_list());
  CHECK(s.complete());
}

// The next lifetime of an instance and another one at its address are no
// departed ones.
TEST(departure, of_an_instance_delays_no_later_one) {
  for (const char* instance : {"a1-1", "other"}) {
    settled_fleet f(11);
    f.leave(true);
    f.run_for(milliseconds(500));
    f.leave(false);
    f.run_for(milliseconds(500));
    f.restart_all();
    target_announcement later = announcement_of_a1(1);
    later.instance = instance;
    later.start_time_ms = 2;
    f.at("a1").on_target_announce(later);
    f.run_for(milliseconds(20));
    CHECK(f.at("a1").target().ready());
    STRCMP_EQUAL(instance, f.at("a1").target().instance().c_str());
  }
}

// An operator may call a planned stop off: a later announcement in service
// counts, also after a restart.
TEST(departure, by_draining_ends_with_a_later_announcement_in_service) {
  settled_fleet f(12);
  f.leave(true);
  f.run_for(milliseconds(500));
  f.restart_all();
  f.run_for(milliseconds(100));
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  CHECK_FALSE(f.at("a1").target().ready());
  f.at("a1").on_target_announce(announcement_of_a1(1002));
  CHECK(f.at("a1").target().ready());
}

// A process that took a delayed announcement for news, before it knew better,
// must record the next one that drains: the target may have been in service in
// between.
TEST(departure, by_draining_is_recorded_again_by_the_next_process) {
  settled_fleet f(17);
  f.leave(true);
  f.run_for(milliseconds(500));
  f.restart_all();
  f.at("a1").on_target_announce(announcement_of_a1(1000));
  f.run_for(milliseconds(500));
  f.at("a1").on_target_announce(announcement_of_a1(1005, true));
  f.run_for(milliseconds(500));
  f.restart_all();
  f.run_for(milliseconds(500));
  f.at("a1").on_target_announce(announcement_of_a1(1003));
  check_unused(f);
}

// A store that came back from a copy lacked the departure.
TEST(departure, is_written_again_after_the_store_was_restored) {
  settled_fleet f(13);
  f.copy_store();
  f.leave(false);
  f.run_for(milliseconds(500));
  f.restore_store();
  f.run_for(seconds(5));
  check_unused_after_all_end(f);
}

// A series of goodbyes, which another writer may send, must not use up the
// writes that all nodes share.
TEST(departure, by_many_goodbyes_causes_few_writes) {
  settled_fleet f(14);
  const std::uint64_t before = f.store_calls;
  for (int n = 0; n < 1000; ++n) {
    f.at("a1").on_target_leave("x" + std::to_string(n), 0,
                               [](announcement_result) {});
    f.run_for(milliseconds(1));
  }
  CHECK_COMPARE(f.store_calls - before, <=, 20);
}

// Rows of targets that left long ago, and of nodes that are gone for good, must
// not stay in the table.
TEST(departure, is_removed_from_the_table_in_time) {
  settled_fleet f(15);
  f.leave(false);
  f.at("b1").on_target_leave("b1-1", 1);
  f.run_for(seconds(1));
  LONGS_EQUAL(2, f.row_store.read({"departure/", "", 10}).size());
  f.kill("b1");
  f.run_for(std::chrono::minutes(59));
  LONGS_EQUAL(2, f.row_store.read({"departure/", "", 10}).size());
  f.run_for(std::chrono::minutes(31));
  LONGS_EQUAL(0, f.row_store.read({"departure/", "", 10}).size());
}

// A later release may write rows that this one cannot read.
TEST(departure, in_a_row_that_cannot_be_read_is_not_removed) {
  settled_fleet f(18);
  std::uint64_t version = 0;
  f.row_store.commit({{"departure/dc-a/x", 0, std::string("other"), false}},
                     version);
  f.run_for(std::chrono::minutes(90));
  CHECK(std::any_of(nodes.begin(), nodes.end(), [&f](const std::string& it) {
    return std::count(f.events.begin(), f.events.end(),
                      it + " row_unreadable") > 0;
  }));
  LONGS_EQUAL(1, f.row_store.read({"departure/", "", 10}).size());
}

// A row that another writer has changed is no reason to forget or to fail.
TEST(departure, in_a_row_of_another_writer_harms_nothing) {
  for (const char* value :
       {"", "[]", "{\"departures\":7}", "{\"departures\":[7,{}]}",
        "{\"departures\":[{\"instance\":7,\"start_time_ms\":-1}]}"}) {
    settled_fleet f(16);
    f.leave(false);
    f.run_for(milliseconds(500));
    const table_row row = f.row_store.read({"departure/", "", 1}).front();
    std::uint64_t version = 0;
    f.row_store.commit({{row.key, row.version, std::string(value), false}},
                       version);
    f.leave(true);
    target_announcement later = announcement_of_a1(1);
    later.start_time_ms = 2;
    f.at("a1").on_target_announce(later);
    f.at("a1").on_target_leave("a1-1", 2);
    f.run_for(seconds(2));
    check_unused_after_all_end(f);
  }
}
