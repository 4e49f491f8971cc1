// Tests the counts of outcomes and of target load that are logged each second.
#include "kingcupslip/core/outcome_summary.hpp"
#include "kingcupslip/core/target_load_summary.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct event_recorder {
  struct line {
    event_id id;
    event_fields fields;
  };
  std::vector<line> lines;

  event_sink sink() {
    return [this](event_id id, const event_fields& f) {
      lines.push_back({id, f});
    };
  }
};

std::string field(const event_fields& fields, const std::string& name) {
  for (const std::pair<std::string, std::string>& it : fields) {
    if (it.first == name) {
      return it.second;
    }
  }
  return "none";
}

outcome answer(std::uint16_t status, bool nested_overload = false) {
  outcome out;
  out.execution = verdict::ran;
  out.status = status;
  out.nested_overload = nested_overload;
  return out;
}

} // namespace

// clang-format off
TEST_GROUP(outcome_summary){
};
// clang-format on

// Guards against overload in which the lines of most requests are left out, so
// that nobody can tell which decision ended them.
TEST(outcome_summary, counts_all_requests_of_a_second_by_reason) {
  event_recorder log;
  outcome_summary s(log.sink());
  s.tick(seconds(10));
  for (int i = 0; i < 300; ++i) {
    s.on_outcome("status", true, refusal(reason::shed), milliseconds(20));
  }
  for (int i = 0; i < 100; ++i) {
    s.on_outcome("status", true, answer(200), milliseconds(100));
  }
  s.on_outcome("status", false, answer(500, true), milliseconds(40));
  s.on_outcome("status", false,
               refusal(reason::connection_lost, verdict::may_have_run),
               milliseconds(20));
  s.on_outcome("pay", false, answer(200), milliseconds(20));
  s.tick(seconds(10) + milliseconds(999));
  LONGS_EQUAL(0, log.lines.size());
  s.tick(seconds(11));
  LONGS_EQUAL(2, log.lines.size());
  const event_fields& door = log.lines.at(0).fields;
  STRCMP_EQUAL("false", field(door, "nested").c_str());
  STRCMP_EQUAL("1", field(door, "failed").c_str());
  STRCMP_EQUAL("1", field(door, "failed_below").c_str());
  STRCMP_EQUAL("1", field(door, "uncertain").c_str());
  STRCMP_EQUAL("1", field(door, "connection_lost").c_str());
  STRCMP_EQUAL("30", field(door, "mean_ms").c_str());
  const event_fields& nested = log.lines.at(1).fields;
  STRCMP_EQUAL("true", field(nested, "nested").c_str());
  STRCMP_EQUAL("100", field(nested, "answered").c_str());
  STRCMP_EQUAL("300", field(nested, "shed").c_str());
  STRCMP_EQUAL("40", field(nested, "mean_ms").c_str());
  s.tick(seconds(12));
  LONGS_EQUAL(2, log.lines.size());
}

TEST(outcome_summary, load_is_logged_for_a_full_target_only) {
  event_recorder log;
  target_load_summary s(log.sink());
  s.tick(4, seconds(10));
  s.on_start(milliseconds(0), 3, 0);
  s.tick(4, seconds(11));
  LONGS_EQUAL(0, log.lines.size());
  s.on_start(milliseconds(10), 4, 2);
  s.on_start(milliseconds(30), 4, 1);
  s.on_end(milliseconds(50), false);
  s.on_end(milliseconds(70), true);
  s.tick(4, seconds(12));
  LONGS_EQUAL(1, log.lines.size());
  const event_fields& f = log.lines.front().fields;
  STRCMP_EQUAL("4", field(f, "running").c_str());
  STRCMP_EQUAL("2", field(f, "queued").c_str());
  STRCMP_EQUAL("1", field(f, "refused").c_str());
  STRCMP_EQUAL("20", field(f, "waited_ms").c_str());
  STRCMP_EQUAL("60", field(f, "ran_ms").c_str());
}
