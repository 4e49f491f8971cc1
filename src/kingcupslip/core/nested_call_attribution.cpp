// Counts runs and nested calls in progress.
#include "kingcupslip/core/nested_call_attribution.hpp"

#include <algorithm>

namespace kingcupslip {

void nested_call_attribution::on_run_started(const std::string& kind) {
  if (m_kinds.size() < max_kinds || m_kinds.count(kind) != 0) {
    ++m_kinds[kind].running;
    ++m_running;
  }
}

void nested_call_attribution::on_run_ended(const std::string& kind, bool failed,
                                           instant now) {
  const auto it = m_kinds.find(kind);
  if (it == m_kinds.end() || it->second.running == 0) {
    return;
  }
  --it->second.running;
  --m_running;
  if (failed && now - m_refused_at <= max_answer_time) {
    observe(it->second, now);
  }
}

void nested_call_attribution::on_call_started(instant now) {
  ++m_calls;
  for (std::pair<const std::string, kind_state>& it : m_kinds) {
    const std::size_t others = m_running - it.second.running;
    const std::size_t excess =
        std::max(min_excess_calls, others * min_excess_percent / 100);
    if (it.second.running > 0 && m_calls >= others + excess) {
      observe(it.second, now);
    }
  }
}

void nested_call_attribution::on_call_ended() {
  m_calls -= m_calls > 0 ? 1 : 0;
}

void nested_call_attribution::observe(kind_state& k, instant now) const {
  const duration since = now - k.observed_at;
  if (k.observations > 0 && since < min_interval) {
    return;
  }
  k.observations = since > max_age ? 0 : k.observations;
  k.observations = std::min(k.observations + 1, min_observations);
  k.observed_at = now;
}

bool nested_call_attribution::makes_calls(const std::string& kind,
                                          instant now) const {
  const auto it = m_kinds.find(kind);
  return it != m_kinds.end() && it->second.observations >= min_observations &&
         now - it->second.observed_at <= max_age;
}

} // namespace kingcupslip
