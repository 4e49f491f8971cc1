// Choice of test targets, and the share of requests.
#include "kingcupslip/core/rollout_exposure.hpp"

#include "kingcupslip/core/digest.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

/// Of the wall clock. Spans both full load and none.
constexpr wall_time cycle = std::chrono::seconds(2);
/// Of `max_share`; the rest is left for requests that are retried.
constexpr double used_part_of_share = 0.8;
/// Of the requests while the new version is under full load.
constexpr double max_probability = 0.5;

} // namespace

void rollout_exposure::update(std::uint64_t order,
                              const std::map<std::string, double>& new_targets,
                              double current_capacity, wall_time wall) {
  m_test_targets.clear();
  m_probability = 0;
  if (new_targets.empty() || current_capacity <= 0) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(new_targets.size());
  for (const std::pair<const std::string, double>& it : new_targets) {
    ranked.emplace_back(placement_hash(std::to_string(order) + "@" + it.first),
                        it.first);
  }
  std::sort(ranked.begin(), ranked.end());
  const double share = m_max_share * used_part_of_share;
  double capacity = 0;
  for (const std::pair<std::uint64_t, std::string>& it : ranked) {
    const double more = std::max(1.0, new_targets.at(it.second));
    if (capacity > 0 && capacity + more > share * current_capacity) {
      break;
    }
    capacity += more;
    m_test_targets.insert(it.second);
  }
  const double full_load =
      std::min(max_probability, capacity / (capacity + current_capacity));
  const double loaded_part = std::min(1.0, share / full_load);
  const double position = static_cast<double>(wall.count() % cycle.count()) /
                          static_cast<double>(cycle.count());
  m_probability = loaded_part >= 1         ? share
                  : position < loaded_part ? full_load
                                           : 0;
}

bool rollout_exposure::choose(const std::function<std::uint64_t()>& random) {
  ++m_requests;
  constexpr std::uint64_t steps = 1'000'000;
  const bool drawn =
      m_probability > 0 && static_cast<double>(random() % steps) <
                               m_probability * static_cast<double>(steps);
  const bool within_share =
      static_cast<double>(m_sent + 1) <=
      m_max_share * used_part_of_share * static_cast<double>(m_requests);
  if (!drawn || !within_share) {
    return false;
  }
  ++m_sent;
  return true;
}

} // namespace kingcupslip
