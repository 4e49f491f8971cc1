// Unit tests of single classes of the core.
#include "kingcupslip/core/admission_queue.hpp"
#include "kingcupslip/core/balancer.hpp"
#include "kingcupslip/core/call_context.hpp"
#include "kingcupslip/core/concurrency_limit.hpp"
#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/lease.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/share_row.hpp"
#include "kingcupslip/core/span_retry_budget.hpp"
#include "standins/table_store.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace kingcupslip;
using namespace std::chrono_literals;

TEST_GROUP(components) {
  std::vector<shed_request> shed;

  static waiting_request make_waiting_request(
      std::uint64_t id, priority rank, const std::string& team,
      patience wait = patience::patient) {
    waiting_request w;
    w.id = id;
    w.rank = rank;
    w.team = team;
    w.wait = wait;
    w.deadline = 10h;
    w.queued_at = instant(static_cast<instant::rep>(id));
    return w;
  }
};

TEST(components, higher_priorities_start_first_and_are_shed_last) {
  admission_queue q;
  q.offer(make_waiting_request(1, priority::low, "a"), 2, shed);
  q.offer(make_waiting_request(2, priority::normal, "a"), 2, shed);
  q.offer(make_waiting_request(3, priority::critical, "a"), 2, shed);
  LONGS_EQUAL(1, shed.size());
  LONGS_EQUAL(1, shed[0].id);
  LONGS_EQUAL(3, q.take(1h, 0s, shed)->id);
  LONGS_EQUAL(2, q.take(1h, 0s, shed)->id);
}

TEST(components, a_flooding_team_does_not_starve_the_others) {
  admission_queue q;
  for (std::uint64_t i = 0; i < 100; ++i) {
    q.offer(make_waiting_request(i, priority::normal, "flood"), 10, shed);
  }
  q.offer(make_waiting_request(1000, priority::normal, "modest"), 10, shed);
  int modest_position = -1;
  for (int i = 0; i < 10; ++i) {
    if (q.take(1h, 0s, shed)->id == 1000) {
      modest_position = i;
    }
  }
  CHECK_COMPARE(modest_position, >=, 0);
  CHECK_COMPARE(modest_position, <=, 1);
}

TEST(components, a_minimum_share_serves_lower_priorities) {
  admission_queue q;
  for (std::uint64_t i = 0; i < 100; ++i) {
    q.offer(make_waiting_request(i, priority::high, "a"), 1000, shed);
    waiting_request low = make_waiting_request(1000 + i, priority::low, "a");
    low.min_share_percent = 10;
    q.offer(low, 1000, shed);
  }
  int low_starts = 0;
  for (int i = 0; i < 100; ++i) {
    low_starts += q.take(1h, 0s, shed)->id >= 1000 ? 1 : 0;
  }
  CHECK_COMPARE(low_starts, >=, 8);
  CHECK_COMPARE(low_starts, <=, 12);
}

TEST(components, impatient_callers_are_served_newest_first) {
  admission_queue q;
  q.offer(make_waiting_request(1, priority::normal, "a", patience::impatient),
          9, shed);
  q.offer(make_waiting_request(2, priority::normal, "a", patience::impatient),
          9, shed);
  LONGS_EQUAL(2, q.take(1h, 0s, shed)->id);
}

TEST(components, work_that_cannot_finish_in_time_is_refused_not_started) {
  admission_queue q;
  waiting_request w = make_waiting_request(1, priority::normal, "a");
  w.deadline = 1h + 5ms;
  q.offer(w, 9, shed);
  CHECK_FALSE(q.take(1h, 10ms, shed).has_value());
  LONGS_EQUAL(1, shed.size());
  CHECK_TRUE(shed[0].why == reason::deadline);
}

TEST(components,
     the_limit_grows_while_latency_is_flat_and_shrinks_when_it_rises) {
  concurrency_limit l;
  instant now = 1h;
  const auto report_answers = [&l, &now](duration latency, int answers) {
    for (int i = 0; i < answers; ++i) {
      now += 1ms;
      l.on_answer(latency, l.limit(), now);
    }
  };
  report_answers(10ms, 200);
  const std::size_t grown = l.limit();
  CHECK_COMPARE(grown, >, 50U);
  report_answers(40ms, 64);
  CHECK_COMPARE(l.limit(), <, grown);
  for (int i = 0; i < 100; ++i) {
    now += 1s;
    l.on_failure(now);
  }
  LONGS_EQUAL(1, l.limit());
}

TEST(components, the_limit_does_not_starve_a_target_whose_dependency_is_slow) {
  concurrency_limit l;
  instant now = 1h;
  for (int i = 0; i < 200; ++i) {
    now += 1ms;
    l.on_answer(10ms, l.limit(), now);
  }
  for (int i = 0; i < 2000; ++i) {
    now += 10ms;
    l.on_answer(100ms, l.limit(), now);
  }
  CHECK_COMPARE(l.limit(), >, 20U);
}

TEST(components, nodes_do_not_all_choose_the_target_that_looks_idle) {
  std::vector<target_candidate> targets;
  for (int i = 0; i < 10; ++i) {
    target_candidate v;
    v.node = std::to_string(i);
    v.limit = 10;
    v.reported_in_flight = i == 0 ? 0 : 5;
    targets.push_back(v);
  }
  std::uint64_t state = 1;
  const auto random = [&state] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33U;
  };
  std::map<std::string, int> chosen;
  for (int i = 0; i < 1000; ++i) {
    ++chosen[choose_target(targets, false, random)->node];
  }
  CHECK_COMPARE(chosen["0"], <, 300);
}

// A target with a limit of one request got none while failures of it were
// remembered, so that the end of its limit was not seen.
TEST(components, a_small_target_that_failed_is_still_tried) {
  std::vector<target_candidate> targets(2);
  targets[0].node = "small";
  targets[0].failures = 6;
  targets[1].node = "large";
  targets[1].limit = 100;
  std::uint64_t state = 1;
  const auto random = [&state] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33U;
  };
  std::map<std::string, int> chosen;
  for (int i = 0; i < 1000; ++i) {
    ++chosen[choose_target(targets, false, random)->node];
  }
  CHECK_COMPARE(chosen["small"], >, 100);
}

TEST(components, a_full_target_is_not_chosen_while_another_has_room) {
  std::vector<target_candidate> targets(3);
  targets[0].node = "full";
  targets[0].reported_in_flight = 5;
  targets[1] = targets[0];
  targets[2].node = "free";
  targets[2].limit = 10;
  targets[2].own_in_flight = 9;
  for (std::uint64_t i = 0; i < 100; ++i) {
    const target_candidate* t =
        choose_target(targets, false, [&i] { return i++; });
    CHECK(t->node == "free");
  }
}

TEST(components, a_signed_context_verifies_and_any_change_is_rejected) {
  call_context c;
  c.team = "team-a";
  c.api_key_id = "k1";
  c.deadline = wall_time(1234567);
  c.rank = priority::high;
  c.retries = 2;
  c.depth = 3;
  c.span_id = 99;
  const std::string text = sign_context(c, "secret");
  const std::optional<call_context> read = verify_context(text, "secret");
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL("team-a", read->team.c_str());
  LONGS_EQUAL(99, read->span_id);
  CHECK_FALSE(verify_context(text, "other secret").has_value());
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string forged = text;
    forged[i] = forged[i] == '1' ? '2' : '1';
    CHECK_FALSE(verify_context(forged, "secret").has_value());
  }
}

TEST(components, requests_beside_a_crash_are_not_quarantined) {
  quarantine q;
  q.on_crash({1, 2, 3}, 1h);
  q.on_completed(2, 1h);
  q.on_crash({1, 4}, 1h);
  CHECK_FALSE(q.is_quarantined(4, 1h));
  q.on_completed(4, 1h);
  CHECK_TRUE(q.is_quarantined(1, 1h));
  CHECK_FALSE(q.is_quarantined(3, 1h));
  CHECK_FALSE(q.is_suspect(2, 1h));
  CHECK_FALSE(q.is_suspect(4, 1h));
  CHECK_FALSE(q.is_quarantined(1, 1h + 11min));
}

// A suspect beside the cause of a crash displaced the cause in its record.
TEST(components, a_crash_beside_a_suspect_counts_for_its_cause) {
  quarantine q;
  q.on_crash({1, 2}, 1h);
  q.on_crash({2, 3}, 1h);
  q.on_completed(2, 1h);
  q.on_crash({3}, 1h);
  CHECK_TRUE(q.is_quarantined(3, 1h));
  CHECK_FALSE(q.is_suspect(2, 1h));
}

TEST(components, a_completion_elsewhere_clears_a_request_at_all_nodes) {
  quarantine a("a");
  quarantine b("b");
  a.on_crash({1, 2}, 1h);
  const std::vector<crash_record> records = a.records_to_gossip(8, 0, 1h);
  LONGS_EQUAL(1, records.size());
  CHECK_TRUE(b.merge(records.front(), 1h));
  b.on_completed(2, 1h);
  CHECK_FALSE(a.records_hash() == b.records_hash());
  for (const crash_record& it : b.records_to_gossip(8, 0, 1h)) {
    CHECK_FALSE(a.merge(it, 1h));
  }
  CHECK_FALSE(a.is_suspect(2, 1h));
  CHECK_TRUE(a.is_suspect(1, 1h));
  CHECK_TRUE(a.records_hash() == b.records_hash());
}

TEST(components, a_request_answered_shortly_before_a_crash_is_no_suspect) {
  quarantine q;
  q.on_completed(1, 1h);
  q.on_completed(2, 1h);
  q.on_crash({1, 3}, 1h + 10s);
  CHECK_FALSE(q.is_suspect(1, 1h + 10s));
  CHECK_TRUE(q.is_suspect(3, 1h + 10s));
  q.on_crash({2}, 1h + 1min);
  CHECK_TRUE(q.is_suspect(2, 1h + 1min));
}

TEST(components, nested_calls_share_the_retry_budget_of_their_span) {
  span_retry_budget b;
  b.open(1, 4);
  std::uint32_t reserved = 0;
  for (int i = 0; i < 100; ++i) {
    reserved += b.reserve(1);
  }
  LONGS_EQUAL(4, reserved);
  b.release(1, 2, 1);
  LONGS_EQUAL(1, b.reserve(1));
  LONGS_EQUAL(1, b.close(1));
  LONGS_EQUAL(0, b.reserve(7));
}

TEST(components, fair_shares_never_exceed_the_total) {
  share_row r;
  r.entries = {{"a", 0, 100'000, false},
               {"b", 0, 900'000, false},
               {"c", 0, 900'000, false},
               {"d", 200'000, 0, true}};
  const std::vector<std::uint32_t> shares = fair_shares(r);
  LONGS_EQUAL(100'000, shares[0]);
  LONGS_EQUAL(350'000, shares[1]);
  LONGS_EQUAL(350'000, shares[2]);
  LONGS_EQUAL(200'000, shares[3]);
}

TEST(components, every_contract_error_is_reported) {
  const contract_result parsed = parse_contract(
      R"({"team":"A!","rate_per_s":-1,"burst":10,"colour":1,
          "routes":[{"service":"s","priority":"urgent"}]})");
  CHECK_FALSE(parsed.has_value());
  std::string all;
  for (const document_error& it : parsed.error()) {
    all += it.key + ";";
  }
  STRCMP_EQUAL("team;rate_per_s;routes[0].priority;colour;", all.c_str());
}

TEST_GROUP(lease) {
  table_store store;
  instant now = 1h;
  bool down = false;

  table_hooks hooks() {
    table_hooks h;
    h.read = [this](const table_query& q, const read_handler& handler) {
      down ? handler(table_status::unavailable, {})
           : handler(table_status::ok, store.read(q));
    };
    h.commit = [this](const table_transaction& t,
                      const commit_handler& handler) {
      std::uint64_t version = 0;
      const table_status s =
          down ? table_status::unavailable : store.commit(t, version);
      handler(s, version);
    };
    return h;
  }

  lease_holder holder() {
    return lease_holder({"n1", "dc", "", "", "svc", 7}, hooks());
  }

  /// Runs the sweeper once a second for `span`.
  void sweep(lease_sweeper & s, duration span) {
    const instant end = now + span;
    for (; now < end; now += 1s) {
      s.sweep("dc", now);
    }
  }
};

TEST(lease, expires_by_the_local_clock_while_the_table_is_down) {
  lease_holder h = holder();
  h.tick("", now);
  CHECK_TRUE(h.holds(now + 14s));
  CHECK_FALSE(h.holds(now + 15s));
  CHECK_TRUE(h.holds_floor(now + 59min));
  CHECK_FALSE(h.holds_floor(now + 60min));
}

TEST(lease, is_fenced_only_after_its_holder_has_stopped) {
  lease_holder h = holder();
  h.tick("", now);
  const instant renewed = now;
  lease_sweeper s("n2", hooks());
  sweep(s, 17s);
  CHECK_FALSE(parse_lease(store.read({h.id(), "", 1})[0].value).fenced);
  sweep(s, 10s);
  CHECK_TRUE(parse_lease(store.read({h.id(), "", 1})[0].value).fenced);
  CHECK_FALSE(h.holds(now));
  CHECK_TRUE(now - renewed > lease_duration);
}

TEST(lease, is_kept_past_its_span_by_the_witness_and_not_fenced) {
  lease_holder h = holder();
  h.tick("n2", now);
  lease_sweeper witness("n2", hooks());
  lease_sweeper other("n3", hooks());
  for (int i = 0; i < 120; ++i) {
    now += 1s;
    CHECK_TRUE(witness.promise_not_to_fence(h.id(), now));
    h.on_witness_promise("n2", now);
    witness.sweep("dc", now);
    other.sweep("dc", now);
    CHECK_TRUE(h.holds(now));
  }
  CHECK_FALSE(parse_lease(store.read({h.id(), "", 1})[0].value).fenced);
}

TEST(lease, a_witness_that_fenced_gives_no_promise) {
  lease_holder h = holder();
  h.tick("n2", now);
  lease_sweeper witness("n2", hooks());
  sweep(witness, 30s);
  CHECK_TRUE(parse_lease(store.read({h.id(), "", 1})[0].value).fenced);
  bool lost = false;
  h.set_on_lost([&lost] { lost = true; });
  now += 10s;
  h.tick("n2", now);
  CHECK_TRUE(lost);
  CHECK_FALSE(h.holds(now));
}
