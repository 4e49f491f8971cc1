// Tests that non-idempotent requests run at most once while parts fail.
#include "support/golden.hpp"
#include "support/virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

TEST_GROUP(at_most_once) {
  virtual_fleet f{3};
  transcript t;

  void record_outcome(const std::string& what, const outcome& o) {
    t.line(what + ": " + text_of(o));
  }

  outcome book(const std::string& entry_node, const std::string& key,
               const std::string& body = "order",
               std::chrono::milliseconds timeout = 1000ms) {
    return f.request_and_wait(entry_node, "/svc/book", "secret-a", key, body,
                              timeout);
  }

  /// Returns the running node that owns the slot of `key`, or "".
  std::string owner_of(const std::string& key) {
    for (const std::string& it : f.names()) {
      const std::uint32_t slot = slot_of("team-a", key);
      if (f.alive(it) &&
          f.at(it).slots().owned(slot, f.time.now()) != nullptr) {
        return it;
      }
    }
    return "";
  }

  /// Returns a running node other than `a` and `b`.
  std::string node_other_than(const std::string& a, const std::string& b = "") {
    for (const std::string& it : f.names()) {
      if (it != a && it != b && f.alive(it)) {
        return it;
      }
    }
    return "";
  }
};

TEST(at_most_once, resends_replay_the_answer_through_any_node) {
  build_two_data_centres(f, 2);
  const std::string key = f.make_idempotency_key();
  record_outcome("first", book("a1", key));
  for (const std::string& it : f.names()) {
    record_outcome("again at " + it, book(it, key));
  }
  record_outcome("other body", book("b1", key, "another order"));
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_replay", t);
}

TEST(at_most_once, a_concurrent_resend_is_refused_while_the_first_runs) {
  build_two_data_centres(f, 2);
  const std::string key = f.make_idempotency_key();
  outcome first;
  f.request("a1", "/svc/book", "secret-a", key, "order",
            [&first](outcome o) { first = std::move(o); });
  f.run_for(3ms);
  record_outcome("while it runs", book("b2", key));
  f.run_for(1s);
  record_outcome("first", first);
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_concurrent", t);
}

TEST(at_most_once,
     a_dead_owner_leaves_the_outcome_uncertain_but_runs_nothing_twice) {
  build_two_data_centres(f, 3);
  const std::string key = f.make_idempotency_key();
  const std::string owner = owner_of(key);
  const std::string entry_node = node_other_than(owner);
  outcome first;
  f.request(
      entry_node, "/svc/book", "secret-a", key, "order",
      [&first](outcome o) { first = std::move(o); }, 2000ms);
  f.run_for(6ms);
  f.kill(owner);
  f.run_for(5s);
  record_outcome("first", first);
  record_outcome("before the takeover", book(entry_node, key));
  f.run_for(40s);
  CHECK_TRUE(!owner_of(key).empty());
  record_outcome("after the takeover", book(entry_node, key));
  record_outcome("a new key of the slot's new owner",
                 book(entry_node, f.make_idempotency_key()));
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_owner_dies", t);
}

TEST(at_most_once, an_owner_paused_past_its_lease_does_not_run_it_again) {
  build_two_data_centres(f, 3);
  const std::string key = f.make_idempotency_key();
  const std::string owner = owner_of(key);
  const std::string entry_node = node_other_than(owner);
  f.pause(owner);
  outcome first;
  f.request(
      entry_node, "/svc/book", "secret-a", key, "order",
      [&first](outcome o) { first = std::move(o); }, 1000ms);
  f.run_for(60s);
  record_outcome("first", first);
  const std::string new_owner = owner_of(key);
  CHECK_TRUE(!new_owner.empty() && new_owner != owner);
  record_outcome("at the new owner", book(entry_node, key));
  f.resume(owner);
  f.run_for(5s);
  record_outcome("after the old one woke", book(entry_node, key));
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_paused_owner", t);
}

TEST(at_most_once, requests_run_during_a_long_table_outage) {
  build_two_data_centres(f, 2);
  book("a1", f.make_idempotency_key());
  f.faults.down = true;
  int ran = 0;
  for (int i = 0; i < 60; ++i) {
    f.run_for(10s);
    ran += book(i % 2 == 0 ? "a1" : "b2", f.make_idempotency_key()).execution ==
                   verdict::ran
               ? 1
               : 0;
  }
  LONGS_EQUAL(60, ran);
}

TEST(at_most_once, partitioned_data_centres_never_run_a_request_twice) {
  build_two_data_centres(f, 2);
  f.partition_data_centres("dc-a", "dc-b");
  f.faults.cut_off_nodes = {"b1", "b2"};
  int duplicate_runs = 0;
  int ran = 0;
  int false_not_run = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string key = f.make_idempotency_key();
    for (const char* entry_node : {"a1", "b1", "a2", "b2"}) {
      const outcome o = book(entry_node, key, "order", 200ms);
      ran += o.execution == verdict::ran ? 1 : 0;
      false_not_run +=
          o.execution == verdict::not_run && f.run_count(key) > 0 ? 1 : 0;
    }
    duplicate_runs += f.run_count(key) > 1 ? 1 : 0;
    f.run_for(2s);
  }
  LONGS_EQUAL(0, duplicate_runs);
  LONGS_EQUAL(0, false_not_run);
  CHECK_TRUE(ran > 0);
}

TEST(at_most_once, a_draining_owner_hands_over_remembered_answers) {
  build_two_data_centres(f, 2);
  const std::string key = f.make_idempotency_key();
  const std::string owner = owner_of(key);
  const std::string entry_node = node_other_than(owner);
  record_outcome("first", book(entry_node, key));
  f.at(owner).start_draining();
  f.run_for(10s);
  CHECK_TRUE(f.at(owner).drained());
  f.kill(owner);
  f.run_for(2s);
  record_outcome("replayed by the successor", book(entry_node, key));
  record_outcome("a new key", book(entry_node, f.make_idempotency_key()));
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_handover", t);
}

TEST(at_most_once, a_request_without_a_key_is_sent_once) {
  build_two_data_centres(f, 2);
  for (const std::string& it : f.names()) {
    f.target(it).mutable_options().service_time = 100ms;
  }
  const std::uint64_t before = f.total_runs();
  outcome got;
  f.request("a1", "/svc/book", "secret-a", "", "order",
            [&got](outcome o) { got = std::move(o); });
  f.run_for(20ms);
  for (const std::string& it : f.names()) {
    if (f.target(it).load() > 0) {
      f.target(it).crash();
    }
  }
  f.run_for(2s);
  STRCMP_EQUAL("502 connection_lost may-have-run", text_of(got).c_str());
  LONGS_EQUAL(before + 1, f.total_runs());
}

TEST(at_most_once, an_opaque_key_is_refused_after_its_record_is_lost) {
  build_two_data_centres(f, 3);
  const std::string key = "order-4711";
  record_outcome("first", book("a1", key));
  const std::string owner = owner_of(key);
  f.kill(owner);
  f.run_for(60s);
  record_outcome("after the owner died", book(node_other_than(owner), key));
  t.line("runs: " + std::to_string(f.run_count(key)));
  check_golden("at_most_once_opaque_key", t);
}

TEST(at_most_once, two_nodes_draining_together_hand_over_to_a_remaining_node) {
  build_two_data_centres(f, 3);
  std::vector<std::string> keys;
  for (int i = 0; i < 60; ++i) {
    keys.push_back(f.make_idempotency_key());
    CHECK_TRUE(book("a1", keys.back()).execution == verdict::ran);
  }
  f.at("a2").start_draining();
  f.at("b2").start_draining();
  int not_ran = 0;
  for (int i = 0; i < 60; ++i) {
    f.run_for(100ms);
    not_ran +=
        book("a1", f.make_idempotency_key()).execution == verdict::ran ? 0 : 1;
  }
  f.run_for(5s);
  for (const std::string& it : keys) {
    not_ran += book("b1", it).execution == verdict::ran ? 0 : 1;
    LONGS_EQUAL(1, f.run_count(it));
  }
  LONGS_EQUAL(0, not_ran);
}

TEST(at_most_once, slots_of_a_lost_data_centre_are_taken_over) {
  build_two_data_centres(f, 1);
  f.kill("b1");
  f.run_for(75min);
  LONGS_EQUAL(slot_count, f.at("a1").slots().all().size());
  CHECK_TRUE(book("a1", f.make_idempotency_key()).execution == verdict::ran);
}
