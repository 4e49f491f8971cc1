// Tests the limit on the concurrency of targets that slow down when nearly
// full.
#include "kingcupslip/core/knee_detector.hpp"

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <deque>
#include <iterator>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A target with more work than it can take, at the limit that a detector
/// gives; runs that begin above `knee` take longer by `factor`.
class saturated_target {
public:
  saturated_target(std::size_t slots, std::size_t knee, double factor)
      : m_slots(slots), m_knee(knee), m_factor(factor) {}

  knee_detector detector;
  double base_ms = 60;

  /// Returns the runs that ended.
  std::size_t run_for(duration span) {
    std::size_t ended = 0;
    for (const instant end = m_now + span; m_now < end;
         m_now += milliseconds(1)) {
      while (!m_ends.empty() && m_ends.front().at <= m_now) {
        const run r = m_ends.front();
        m_ends.pop_front();
        ++ended;
        detector.on_answer("k", m_now - r.started_at, r.running, m_slots,
                           m_now);
      }
      while (m_ends.size() < detector.limit(m_slots, m_now)) {
        start();
      }
    }
    return ended;
  }
  std::size_t limit() const { return detector.limit(m_slots, m_now); }

private:
  struct run {
    instant at{0};
    instant started_at{0};
    std::size_t running = 0;
  };

  void start() {
    const std::size_t running = m_ends.size() + 1;
    const double ms = base_ms * (running > m_knee ? m_factor : 1) +
                      static_cast<double>(m_started++ % 7);
    const run r{m_now + milliseconds(static_cast<int>(ms)), m_now, running};
    auto it = m_ends.end();
    while (it != m_ends.begin() && std::prev(it)->at > r.at) {
      --it;
    }
    m_ends.insert(it, r);
  }

  std::size_t m_slots;
  std::size_t m_knee;
  double m_factor;
  instant m_now{seconds(100)};
  std::size_t m_started = 0;
  std::deque<run> m_ends; ///< by time
};

} // namespace

// clang-format off
TEST_GROUP(knee_detector){
};
// clang-format on

TEST(knee_detector, the_limit_stays_below_the_knee_of_a_saturated_target) {
  for (const std::size_t slots : {20U, 43U, 137U}) {
    const std::size_t knee = slots * 95 / 100;
    saturated_target t(slots, knee, 1.3);
    t.run_for(seconds(5));
    LONGS_EQUAL(knee, t.limit());
  }
}

TEST(knee_detector, all_slots_are_used_without_a_knee) {
  saturated_target t(137, 137, 1);
  t.run_for(seconds(5));
  LONGS_EQUAL(137, t.limit());
}

TEST(knee_detector, a_target_that_became_slow_as_a_whole_keeps_its_slots) {
  saturated_target t(137, 137, 1);
  t.run_for(seconds(5));
  t.base_ms = 300;
  t.run_for(seconds(30));
  LONGS_EQUAL(137, t.limit());
}

// Learning costs little of what a target can do.
TEST(knee_detector, a_target_at_its_knee_completes_nearly_all_that_it_can) {
  saturated_target t(137, 130, 1.3);
  t.run_for(seconds(5));
  const double per_s = static_cast<double>(t.run_for(seconds(40))) / 40;
  CHECK(per_s >= 0.95 * 130 / 0.063);
}
