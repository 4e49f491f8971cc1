// Tests the load pattern of fan-out to the smallest service: each request makes
// several calls there, one after the other, and fails with the first refusal.
#include "kingcupslip/core/downstream_limit.hpp"
#include "kingcupslip/core/pressure_gauge.hpp"
#include "kingcupslip/core/token_bucket.hpp"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration step = milliseconds(5);
/// Of one call, and of the way back of its result.
constexpr duration call_time = milliseconds(30);

/// Nodes that let requests in, and the service below them, on virtual time.
class fan_out_model {
public:
  fan_out_model(std::size_t nodes, std::size_t calls_per_request,
                double capacity_per_s)
      : m_calls_per_request(calls_per_request) {
    for (std::size_t i = 0; i < nodes; ++i) {
      m_limits.push_back(std::make_unique<downstream_limit>(
          [](const std::string&, double, double) {}));
    }
    set_capacity(capacity_per_s);
  }

  /// Calls a second that the service takes.
  void set_capacity(double per_s) {
    m_capacity_per_s = per_s;
    m_below.resize(per_s, per_s * 0.1, m_now);
  }

  /// Requests a second over all nodes.
  double offered_per_s = 0;
  std::size_t succeeded = 0;

  void run_for(duration span) {
    for (const instant end = m_now + span; m_now < end; m_now += step) {
      offer();
      const double calls = static_cast<double>(advance_calls());
      m_pressure.add(calls * us_per_s / static_cast<double>(step.count()) /
                         m_capacity_per_s,
                     m_now);
    }
  }

  /// Requests a second that succeed during the span.
  double goodput(duration span) {
    const std::size_t before = succeeded;
    run_for(span);
    return static_cast<double>(succeeded - before) * us_per_s /
           static_cast<double>(span.count());
  }

private:
  struct chain {
    std::size_t node = 0;
    std::size_t calls_left = 0;
    instant next_call{0};
  };

  void offer() {
    m_due += offered_per_s * static_cast<double>(step.count()) / us_per_s;
    for (; m_due >= 1; m_due -= 1) {
      const std::size_t node = ++m_sent % m_limits.size();
      m_limits[node]->set_pressure(m_pressure.value(m_now));
      if (m_limits[node]->admit("r", priority::low, m_now)) {
        m_chains.push_back({node, m_calls_per_request, m_now});
      }
    }
  }

  /// Returns how many calls were made.
  std::size_t advance_calls() {
    std::size_t calls = 0;
    std::deque<chain> going_on;
    for (chain& it : m_chains) {
      if (it.next_call > m_now) {
        going_on.push_back(it);
        continue;
      }
      ++calls;
      if (!m_below.take(m_now)) {
        m_limits[it.node]->on_end("r", priority::low, true, m_now);
      } else if (--it.calls_left == 0) {
        ++succeeded;
        m_limits[it.node]->on_end("r", priority::low, false, m_now);
      } else {
        it.next_call = m_now + call_time;
        going_on.push_back(it);
      }
    }
    m_chains.swap(going_on);
    return calls;
  }

  std::size_t m_calls_per_request;
  std::vector<std::unique_ptr<downstream_limit>> m_limits;
  token_bucket m_below;
  double m_capacity_per_s = 0;
  /// What the replies to calls report.
  pressure_gauge m_pressure;
  std::deque<chain> m_chains;
  instant m_now{seconds(100)};
  double m_due = 0;
  std::size_t m_sent = 0;
};

constexpr std::size_t nodes = 16;
constexpr std::size_t calls = 8;
constexpr double offered = 600;
constexpr double full_capacity = 1.2 * offered * calls;

} // namespace

// clang-format off
TEST_GROUP(fan_out){
};
// clang-format on

// Guards against cuts that are too deep, or taken back too soon, where a
// service that lost a quarter of its capacity refuses nearly all chains.
TEST(fan_out, what_is_left_after_a_loss_of_capacity_is_used) {
  fan_out_model m(nodes, calls, full_capacity);
  m.offered_per_s = offered;
  m.run_for(seconds(5));
  m.set_capacity(0.75 * offered * calls);
  m.run_for(seconds(1));
  CHECK(m.goodput(seconds(10)) >= 0.75 * offered * 0.8);
}

// Goodput stayed low for five seconds after the capacity had returned.
TEST(fan_out, goodput_returns_soon_after_the_capacity) {
  fan_out_model m(nodes, calls, full_capacity);
  m.offered_per_s = offered;
  m.run_for(seconds(5));
  m.set_capacity(0.4 * offered * calls);
  m.run_for(seconds(8));
  m.set_capacity(full_capacity);
  m.run_for(seconds(3));
  CHECK(m.goodput(seconds(2)) >= 0.95 * offered);
}

// Guards against work that is spent on chains that fail, where much more is
// offered than the service takes.
TEST(fan_out, goodput_holds_under_many_times_the_load) {
  for (const double times : {1.5, 3.0, 10.0}) {
    fan_out_model m(nodes, calls, offered * calls);
    m.offered_per_s = times * offered;
    m.run_for(seconds(4));
    CHECK(m.goodput(seconds(15)) >= 0.8 * offered);
  }
}
