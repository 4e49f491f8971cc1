// Evaluation of windows of ended requests and adjustment of the rate.
#include "kingcupslip/core/downstream_limit.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration min_window = std::chrono::milliseconds(500);
constexpr duration max_window = std::chrono::seconds(3);
/// The state of a route is outdated after so long without a closed window.
constexpr duration max_idle_time = std::chrono::seconds(20);
/// Fewer ended requests are too small a sample.
constexpr std::size_t min_ended_per_window = 2;
/// Fraction of a window's requests that may fail without a cut of the rate.
constexpr double max_failed_fraction = 0.1;
constexpr double fast_growth_factor = 1.5;
/// The rate grows more slowly within this range, in multiples of the rate
/// that failed last.
constexpr double careful_range_low = 0.8;
constexpr double careful_range_high = 1.1;
/// Admits enough requests to detect recovery.
constexpr double min_rate_per_s = 2;
/// A limit above this multiple of the admitted rate is removed.
constexpr double removal_headroom_factor = 2;
constexpr double burst_s = 0.2;
/// Up to this pressure the services below have room for all of the growth.
constexpr double free_pressure = 0.85;
/// Growth by one good window up to that pressure.
constexpr double free_growth_factor = 4;

} // namespace

struct downstream_limit::priority_policy {
  /// Consecutive failing windows until the rate is cut.
  std::size_t failing_windows_before_cut;
  /// Bounds the cut by one window. Nearly all requests fail under overload, so
  /// the failed fraction says little about the sustainable rate.
  double min_cut_factor;
  /// Growth by one good window near the rate that failed last.
  double careful_growth_factor;
};

namespace {

constexpr std::array<downstream_limit::priority_policy, priority_count>
    policy_by_priority{
        {{8, 0.9, 1.2}, {4, 0.8, 1.1}, {1, 0.6, 1.05}, {1, 0.6, 1.05}}};

} // namespace

downstream_limit::downstream_limit(change_hook on_change)
    : m_on_change(std::move(on_change)) {}

bool downstream_limit::admit(const std::string& route, priority rank,
                             instant now) {
  route_state& state = m_routes[route];
  close_window(route, state, rank, now);
  if (state.rate_per_s > 0 && !state.bucket.take(now)) {
    return false;
  }
  ++state.admitted;
  return true;
}

void downstream_limit::on_end(const std::string& route, priority rank,
                              bool failed_on_nested_overload, instant now) {
  route_state& state = m_routes[route];
  ++state.ended;
  state.failed += failed_on_nested_overload ? 1 : 0;
  close_window(route, state, rank, now);
}

double downstream_limit::rate_of(const std::string& route) const {
  const auto it = m_routes.find(route);
  return it == m_routes.end() ? 0 : it->second.rate_per_s;
}

void downstream_limit::close_window(const std::string& route,
                                    route_state& state, priority rank,
                                    instant now) {
  const duration span = now - state.window_start;
  if (span > max_idle_time) {
    if (state.rate_per_s > 0) {
      m_on_change(route, 0, 0);
    }
    state = route_state{};
    state.window_start = now;
    return;
  }
  const bool has_enough_samples =
      state.ended >= min_ended_per_window && span >= min_window;
  if (!has_enough_samples && span < max_window) {
    return;
  }
  const double span_s = static_cast<double>(span.count()) / us_per_s;
  const double admitted_per_s = static_cast<double>(state.admitted) / span_s;
  const double failed_fraction = state.ended == 0
                                     ? 0
                                     : static_cast<double>(state.failed) /
                                           static_cast<double>(state.ended);
  const priority_policy& policy =
      policy_by_priority[static_cast<std::size_t>(rank)];
  state.window_start = now;
  state.admitted = 0;
  state.ended = 0;
  state.failed = 0;
  if (failed_fraction > max_failed_fraction) {
    ++state.consecutive_failing_windows;
    if (state.consecutive_failing_windows >=
        policy.failing_windows_before_cut) {
      cut(route, state, admitted_per_s,
          std::max(policy.min_cut_factor, 1 - failed_fraction), failed_fraction,
          now);
    }
    return;
  }
  state.consecutive_failing_windows = 0;
  if (state.rate_per_s == 0) {
    return;
  }
  if (state.rate_per_s > admitted_per_s * removal_headroom_factor &&
      state.rate_per_s > state.failing_rate_per_s) {
    state.rate_per_s = 0;
    m_on_change(route, 0, failed_fraction);
    return;
  }
  set_rate(state, state.rate_per_s * growth(state, policy), now);
}

void downstream_limit::cut(const std::string& route, route_state& state,
                           double admitted_per_s, double factor,
                           double failed_fraction, instant now) {
  const bool was_unlimited = state.rate_per_s == 0;
  state.failing_rate_per_s = admitted_per_s;
  set_rate(state, admitted_per_s * factor, now);
  if (was_unlimited) {
    m_on_change(route, state.rate_per_s, failed_fraction);
  }
}

double downstream_limit::growth(const route_state& state,
                                const priority_policy& policy) const {
  const bool has_room = m_pressure > 0 && m_pressure <= free_pressure;
  const bool near_failure =
      state.rate_per_s > state.failing_rate_per_s * careful_range_low &&
      state.rate_per_s < state.failing_rate_per_s * careful_range_high;
  return has_room       ? free_growth_factor
         : near_failure ? policy.careful_growth_factor
                        : fast_growth_factor;
}

void downstream_limit::set_rate(route_state& state, double rate_per_s,
                                instant now) const {
  state.rate_per_s = std::max(min_rate_per_s, rate_per_s);
  state.bucket.resize(state.rate_per_s,
                      std::max(1.0, state.rate_per_s * burst_s), now);
}

} // namespace kingcupslip
