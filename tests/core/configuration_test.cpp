// Tests that operators' changes are durable, reach every node and are never
// rolled back.
#include "support/golden.hpp"
#include "support/virtual_fleet.hpp"

#include "kingcupslip/core/config_writer.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

TEST_GROUP(configuration) {
  virtual_fleet f{5};

  write_result write(const std::string& entry_node, const std::string& value,
                     const std::string& operation,
                     std::optional<std::uint64_t> expected = std::nullopt) {
    write_result out;
    f.at(entry_node)
        .write_config({"out/target/x", value, operation, expected},
                      [&out](const write_result& r) { out = r; });
    f.run_for(2s);
    return out;
  }

  bool in_force_everywhere(std::uint64_t sequence) {
    for (const std::string& it : f.names()) {
      if (f.at(it).config().sequence() < sequence) {
        return false;
      }
    }
    return true;
  }
};

TEST(configuration, a_change_is_in_force_everywhere_within_three_seconds) {
  build_two_data_centres(f, 16);
  for (int i = 0; i < 20; ++i) {
    const write_result r = f.write("a1", "out/target/x", R"({"out":true})");
    f.run_for(3s);
    CHECK_TRUE(in_force_everywhere(r.sequence));
  }
}

TEST(configuration, concurrent_writes_conflict_instead_of_overwriting) {
  build_two_data_centres(f, 2);
  const write_result first = write("a1", "{}", "op-1");
  write_result a;
  write_result b;
  f.at("a1").write_config(
      {"out/target/x", R"({"out":true})", "op-a", first.sequence},
      [&a](const write_result& r) { a = r; });
  f.at("b1").write_config(
      {"out/target/x", R"({"out":false})", "op-b", first.sequence},
      [&b](const write_result& r) { b = r; });
  f.run_for(2s);
  const bool one_accepted = (a.status == write_status::accepted) !=
                            (b.status == write_status::accepted);
  const bool one_conflicted = (a.status == write_status::conflict) !=
                              (b.status == write_status::conflict);
  CHECK_TRUE(one_accepted && one_conflicted);
}

TEST(configuration, a_write_whose_answer_was_lost_is_applied_once) {
  build_two_data_centres(f, 2);
  const std::uint64_t before = f.at("a1").config().sequence();
  f.faults.answers_to_lose = 1;
  const write_result r = write("a1", R"({"out":true})", "op-7");
  CHECK_TRUE(r.status == write_status::accepted);
  LONGS_EQUAL(before + 1, r.sequence);
  const write_result repeated = write("b1", R"({"out":true})", "op-7");
  CHECK_TRUE(repeated.status == write_status::accepted);
  LONGS_EQUAL(before + 1, repeated.sequence);
}

TEST(configuration, a_repeated_write_is_recognised_after_an_overwrite) {
  build_two_data_centres(f, 2);
  const write_result own_write = write("a1", R"({"out":true})", "op-8");
  write("b1", R"({"out":false})", "op-9");
  // The operator's client repeats the write after its own timeout.
  const write_result repeated =
      write("a1", R"({"out":true})", "op-8", own_write.sequence - 1);
  CHECK_TRUE(repeated.status == write_status::accepted);
  LONGS_EQUAL(own_write.sequence, repeated.sequence);
}

TEST(configuration, a_write_during_an_outage_is_not_reported_as_accepted) {
  build_two_data_centres(f, 2);
  f.faults.down = true;
  CHECK_TRUE(write("a1", "{}", "op-1").status == write_status::unavailable);
}

TEST(configuration,
     a_node_started_in_an_outage_gets_the_configuration_from_peers) {
  build_two_data_centres(f, 3);
  const std::uint64_t sequence = f.at("a1").config().sequence();
  f.kill("b1");
  f.faults.down = true;
  f.restart_node("b1");
  f.at("b1").add_seed("a1", "a1");
  f.run_for(10s);
  LONGS_EQUAL(sequence, f.at("b1").config().sequence());
}

TEST(configuration, older_items_and_gaps_are_refused) {
  configuration c;
  CHECK_TRUE(c.apply({{"out/target/x", R"({"out":true})", 5}}, 0, 5));
  CHECK_TRUE(c.apply({{"out/target/x", R"({"out":false})", 4}}, 3, 4));
  CHECK_TRUE(c.target_out_of_service("x"));
  LONGS_EQUAL(5, c.sequence());
  CHECK_FALSE(c.apply({{"out/target/y", R"({"out":true})", 9}}, 8, 9));
  LONGS_EQUAL(5, c.sequence());
}

TEST(configuration, a_withdrawn_key_refuses_queued_requests) {
  build_two_data_centres(f, 1);
  for (const std::string& it : f.names()) {
    f.target(it).mutable_options().service_time = 20s;
  }
  int withdrawn = 0;
  int ran = 0;
  for (int i = 0; i < 40; ++i) {
    f.request(
        "a1", "/svc/list", "secret-a", "", "x",
        [&withdrawn, &ran](const outcome& o) {
          withdrawn += o.refusal_reason == reason::withdrawn_key ? 1 : 0;
          ran += o.execution == verdict::not_run ? 0 : 1;
        },
        30'000ms);
  }
  f.run_for(500ms);
  f.issue_key("b1", "key-a", "team-a", "secret-a", true);
  f.run_for(3s);
  const std::uint64_t runs_after_withdrawal = f.total_runs();
  CHECK_TRUE(withdrawn > 0);
  f.run_for(60s);
  LONGS_EQUAL(runs_after_withdrawal, f.total_runs());
}
