// Tests the limit on routes whose nested calls are refused downstream.
#include "kingcupslip/core/downstream_limit.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Offers requests of one route at a fixed rate. Of those admitted, a given
/// fraction fails.
struct offered_load {
  downstream_limit& limit;
  std::string route;
  priority rank;
  double per_s;
  int admitted = 0;
  int refused = 0;

  void run(instant& now, duration span, double failed_fraction) {
    const duration interval(static_cast<duration::rep>(1e6 / per_s));
    double failures_due = 0;
    for (const instant end = now + span; now < end; now += interval) {
      if (!limit.admit(route, rank, now)) {
        ++refused;
        continue;
      }
      ++admitted;
      failures_due += failed_fraction;
      const bool fails = failures_due >= 1;
      failures_due -= fails ? 1 : 0;
      limit.on_end(route, rank, fails, now);
    }
  }
};

struct limit_change {
  std::string route;
  double rate_per_s;
};

} // namespace

TEST_GROUP(downstream_limit) {
  std::vector<limit_change> changes;
  downstream_limit limit{
      [this](const std::string& route, double rate_per_s, double) {
        changes.push_back({route, rate_per_s});
      }};
  instant now{seconds(100)};
};

TEST(downstream_limit, nothing_is_limited_while_no_nested_call_is_refused) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(20), 0);
  LONGS_EQUAL(0, l.refused);
  LONGS_EQUAL(0, changes.size());
}

TEST(downstream_limit, single_failures_limit_nothing) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(20), 0.04);
  LONGS_EQUAL(0, l.refused);
}

TEST(downstream_limit, a_failing_route_is_limited_within_seconds) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(4), 0.9);
  CHECK(limit.rate_of("r") > 0);
  CHECK(limit.rate_of("r") < 20);
  LONGS_EQUAL(1, changes.size());
  DOUBLES_EQUAL(0, limit.rate_of("other"), 0);
}

TEST(downstream_limit, some_requests_are_always_admitted) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(30), 1);
  l.admitted = 0;
  l.run(now, seconds(10), 1);
  CHECK(l.admitted >= 9);
}

TEST(downstream_limit, the_limit_is_lifted_when_the_failures_end) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(4), 0.9);
  l.run(now, seconds(10), 0);
  DOUBLES_EQUAL(0, limit.rate_of("r"), 0);
  DOUBLES_EQUAL(0, changes.back().rate_per_s, 0);
  l.refused = 0;
  l.run(now, seconds(5), 0);
  LONGS_EQUAL(0, l.refused);
}

TEST(downstream_limit, a_limit_is_removed_after_an_idle_period) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(10), 0.9);
  CHECK(limit.rate_of("r") > 0);
  now += seconds(30);
  l.refused = 0;
  l.run(now, seconds(5), 0);
  LONGS_EQUAL(0, l.refused);
}

TEST(downstream_limit, less_urgent_routes_are_limited_first) {
  offered_load urgent{limit, "urgent", priority::critical, 50};
  offered_load less_urgent{limit, "less", priority::normal, 50};
  for (int i = 0; i < 20; ++i) {
    instant urgent_now = now;
    urgent.run(urgent_now, milliseconds(100), 0.5);
    less_urgent.run(now, milliseconds(100), 0.5);
  }
  DOUBLES_EQUAL(0, limit.rate_of("urgent"), 0);
  CHECK(limit.rate_of("less") > 0);
}

TEST(downstream_limit, urgent_routes_are_limited_if_failures_persist) {
  offered_load l{limit, "r", priority::critical, 100};
  l.run(now, seconds(6), 0.9);
  CHECK(limit.rate_of("r") > 0);
}

// A route whose rate grew by a twentieth in each window took many seconds to
// return after the services below had room again.
TEST(downstream_limit, a_rate_grows_fast_where_there_is_room_below) {
  offered_load l{limit, "r", priority::low, 100};
  l.run(now, seconds(4), 0.9);
  limit.set_pressure(0.9);
  instant later = now;
  offered_load slow{limit, "slow", priority::low, 100};
  slow.run(later, seconds(4), 0.9);
  const double failing_rate = limit.rate_of("r");
  limit.set_pressure(0.5);
  l.run(now, seconds(3), 0);
  CHECK(limit.rate_of("r") == 0 || limit.rate_of("r") > 4 * failing_rate);
}
