// How much load a target's callers have to shed, and which requests it costs.
#ifndef KINGCUPSLIP_CORE_OVERLOAD_LEVEL_HPP
#define KINGCUPSLIP_CORE_OVERLOAD_LEVEL_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace kingcupslip {

/// Answers the pattern of a service below long chains of nested calls that is
/// short of room: refusing calls there wastes what their chains have done, and
/// the longest chains, not the least urgent ones, fail first.
///
/// A proportional-integral controller beside a target. The level rises while
/// more work arrives than the target completes and falls while there is room.
/// Replies carry it up the chains, so that all nodes that let callers' requests
/// in shed the same part of them, before any work is done.
///
/// Invariant: the value is between 0 and `max_level`.
class overload_level {
public:
  static constexpr double max_level = 1.5;

  /// A request for the target has arrived, whether or not there is room for it.
  void on_arrival() { ++m_arrivals; }
  void on_run_ended(duration took);

  /// Call every few milliseconds. `limit`: the concurrency of the target.
  void update(std::size_t limit, std::size_t queued, instant now);
  double value() const { return m_level; }

private:
  std::size_t m_arrivals = 0; ///< since `m_updated_at`
  double m_run_us = 0;        ///< moving average
  double m_demand = 0;        ///< places that arrivals need, as a part of all
  double m_integral = 0;      ///< of the error, in levels
  double m_level = 0;
  instant m_updated_at{0};
};

/// Part of the requests of a priority that is let in at this level. Less urgent
/// ones are shed first; none is shed altogether, as that would starve it.
double admitted_part(priority rank, double level);

/// Lets the admitted part of each route's requests in, evenly spread.
class priority_shedder {
public:
  bool admit(const std::string& route, priority rank, double level);

private:
  std::map<std::string, double> m_credits; ///< by route, below 1
};

} // namespace kingcupslip

#endif
