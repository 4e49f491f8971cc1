// The controller's law, and the parts by priority.
#include "kingcupslip/core/overload_level.hpp"

#include <algorithm>
#include <array>

namespace kingcupslip {

namespace {

/// Places in use at which chains do not wait for each other yet.
constexpr double target_demand = 0.96;
constexpr double integral_gain_per_s = 0.4;
constexpr double proportional_gain = 3;
/// A demand that is not followed by a wait is noise of the arrivals.
constexpr double dead_band = 0.08;
/// Weight of requests that wait already, relative to the places.
constexpr double waiting_weight = 0.3;
constexpr double max_error = 0.5;
constexpr duration window = std::chrono::milliseconds(100);
constexpr duration max_step = std::chrono::milliseconds(200);
/// Weight of a window in the moving average of the demand.
constexpr double window_weight = 0.6;
constexpr double run_weight = 1.0 / 64;

/// The level from which a priority is shed, by rank.
constexpr std::array<double, priority_count> first_level{0.8, 0.35, 0, 0};
constexpr double shed_per_level = 0.75;
constexpr double min_part = 0.25;

} // namespace

void overload_level::on_run_ended(duration took) {
  const double us = static_cast<double>(took.count());
  m_run_us += m_run_us == 0 ? us : (us - m_run_us) * run_weight;
}

void overload_level::update(std::size_t limit, std::size_t queued,
                            instant now) {
  const duration span = now - m_updated_at;
  if (span < window) {
    return;
  }
  m_updated_at = now;
  const double places = static_cast<double>(std::max<std::size_t>(1, limit));
  const double sample = static_cast<double>(m_arrivals) * m_run_us /
                        static_cast<double>(span.count()) / places;
  m_arrivals = 0;
  m_demand += (sample - m_demand) * window_weight;
  const double waiting =
      std::min(1.0, static_cast<double>(queued) / places) * waiting_weight;
  const double error =
      std::clamp(m_demand + waiting - target_demand, -max_error, max_error);
  const double step_s =
      static_cast<double>(std::min(span, max_step).count()) / us_per_s;
  m_integral = std::clamp(m_integral + integral_gain_per_s * error * step_s,
                          0.0, max_level);
  m_level = std::clamp(m_integral + proportional_gain * error - dead_band, 0.0,
                       max_level);
}

double admitted_part(priority rank, double level) {
  const double above =
      std::max(0.0, level - first_level[static_cast<std::size_t>(rank)]);
  return std::max(min_part, 1 - shed_per_level * above);
}

bool priority_shedder::admit(const std::string& route, priority rank,
                             double level) {
  const double part = admitted_part(rank, level);
  if (part >= 1) {
    return true;
  }
  double& credit = m_credits.try_emplace(route, 1).first->second;
  credit += part;
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

} // namespace kingcupslip
