// Causes of requests, from log lines.
#include "kingcupslip/cli/explain.hpp"

#include "support/golden.hpp"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace kingcupslip;

namespace {

const char* const lines = R"(
12.1 n2 {"time":"T03","level":"info","event":703,"name":"run_failed","node":"n2","request":"q1","instance":"i-2","how":"lost","ran_us":"42","in_flight":"3"}
{"time":"T05","level":"info","event":701,"name":"request_refused","node":"n1","request":"q1","route":"r","service":"s","team":"t","reason":"connection_lost","verdict":"may-have-run","status":"502","targets":"n2","took_us":"53949","left_us":"9","routes":"r4","state_age_ms":"1379"}
{"time":"T01","level":"info","event":701,"name":"request_refused","node":"n1","request":"q2","route":"r","service":"","team":"t","reason":"over_rate","verdict":"not-run","status":"429","targets":"","took_us":"0","left_us":"9","routes":"r13","state_age_ms":"420"}
{"time":"T02","level":"info","event":700,"name":"request_answered","node":"n1","request":"q3","route":"r","service":"s","team":"t","reason":"none","verdict":"ran","status":"200","targets":"n2","took_us":"71","left_us":"9","routes":"r13","state_age_ms":"4"}
{"time":"T02","level":"info","event":701,"name":"request_refused","node":"n1","request":"q4","route":"r","service":"","team":"","reason":"unknown_key","verdict":"not-run","status":"401","targets":"","took_us":"0","left_us":"9","routes":"r7","state_age_ms":"91"}
{"time":"T04","level":"info","event":703,"name":"run_failed","node":"n2","request":"q5","instance":"i-2","how":"lost","ran_us":"42","in_flight":"3"}
{"time":"T06","level":"warning","event":702,"name":"lines_dropped","node":"n1","request_answered":"57","request_refused":"2"}
{"time":"T07","level":"warning","event":702,"name":"lines_dropped","node":"n2","request_answered":"3"}
not a line {
{"cut
)";

std::string explained(const std::string& id) {
  request_explainer e(id);
  std::istringstream in(lines);
  e.read(in);
  return e.as_text();
}

} // namespace

// clang-format off
TEST_GROUP(explain){
};
// clang-format on

TEST(explain, names_the_cause_of_each_kind_of_failed_request) {
  transcript t;
  for (const char* it : {"q1", "q2", "q3", "q4", "q5", "q6"}) {
    t.line(explained(it));
  }
  check_golden("explain", t);
}

TEST(explain, json_has_the_lines_in_order) {
  request_explainer e("q1");
  std::istringstream in(lines);
  e.read(in);
  const nlohmann::json got = nlohmann::json::parse(e.as_json());
  LONGS_EQUAL(2, got["lines"].size());
  STRCMP_EQUAL("run_failed",
               got["lines"][0]["name"].get<std::string>().c_str());
  LONGS_EQUAL(60, got["left_out"]["request_answered"].get<int>());
}
