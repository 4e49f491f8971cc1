// Tests the limit on log lines per second.
#include "kingcupslip/core/log_rate_limiter.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

// clang-format off
TEST_GROUP(log_rate_limiter){
};
// clang-format on

TEST(log_rate_limiter,
     answer_lines_are_dropped_before_refusal_lines_and_counted) {
  log_rate_limiter b;
  instant now = std::chrono::seconds(10);
  CHECK_FALSE(b.begin_period(now).has_value());
  int answers = 0;
  int refusals = 0;
  for (int i = 0; i < 80; ++i) {
    answers += b.admit(event_id::request_answered) ? 1 : 0;
    refusals += b.admit(event_id::request_refused) ? 1 : 0;
  }
  LONGS_EQUAL(20, answers);
  LONGS_EQUAL(80, refusals);
  now += std::chrono::seconds(1);
  const std::optional<event_fields> left_out = b.begin_period(now);
  CHECK(left_out.has_value());
  LONGS_EQUAL(1, left_out->size());
  STRCMP_EQUAL("request_answered", left_out->front().first.c_str());
  STRCMP_EQUAL("60", left_out->front().second.c_str());
  CHECK(b.admit(event_id::request_answered));
}
