// Windows of successes and the share of requests that is turned away.
#include "kingcupslip/core/adaptive_throttle.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace kingcupslip {

namespace {

constexpr duration half_life = std::chrono::milliseconds(1500);
constexpr duration age_step = std::chrono::milliseconds(100);
/// Requests let in for each that succeeds, by rank.
constexpr std::array<double, priority_count> multiples{2.0, 1.8, 1.15, 1.15};
/// Some always enter, to see whether it has become better.
constexpr double most_rejected = 0.9;
constexpr double fewest_asked = 10;
constexpr double random_steps = 1e6;

} // namespace

bool adaptive_throttle::admit(const std::string& route, priority rank,
                              instant now) {
  const double part = rejected_part(route, rank, now);
  if (part <= 0) {
    return true;
  }
  const std::uint64_t draw =
      m_random() % static_cast<std::uint64_t>(random_steps);
  const bool admitted = static_cast<double>(draw) >= part * random_steps;
  m_windows[route].rejected += admitted ? 0 : 1;
  return admitted;
}

void adaptive_throttle::on_end(const std::string& route, bool succeeded,
                               instant now) {
  window& w = m_windows[route];
  age(w, now);
  w.ended += 1;
  w.succeeded += succeeded ? 1 : 0;
}

double adaptive_throttle::rejected_part(const std::string& route, priority rank,
                                        instant now) {
  window& w = m_windows[route];
  age(w, now);
  const double asked = w.ended + w.rejected;
  if (asked < fewest_asked) {
    return 0;
  }
  const double multiple = multiples[static_cast<std::size_t>(rank)];
  return std::clamp(1 - multiple * w.succeeded / asked, 0.0, most_rejected);
}

void adaptive_throttle::age(window& w, instant now) {
  if (now - w.aged_at < age_step) {
    return;
  }
  const double halves = static_cast<double>((now - w.aged_at).count()) /
                        static_cast<double>(half_life.count());
  const double factor = std::exp2(-halves);
  w.rejected *= factor;
  w.succeeded *= factor;
  w.ended *= factor;
  w.aged_at = now;
}

} // namespace kingcupslip
