// Tests a token bucket whose rate and burst change.
#include "kingcupslip/core/token_bucket.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

TEST_GROUP(token_bucket){};

TEST(token_bucket, starts_empty_and_fills_at_its_rate) {
  token_bucket b;
  b.resize(10, 5, instant(0));
  CHECK_FALSE(b.take(instant(0)));
  CHECK_TRUE(b.take(std::chrono::milliseconds(101)));
  CHECK_FALSE(b.take(std::chrono::milliseconds(102)));
}

TEST(token_bucket, holds_no_more_than_its_burst) {
  token_bucket b;
  b.resize(10, 5, instant(0));
  DOUBLES_EQUAL(5, b.level(std::chrono::hours(1)), 1e-9);
}

TEST(token_bucket, shrinking_caps_the_level_and_growing_adds_no_tokens) {
  token_bucket b;
  b.resize(10, 10, instant(0));
  const instant later = std::chrono::seconds(10);
  b.resize(1, 2, later);
  DOUBLES_EQUAL(2, b.level(later), 1e-9);
  b.resize(10, 10, later);
  DOUBLES_EQUAL(2, b.level(later), 1e-9);
}
