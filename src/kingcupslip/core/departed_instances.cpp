// Additions to the departed instances, and which of them are forgotten.
#include "kingcupslip/core/departed_instances.hpp"

#include <algorithm>
#include <tuple>

namespace kingcupslip {

namespace {

constexpr std::size_t max_departures = 64;

/// Of two departures of a name, the greater one covers more announcements.
std::tuple<std::uint64_t, std::uint64_t> coverage_of(const departure& d) {
  return {d.start_time_ms, d.last_sequence};
}

} // namespace

void departed_instances::add(const departure& d) {
  const auto it = std::find_if(
      m_departures.begin(), m_departures.end(),
      [&d](const departure& known) { return known.instance == d.instance; });
  departure added = d;
  if (it != m_departures.end()) {
    if (coverage_of(d) <= coverage_of(*it)) {
      it->announced |= d.announced;
      return;
    }
    added.announced |= it->announced;
    m_departures.erase(it);
  }
  m_departures.push_back(added);
  ++m_revision;
  if (m_departures.size() > max_departures) {
    forget_one();
  }
}

bool departed_instances::contains(const std::string& instance,
                                  std::uint64_t start_time_ms,
                                  std::uint64_t sequence) const {
  return std::any_of(
      m_departures.begin(), m_departures.end(),
      [&instance, start_time_ms, sequence](const departure& d) {
        const bool covers_sequence =
            d.last_sequence == every_sequence ||
            (sequence != 0 && sequence <= d.last_sequence);
        return d.instance == instance &&
               (start_time_ms < d.start_time_ms ||
                (start_time_ms == d.start_time_ms && covers_sequence));
      });
}

void departed_instances::forget_one() {
  const auto it = std::find_if(m_departures.begin(), m_departures.end(),
                               [](const departure& d) { return !d.announced; });
  m_departures.erase(it != m_departures.end() ? it : m_departures.begin());
}

} // namespace kingcupslip
