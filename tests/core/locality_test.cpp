// Tests which part of the load leaves a data centre, on a model of three data
// centres whose nodes see delayed and noisy loads.
#include "kingcupslip/core/locality.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration step = milliseconds(10);
constexpr duration run_time = milliseconds(60);
constexpr duration way = milliseconds(3);
constexpr double capacity = 100; ///< concurrency of a data centre
constexpr double capacity_per_s = capacity / 0.06;
/// Requests in progress or queued, beyond which more are refused.
constexpr double max_load = 2 * capacity;
constexpr std::size_t nodes = 5; ///< of each data centre
/// Steps until a node hears of a load.
constexpr std::size_t news_delay = 5;
const std::vector<std::string> names{"a", "b", "c"};
constexpr std::size_t centres = 3;

/// Demand and service as flows.
class data_centres_model {
public:
  explicit data_centres_model(locality_mode mode = locality_mode::adaptive)
      : m_adaptive(mode == locality_mode::adaptive), m_random(1) {
    for (std::size_t i = 0; i < centres * nodes; ++i) {
      m_nodes.push_back(
          std::make_unique<locality>(locality::options{mode, duration(0)},
                                     [](event_id, const event_fields&) {}));
    }
  }

  /// Of the capacity of a data centre.
  std::function<double(std::size_t centre, double at_s)> demand =
      [](std::size_t, double) { return 0.5; };
  double noise = 0;
  bool has_news = true;
  /// That the other data centres cannot reach.
  std::size_t cut_off = centres;

  double offered = 0;
  double served = 0;
  double left = 0; ///< of `offered`, for another data centre
  /// Steps in which one data centre refused while another was at less than
  /// 0.7 of its load.
  std::size_t wasted_steps = 0;
  double max_movement_per_s = 0; ///< of a node's leaving part

  void run_for(duration span) {
    for (const instant end = m_now + span; m_now < end; m_now += step) {
      advance();
    }
  }
  void start_counting() {
    offered = served = left = max_movement_per_s = 0;
    wasted_steps = 0;
    m_parts_before.clear();
  }
  /// Of all nodes of a data centre, in the mean.
  double leaving_part(std::size_t centre) const {
    double sum = 0;
    for (std::size_t n = 0; n < nodes; ++n) {
      for (const std::pair<const std::string, double>& it :
           m_nodes[centre * nodes + n]->parts("s")) {
        sum += it.second;
      }
    }
    return sum / nodes;
  }

private:
  void advance() {
    const double step_s = static_cast<double>(step.count()) / us_per_s;
    const double now_s = static_cast<double>(m_now.count()) / us_per_s;
    std::vector<double> arrivals(centres, 0);
    for (std::size_t i = 0; i < centres; ++i) {
      const double flow = demand(i, now_s) * capacity_per_s * step_s;
      offered += flow;
      for (std::size_t n = 0; n < nodes; ++n) {
        double stays = flow / nodes;
        for (const std::pair<const std::string, double>& it :
             m_nodes[i * nodes + n]->parts("s")) {
          const double leaves = it.second * flow / nodes;
          arrivals[index_of(it.first)] += leaves;
          left += leaves;
          stays -= leaves;
        }
        arrivals[i] += stays;
      }
    }
    bool refuses = false;
    double lowest = max_load;
    for (std::size_t i = 0; i < centres; ++i) {
      const double done = std::min(m_loads[i], capacity) * step_s / 0.06;
      served += done;
      m_loads[i] += arrivals[i] - done;
      refuses |= m_loads[i] > max_load;
      m_loads[i] = std::min(m_loads[i], max_load);
      lowest = std::min(lowest, m_loads[i]);
    }
    wasted_steps += refuses && lowest < 0.7 * capacity ? 1 : 0;
    m_history.push_back(m_loads);
    if (m_history.size() > news_delay) {
      m_history.pop_front();
    }
    if (m_adaptive && m_now.count() % locality_update_period.count() == 0) {
      update_nodes();
    }
  }

  void update_nodes() {
    std::normal_distribution<double> error(1, noise);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const std::size_t here = i / nodes;
      std::vector<data_centre_load> loads;
      for (std::size_t j = 0; j < centres; ++j) {
        if (j != here && (j == cut_off || here == cut_off)) {
          continue;
        }
        const bool known = j == here || has_news;
        loads.push_back({names[j], capacity, known ? capacity : 0,
                         known ? m_history.front()[j] * error(m_random) : 0,
                         j == here ? duration(0) : way});
      }
      m_nodes[i]->update("s", names[here], loads, run_time, m_now);
      double part = 0;
      for (const std::pair<const std::string, double>& it :
           m_nodes[i]->parts("s")) {
        part += it.second;
      }
      track_movement(i, part);
    }
  }

  /// Over a second.
  void track_movement(std::size_t node, double part) {
    std::deque<double>& before = m_parts_before[node];
    before.push_back(part);
    if (before.size() > 10) {
      max_movement_per_s =
          std::max(max_movement_per_s, std::abs(part - before.front()));
      before.pop_front();
    }
  }

  static std::size_t index_of(const std::string& name) {
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), name) - names.begin());
  }

  bool m_adaptive;
  std::vector<std::unique_ptr<locality>> m_nodes;
  std::vector<double> m_loads = std::vector<double>(centres, 0);
  std::deque<std::vector<double>> m_history;
  std::map<std::size_t, std::deque<double>> m_parts_before;
  std::mt19937_64 m_random;
  instant m_now{seconds(100)};
};

/// Demand of one data centre, as a part of its capacity, with the others idle
/// enough to help.
double uneven(std::size_t centre, double) {
  return std::vector<double>{1.6, 0.5, 0.7}[centre];
}

} // namespace

// clang-format off
TEST_GROUP(locality){
};
// clang-format on

// Without it a data centre at 1.6 of its capacity refused while another was at
// half of its own.
TEST(locality, what_the_sum_of_capacities_can_serve_is_served) {
  data_centres_model m;
  m.demand = uneven;
  m.run_for(seconds(3));
  m.start_counting();
  m.run_for(seconds(10));
  CHECK(m.served >= 0.95 * m.offered);
  LONGS_EQUAL(0, m.wasted_steps);
}

TEST(locality, demand_that_moves_between_data_centres_is_followed) {
  data_centres_model m;
  m.demand = [](std::size_t centre, double at_s) {
    const double phase = static_cast<double>(centre) / centres;
    return 0.8 * (1 + 0.55 * std::sin(2 * M_PI * (at_s / 11 + phase)));
  };
  m.run_for(seconds(5));
  m.start_counting();
  m.run_for(seconds(33));
  CHECK(m.served >= 0.95 * m.offered);
  LONGS_EQUAL(0, m.wasted_steps);
}

// Guards against load that is sent back and forth where all are short.
TEST(locality, little_leaves_if_all_are_short) {
  data_centres_model with;
  data_centres_model without(locality_mode::threshold);
  for (data_centres_model* m : {&with, &without}) {
    m->demand = [](std::size_t, double) { return 1.5; };
    m->run_for(seconds(10));
  }
  CHECK(with.served >= without.served);
  CHECK(with.left <= 0.01 * with.offered);
}

// Guards against requests that leave where nobody would have waited.
TEST(locality, nothing_leaves_a_data_centre_with_room) {
  data_centres_model m;
  m.demand = [](std::size_t centre, double) { return centre == 0 ? 0.8 : 0.1; };
  m.run_for(seconds(10));
  DOUBLES_EQUAL(0, m.left, 0.0);
}

// Guards against load that is sent to a place of which nothing is known.
TEST(locality, without_news_no_more_than_a_trickle_leaves) {
  data_centres_model m;
  m.demand = uneven;
  m.run_for(seconds(3));
  m.has_news = false;
  m.run_for(seconds(1));
  m.start_counting();
  m.run_for(seconds(2));
  CHECK(m.left > 0);
  CHECK(m.left <= 0.03 * m.offered);
}

// Guards against a rush to a data centre that has just come back.
TEST(locality, a_data_centre_that_returns_gets_load_by_steps) {
  data_centres_model m;
  m.demand = uneven;
  m.run_for(seconds(3));
  m.cut_off = 1;
  m.run_for(milliseconds(100));
  const double during = m.leaving_part(0);
  m.run_for(seconds(2));
  m.cut_off = centres;
  const double before = m.leaving_part(0);
  m.run_for(milliseconds(100));
  CHECK(m.leaving_part(0) - before <= 0.2);
  m.run_for(seconds(3));
  CHECK(m.leaving_part(0) > 0.2);
  CHECK(during < 0.3);
}

// Guards against parts that follow the noise of the loads, and swing.
TEST(locality, the_part_stays_calm_in_noise) {
  data_centres_model m;
  m.demand = uneven;
  m.noise = 0.05;
  m.run_for(seconds(10));
  m.start_counting();
  m.run_for(seconds(20));
  CHECK(m.max_movement_per_s < 0.05);
}
