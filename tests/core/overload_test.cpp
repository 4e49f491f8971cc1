// Tests overload control along a chain: the level that callers shed by, and
// whose requests are shed.
#include "kingcupslip/core/nested_call_attribution.hpp"
#include "kingcupslip/core/overload_level.hpp"

#include <CppUTest/TestHarness.h>

#include <cstddef>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Feeds a level with requests of 50 ms for a target of 100 places.
void feed(overload_level& level, double demand, duration span, instant& now,
          std::size_t queued = 0) {
  const duration step = milliseconds(10);
  double due = 0;
  for (const instant end = now + span; now < end; now += step) {
    due += demand * 20;
    for (; due >= 1; due -= 1) {
      level.on_arrival();
      level.on_run_ended(milliseconds(50));
    }
    level.update(100, queued, now);
  }
}

} // namespace

// clang-format off
TEST_GROUP(overload_level){
};
TEST_GROUP(nested_call_attribution){
};
// clang-format on

TEST(overload_level, rises_while_more_arrives_than_is_completed) {
  overload_level level;
  instant now = seconds(100);
  feed(level, 1.2, seconds(2), now, 60);
  CHECK(level.value() > 0.5);
  feed(level, 0.7, seconds(3), now);
  DOUBLES_EQUAL(0, level.value(), 0.01);
}

TEST(overload_level, stays_at_zero_as_long_as_there_is_room) {
  overload_level level;
  instant now = seconds(100);
  for (int i = 0; i < 100; ++i) {
    feed(level, 0.92, milliseconds(100), now, 3);
    DOUBLES_EQUAL(0, level.value(), 0);
  }
}

TEST(overload_level, never_leaves_its_bounds) {
  overload_level level;
  instant now = seconds(100);
  feed(level, 20, seconds(20), now, 10'000);
  DOUBLES_EQUAL(overload_level::max_level, level.value(), 0.1);
  feed(level, 0, seconds(20), now);
  DOUBLES_EQUAL(0, level.value(), 0);
}

// Guards against urgent requests that are shed while less urgent ones are let
// in, and against a priority that gets nothing.
TEST(overload_level, less_urgent_requests_are_shed_first_and_none_altogether) {
  for (int i = 0; i <= 20; ++i) {
    const double level = 0.1 * i;
    const double critical = admitted_part(priority::critical, level);
    const double high = admitted_part(priority::high, level);
    const double normal = admitted_part(priority::normal, level);
    CHECK(critical >= high);
    CHECK(high >= normal);
    CHECK(normal >= 0.25);
  }
  DOUBLES_EQUAL(1, admitted_part(priority::critical, 0.7), 0);
  CHECK(admitted_part(priority::normal, 0.3) < 0.8);
}

TEST(overload_level, the_admitted_part_is_spread_evenly) {
  priority_shedder s;
  const double level = 0.4;
  const double part = admitted_part(priority::normal, level);
  std::size_t admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += s.admit("r", priority::normal, level) ? 1 : 0;
    CHECK(s.admit("other", priority::critical, level));
  }
  DOUBLES_EQUAL(part * 1000, static_cast<double>(admitted), 2);
}

// Guards against requests that are shed for a service that they do not need.
TEST(nested_call_attribution, kinds_that_make_no_calls_are_told_from_others) {
  nested_call_attribution a;
  instant now = seconds(100);
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    a.on_run_started("pay");
    a.on_run_started("read");
    a.on_run_started("read");
    a.on_call_started(now);
    a.on_call_started(now);
  }
  CHECK(a.makes_calls("read", now));
  CHECK_FALSE(a.makes_calls("pay", now));
  CHECK_FALSE(a.makes_calls("unknown", now));
  CHECK_FALSE(a.makes_calls("read", now + seconds(31)));
}

TEST(nested_call_attribution,
     a_kind_that_fails_with_a_refused_call_makes_some) {
  nested_call_attribution a;
  instant now = seconds(100);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(a.makes_calls("order", now));
    a.on_run_started("order");
    a.on_run_started("pay");
    a.on_call_started(now);
    a.on_call_ended();
    a.on_call_refused(now);
    now += milliseconds(2);
    a.on_run_ended("order", true, now);
    now += milliseconds(500);
    a.on_run_ended("pay", true, now);
  }
  CHECK(a.makes_calls("order", now));
  CHECK_FALSE(a.makes_calls("pay", now));
}
