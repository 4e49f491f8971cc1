// Tests how often a new version is judged wrongly, and how soon a bad one is
// found, on answers drawn at random.
#include "kingcupslip/core/rollout_evaluator.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

constexpr std::size_t seeds = 200;
/// Of half a second each: one roll-out.
constexpr std::size_t windows = 40;
/// Answers of the current version in a window, and of the new one.
constexpr int current_answers = 200;
constexpr int new_answers = 18;

/// How a version answers.
struct behaviour {
  double failed = 0.005;
  double slower = 1; ///< factor, for `slow_part` of the answers
  double slow_part = 1;
  std::size_t from_window = 0;
};

/// One kind of request, as a part of all.
struct kind {
  std::string name;
  double part = 1;
  double mean_ms = 80;
  behaviour bad; ///< of the new version
};

struct result {
  bool worse = false;
  std::uint64_t bad_answers = 0;
};

class play {
public:
  play(std::uint64_t seed, std::vector<kind> kinds)
      : m_random(seed), m_kinds(std::move(kinds)) {}

  /// Part of both versions' answers that fails for another reason.
  std::function<double(std::size_t window)> storm = [](std::size_t) {
    return 0.0;
  };

  result run() {
    rollout_evaluator e;
    for (std::size_t w = 0; w < windows && !e.is_worse(); ++w) {
      for (const kind& it : m_kinds) {
        e.add(it.name, false, answers(it, current_answers, {}, w));
        e.add(it.name, true,
              answers(it, new_answers,
                      w >= it.bad.from_window ? it.bad : behaviour{}, w));
      }
      e.close_window();
    }
    return {e.is_worse(), e.new_bad_answers()};
  }

private:
  answer_counts answers(const kind& k, int n, const behaviour& b,
                        std::size_t w) {
    std::poisson_distribution<int> count(n * k.part);
    std::lognormal_distribution<double> work(0, 0.5);
    std::uniform_real_distribution<double> part(0, 1);
    const std::vector<double> paces{0.5, 1, 1, 1.5};
    answer_counts out;
    for (int i = count(m_random); i > 0; --i) {
      if (part(m_random) < b.failed + storm(w)) {
        out.add_failure();
        continue;
      }
      double ms = k.mean_ms * work(m_random) / paces[m_random() % paces.size()];
      ms *= part(m_random) < 0.03 ? 5 : 1;
      ms *= part(m_random) < b.slow_part ? b.slower : 1;
      out.add_success(duration(static_cast<duration::rep>(ms * 1000)));
    }
    return out;
  }

  std::mt19937_64 m_random;
  std::vector<kind> m_kinds;
};

std::size_t count_worse(const std::vector<kind>& kinds,
                        const std::function<double(std::size_t)>& storm = {}) {
  std::size_t n = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    play p(seed, kinds);
    if (storm) {
      p.storm = storm;
    }
    n += p.run().worse ? 1 : 0;
  }
  return n;
}

/// All seeds find the bad version, and within 50 of its bad answers.
void check_found(const std::vector<kind>& kinds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const result r = play(seed, kinds).run();
    CHECK_TRUE_TEXT(r.worse, std::to_string(seed).c_str());
    CHECK_TRUE_TEXT(r.bad_answers <= 50, std::to_string(seed).c_str());
  }
}

behaviour fails(double part, std::size_t from = 0) {
  return {part, 1, 1, from};
}

} // namespace

// clang-format off
TEST_GROUP(rollout_evaluator){
};
// clang-format on

TEST(rollout_evaluator, a_good_version_is_not_judged_worse) {
  CHECK(count_worse({{"a", 0.7, 80, {}}, {"b", 0.3, 250, {}}}) <= 1);
}

// Guards against a fault below, or a burst, that is blamed on the new version.
TEST(rollout_evaluator, failures_that_both_versions_see_are_no_evidence) {
  const std::vector<kind> kinds{{"a", 1, 80, {}}};
  CHECK(count_worse(kinds, [](std::size_t) { return 0.4; }) <= 2);
  CHECK(count_worse(kinds, [](std::size_t w) {
          return w > 10 && w < 20 ? 0.6 : 0.0;
        }) <= 2);
}

TEST(rollout_evaluator, a_version_that_fails_a_fifth_is_found) {
  check_found({{"a", 1, 80, fails(0.2)}});
}

TEST(rollout_evaluator, a_version_that_is_five_times_slower_is_found) {
  check_found({{"a", 1, 80, {0.005, 5, 1, 0}}});
}

TEST(rollout_evaluator, a_version_that_is_slower_in_part_is_found) {
  check_found({{"a", 1, 80, {0.005, 8, 0.3, 0}}});
}

// Guards against a sum in which good answers of before outweigh bad ones.
TEST(rollout_evaluator, a_version_that_becomes_bad_later_is_found) {
  check_found({{"a", 1, 80, fails(0.2, 16)}});
}

// Guards against a rare kind that is lost among all others.
TEST(rollout_evaluator, a_version_that_is_bad_on_one_rare_kind_is_found) {
  check_found({{"a", 0.95, 80, {}}, {"b", 0.05, 80, fails(0.5)}});
}

// Guards against a rollback for the loss of one machine.
TEST(rollout_evaluator, one_burst_of_failures_is_no_evidence) {
  rollout_evaluator e;
  answer_counts good;
  for (int i = 0; i < 20; ++i) {
    good.add_success(std::chrono::milliseconds(80));
  }
  answer_counts lost;
  for (int i = 0; i < 40; ++i) {
    lost.add_failure();
  }
  for (int w = 0; w < 20; ++w) {
    e.add("a", false, good);
    e.add("a", true, w == 5 ? lost : good);
    e.close_window();
  }
  CHECK_FALSE(e.is_worse());
}
