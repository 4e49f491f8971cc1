// Virtual time: runs scheduled work in the order of its times.
#ifndef KINGCUPSLIP_TESTS_SCHEDULER_HPP
#define KINGCUPSLIP_TESTS_SCHEDULER_HPP

#include "kingcupslip/core/time.hpp"

#include <functional>
#include <map>

namespace kingcupslip {

/// Keeps the virtual time and runs work that is due, without waiting.
class scheduler {
public:
  /// Starts at 2 h, because zero means "never" in the core.
  instant now() const { return m_now; }

  void run_after(duration d, std::function<void()> work) {
    m_events.emplace(m_now + d, std::move(work));
  }

  void run_for(duration d) {
    const instant end = m_now + d;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      const auto it = m_events.begin();
      m_now = it->first;
      const std::function<void()> work = std::move(it->second);
      m_events.erase(it);
      work();
    }
    m_now = end;
  }

private:
  instant m_now = std::chrono::hours(2);
  std::multimap<instant, std::function<void()>> m_events;
};

} // namespace kingcupslip

#endif
