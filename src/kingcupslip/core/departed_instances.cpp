// Additions to the departed instances, and which of them are forgotten.
#include "kingcupslip/core/departed_instances.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr std::size_t max_departures = 64;

} // namespace

void departed_instances::add(const std::string& instance,
                             std::uint64_t start_time_ms, bool announced) {
  departure added{instance, start_time_ms, announced};
  const auto it = std::find_if(
      m_departures.begin(), m_departures.end(),
      [&instance](const departure& d) { return d.instance == instance; });
  if (it != m_departures.end()) {
    added.start_time_ms = std::max(added.start_time_ms, it->start_time_ms);
    added.announced |= it->announced;
    m_departures.erase(it);
  }
  m_departures.push_back(added);
  if (m_departures.size() > max_departures) {
    forget_one();
  }
}

bool departed_instances::contains(const std::string& instance,
                                  std::uint64_t start_time_ms) const {
  return std::any_of(m_departures.begin(), m_departures.end(),
                     [&instance, start_time_ms](const departure& d) {
                       return d.instance == instance &&
                              start_time_ms <= d.start_time_ms;
                     });
}

void departed_instances::forget_one() {
  const auto it = std::find_if(m_departures.begin(), m_departures.end(),
                               [](const departure& d) { return !d.announced; });
  m_departures.erase(it != m_departures.end() ? it : m_departures.begin());
}

} // namespace kingcupslip
