// Tests rows of the table whose fields are of another type, missing, or no
// object at all, as another writer may leave them.
#include "kingcupslip/core/config_rows.hpp"
#include "kingcupslip/core/configuration.hpp"
#include "kingcupslip/core/crash_record_store.hpp"
#include "kingcupslip/core/lease.hpp"
#include "kingcupslip/core/request_counters.hpp"
#include "kingcupslip/core/share_row.hpp"
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using std::chrono::seconds;

namespace {

/// A value of each type for each field that `text` names.
std::vector<std::string> with_each_type(const std::string& text) {
  std::vector<std::string> out;
  for (const char* value : {"null", "true", "-7", "1.5", "1e300", "\"text\"",
                            "[1]", "{\"a\":1}", "99999999999999999999999"}) {
    std::string row = text;
    for (std::size_t at = row.find('?'); at != std::string::npos;
         at = row.find('?')) {
      row.replace(at, 1, value);
    }
    out.push_back(row);
  }
  out.insert(out.end(), {"7", "[7]", "[null]", "{}", "\"\"", "", "{", "\xff"});
  return out;
}

} // namespace

// clang-format off
TEST_GROUP(foreign_rows){
};
// clang-format on

// A field of another type in a row of the table ended the process.
TEST(foreign_rows, a_member_row_of_another_type_does_not_end_the_node) {
  routed_fleet f(7);
  std::uint64_t version = 0;
  std::size_t n = 0;
  for (const std::string& row :
       with_each_type(R"({"node":?,"data_centre":?,"address":?,"admin_url":?,)"
                      R"("service":?,"incarnation":?})")) {
    f.row_store.commit({{"member/x/" + std::to_string(n++), 0, row, false}},
                       version);
  }
  build_routed_fleet(f, 1);
  LONGS_EQUAL(200, f.request_and_wait("a1", "/safe/x", "k").status);
}

// A row that names a node of the fleet, with a number near the largest, took
// its place: the other nodes ignored what the node said of itself from then on.
TEST(foreign_rows, a_member_row_with_too_large_a_number_displaces_no_node) {
  for (const char* incarnation :
       {"18446744073709551615", "18446744073709551614", "9999999999999999",
        "9007199254740992.0", "1e19"}) {
    routed_fleet f(8);
    std::uint64_t version = 0;
    f.row_store.commit(
        {{"member/dc-b/x", 0,
          std::string(R"({"node":"b1","data_centre":"dc-b","address":"b1",)"
                      R"("admin_url":"","service":"svc","incarnation":)") +
              incarnation + "}",
          false}},
        version);
    build_routed_fleet(f, 2);
    const std::uint64_t before = f.target("b1").total_runs;
    routed_load l(f, {"a1", "a2", "b2"}, "/safe/x", 200, seconds(2));
    f.run_for(seconds(3));
    LONGS_EQUAL(l.sent, l.ran);
    CHECK_COMPARE(f.target("b1").total_runs, >, before);
  }
}

// Guards against a reader that recurses, or that gives up on the whole list.
TEST(foreign_rows, a_deeply_nested_member_row_hides_no_other_row) {
  routed_fleet f(9);
  std::uint64_t version = 0;
  const std::size_t depth = 30'000;
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  std::string objects;
  for (std::size_t i = 0; i < depth / 4; ++i) {
    objects += R"({"a":)";
  }
  objects += "1" + std::string(depth / 4, '}');
  std::size_t n = 0;
  for (const std::string& row :
       {nested, std::string(depth, '['), objects, R"({"node":)" + nested + "}",
        R"({"node":"x","data_centre":"dc-a","address":)" + objects + "}"}) {
    f.row_store.commit({{"member/a/" + std::to_string(n++), 0, row, false}},
                       version);
  }
  build_routed_fleet(f, 2);
  LONGS_EQUAL(200, f.request_and_wait("a1", "/safe/x", "k").status);
  LONGS_EQUAL(4, f.at("a1").members().usable().size());
}

// A store that answers with other rows than were asked for ended the process.
TEST(foreign_rows, a_crash_row_of_another_type_is_passed_over) {
  std::vector<table_row> rows;
  for (const char* key :
       {"crash/7", "crash/", "crash/x", "", "c", "member/a"}) {
    for (const std::string& value :
         with_each_type(R"({"digests":?,"conclusive":?,"crashed_at_ms":?})")) {
      rows.push_back({key, value, 1});
    }
    for (const std::string& value :
         with_each_type(R"({"digests":[?],"crashed_at_ms":?})")) {
      rows.push_back({key, value, 1});
    }
  }
  table_hooks table;
  table.read = [&rows](const table_query&, const read_handler& handler) {
    handler(table_status::ok, rows);
  };
  table.commit = [](const table_transaction&, const commit_handler& handler) {
    handler(table_status::ok, 1);
  };
  clock_reading clock{seconds(5), std::chrono::hours(1'000'000)};
  std::size_t unreadable = 0;
  quarantine q;
  member_table members(node_identity{}, [] { return 0; });
  crash_record_store s({table, q, members,
                        [&unreadable](event_id id, const event_fields&) {
                          unreadable += id == event_id::row_unreadable ? 1 : 0;
                        }},
                       clock);
  s.tick();
  CHECK_COMPARE(unreadable, >, rows.size() / 2);
  LONGS_EQUAL(0, q.size());
}

TEST(foreign_rows, a_member_row_with_a_port_out_of_range_is_no_member) {
  routed_fleet f(11);
  std::uint64_t version = 0;
  for (const char* port : {"65536", "-1", "0", "99999999999999999999", "80x"}) {
    const std::string node = std::string("x") + port;
    f.row_store.commit({{"member/dc-a/" + node, 0,
                         R"({"node":")" + node +
                             R"(","data_centre":"dc-a","address":"127.0.0.1:)" +
                             port + R"(","service":"svc","incarnation":1})",
                         false}},
                       version);
  }
  build_routed_fleet(f, 1);
  LONGS_EQUAL(2, f.at("a1").members().usable().size());
}

// An announcement with a start time near the largest number made every later
// one of the target look outdated, and the target was lost.
TEST(foreign_rows, an_announcement_with_too_large_a_start_time_is_ignored) {
  routed_fleet f(10);
  build_routed_fleet(f, 1);
  target_announcement odd;
  odd.instance = "other";
  odd.start_time_ms = 18'446'744'073'709'551'615U;
  odd.sequence = 1;
  odd.service = "svc";
  odd.max_concurrency = 10;
  f.at("a1").on_target_announce(odd);
  f.at("a1").on_target_leave("a1-1", odd.start_time_ms);
  f.run_for(seconds(10));
  f.kill("b1");
  f.run_for(seconds(1));
  LONGS_EQUAL(200, f.request_and_wait("a1", "/safe/x", "k").status);
}

TEST(foreign_rows, a_share_row_of_another_type_is_read) {
  for (
      const std::string& row : with_each_type(
          R"([{"lease":?,"held":?,"wanted":?,"floor_only":?},{"lease":"a"}])")) {
    parse_share_row(row);
  }
  const share_row whole = parse_share_row(
      R"([7,{"lease":"a","held":2,"wanted":3,"floor_only":true}])");
  CHECK(whole.entries.size() >= 1);
  LONGS_EQUAL(2, whole.entries.back().held);
  LONGS_EQUAL(3, whole.entries.back().wanted);
  CHECK(whole.entries.back().floor_only);
}

TEST(foreign_rows, a_lease_of_another_type_is_read) {
  for (const std::string& row :
       with_each_type(R"({"heir":?,"fenced":?,"beat":?})")) {
    parse_lease(row);
  }
  const lease_record whole =
      parse_lease(R"({"heir":"n","fenced":true,"beat":9})");
  STRCMP_EQUAL("n", whole.witness.c_str());
  CHECK(whole.fenced);
  LONGS_EQUAL(9, whole.write_count);
}

TEST(foreign_rows, a_change_of_another_type_is_read) {
  for (const std::string& row :
       with_each_type(R"({"key":?,"value":?,"sequence":?,"operation":?})")) {
    parse_change(row);
    parse_head(row);
  }
  LONGS_EQUAL(4, parse_head(R"({"sequence":4})"));
}

TEST(foreign_rows, an_item_of_another_type_is_applied) {
  for (const char* key : {"key/k1", "out/target/n1", "out/data-centre/d1",
                          "contract/t", "other"}) {
    std::uint64_t sequence = 0;
    configuration c;
    for (const std::string& value : with_each_type(
             R"({"team":?,"secret_hash":?,"withdrawn":?,"out":?})")) {
      config_item item;
      item.key = key;
      item.value = value;
      item.sequence = ++sequence;
      c.apply({item}, sequence - 1, sequence);
    }
  }
}

TEST(foreign_rows, a_report_of_another_type_is_read) {
  for (const std::string& row : with_each_type(
           R"([{"asked":?,"ran":?,"may_have_run":?,"replayed":?,"refused":?,)"
           R"("uncertain":?,"retried":?,"team":?,"route":?}])")) {
    request_counters counters;
    counters.add_from_json(row);
  }
}

// The path of a refused request ended the process when the report was written.
TEST(foreign_rows, a_service_that_is_not_utf8_does_not_end_the_report) {
  request_counters counts;
  counts.on_asked({"", "\xff"});
  request_counters copy;
  CHECK(copy.add_from_json(counts.to_json()));
  LONGS_EQUAL(1, copy.rows().size());
}
