// Virtual time: events run in order, as fast as they can.
#ifndef KINGCUPSLIP_TESTS_SCHEDULER_HPP
#define KINGCUPSLIP_TESTS_SCHEDULER_HPP

#include "kingcupslip/core/time.hpp"

#include <functional>
#include <map>

namespace kingcupslip {

class scheduler {
public:
  /// Starts well above zero, which means "never" in the core.
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
