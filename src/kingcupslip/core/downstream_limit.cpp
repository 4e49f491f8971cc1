// Windows of ended requests, and the rate that follows from them.
#include "kingcupslip/core/downstream_limit.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration window_span = std::chrono::milliseconds(500);
constexpr duration longest_window = std::chrono::seconds(3);
/// What was learned before such a pause says nothing any more.
constexpr duration longest_pause = std::chrono::seconds(20);
/// A shorter window says too little.
constexpr std::size_t least_ended = 2;
/// Part of a window's requests that may fail without a cut.
constexpr double failed_part = 0.1;
constexpr double quick_growth = 1.5;
/// Around the rate that failed last, growth is careful.
constexpr double careful_from = 0.8;
constexpr double careful_to = 1.1;
/// Keeps some requests going, from which recovery is seen.
constexpr double least_rate_per_s = 1;
/// A limit so far above what is asked is lifted.
constexpr double headroom = 2;
constexpr double burst_s = 0.2;

/// How a rank answers to failing windows.
struct response {
  std::size_t patience;  ///< failing windows in a row until it is cut
  double deepest_cut;    ///< of one window; nearly all fail under overload,
                         ///< which says little about how much fits
  double careful_growth; ///< of one good window, near the rate that failed
};

constexpr std::array<response, priority_count> response_of_rank{
    {{8, 0.9, 1.2}, {4, 0.8, 1.1}, {1, 0.6, 1.05}, {1, 0.6, 1.05}}};

} // namespace

downstream_limit::downstream_limit(change_hook on_change)
    : m_on_change(std::move(on_change)) {}

bool downstream_limit::admit(const std::string& route, priority rank,
                             instant now) {
  route_state& s = m_routes[route];
  close_window(route, s, rank, now);
  if (s.rate_per_s > 0 && !s.bucket.take(now)) {
    return false;
  }
  ++s.admitted;
  return true;
}

void downstream_limit::on_end(const std::string& route, priority rank,
                              bool failed_on_nested_overload, instant now) {
  route_state& s = m_routes[route];
  ++s.ended;
  s.failed += failed_on_nested_overload ? 1 : 0;
  close_window(route, s, rank, now);
}

double downstream_limit::rate_of(const std::string& route) const {
  const auto it = m_routes.find(route);
  return it == m_routes.end() ? 0 : it->second.rate_per_s;
}

void downstream_limit::close_window(const std::string& route, route_state& s,
                                    priority rank, instant now) {
  const duration span = now - s.window_began;
  if (span > longest_pause) {
    if (s.rate_per_s > 0) {
      m_on_change(route, 0, 0);
    }
    s = route_state{};
    s.window_began = now;
    return;
  }
  const bool said_enough = s.ended >= least_ended && span >= window_span;
  if (!said_enough && span < longest_window) {
    return;
  }
  const double span_s = static_cast<double>(span.count()) / us_per_s;
  const double admitted_per_s = static_cast<double>(s.admitted) / span_s;
  const double failed = s.ended == 0 ? 0
                                     : static_cast<double>(s.failed) /
                                           static_cast<double>(s.ended);
  const response& own = response_of_rank[static_cast<std::size_t>(rank)];
  s.window_began = now;
  s.admitted = 0;
  s.ended = 0;
  s.failed = 0;
  if (failed > failed_part) {
    ++s.windows_failing;
    if (s.windows_failing < own.patience) {
      return;
    }
    const bool began = s.rate_per_s == 0;
    s.failing_rate = admitted_per_s;
    set_rate(s, admitted_per_s * std::max(own.deepest_cut, 1 - failed), now);
    if (began) {
      m_on_change(route, s.rate_per_s, failed);
    }
    return;
  }
  s.windows_failing = 0;
  if (s.rate_per_s == 0) {
    return;
  }
  if (s.rate_per_s > admitted_per_s * headroom &&
      s.rate_per_s > s.failing_rate) {
    s.rate_per_s = 0;
    m_on_change(route, 0, failed);
    return;
  }
  const bool near_failure = s.rate_per_s > s.failing_rate * careful_from &&
                            s.rate_per_s < s.failing_rate * careful_to;
  set_rate(s, s.rate_per_s * (near_failure ? own.careful_growth : quick_growth),
           now);
}

void downstream_limit::set_rate(route_state& s, double rate_per_s,
                                instant now) const {
  s.rate_per_s = std::max(least_rate_per_s, rate_per_s);
  s.bucket.resize(s.rate_per_s, std::max(1.0, s.rate_per_s * burst_s), now);
}

} // namespace kingcupslip
