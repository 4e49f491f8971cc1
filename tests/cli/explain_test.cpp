// Tests the explanation of a request's outcome from log lines.
#include "kingcupslip/cli/explain.hpp"

#include "support/golden.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>

using namespace kingcupslip;

namespace {

/// Log lines of two nodes, and some lines that are not log lines.
const char* const log_file = BASELINES_DIR "/explain_input.txt";

std::string explain_request(const std::string& id) {
  request_explainer e(id);
  std::ifstream in(log_file);
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
    t.line(explain_request(it));
  }
  check_golden("explain", t);
}

TEST(explain, json_has_the_lines_in_order) {
  request_explainer e("q1");
  std::ifstream in(log_file);
  e.read(in);
  const nlohmann::json got = nlohmann::json::parse(e.as_json());
  LONGS_EQUAL(2, got["lines"].size());
  STRCMP_EQUAL("run_failed",
               got["lines"][0]["name"].get<std::string>().c_str());
  LONGS_EQUAL(60, got["left_out"]["request_answered"].get<int>());
}
