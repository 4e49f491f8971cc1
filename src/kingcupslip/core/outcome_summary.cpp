// Counting of outcomes and the lines of a second.
#include "kingcupslip/core/outcome_summary.hpp"

#include "kingcupslip/core/http_status.hpp"

namespace kingcupslip {

void outcome_summary::on_outcome(const std::string& route, bool nested,
                                 const outcome& o, duration took) {
  const std::pair<std::string, bool> key{route, nested};
  if (m_counts.size() >= max_routes && m_counts.count(key) == 0) {
    return;
  }
  counts& n = m_counts[key];
  n.time += took;
  if (o.refusal_reason != reason::none) {
    ++n.refused[static_cast<std::size_t>(o.refusal_reason)];
    ++n.refused_total;
    n.uncertain += o.execution == verdict::may_have_run ? 1 : 0;
  } else if (o.status >= http_status::internal_error) {
    ++n.failed;
    n.failed_below += o.nested_overload ? 1 : 0;
  } else {
    ++n.answered;
  }
}

void outcome_summary::tick(instant now) {
  if (now - m_period_start < period) {
    return;
  }
  m_period_start = now;
  for (const std::pair<const std::pair<std::string, bool>, counts>& it :
       m_counts) {
    if (it.second.failed + it.second.refused_total > 0) {
      write(it.first, it.second);
    }
  }
  m_counts.clear();
}

void outcome_summary::write(const std::pair<std::string, bool>& key,
                            const counts& n) const {
  const std::size_t all = n.answered + n.failed + n.refused_total;
  const duration mean = n.time / static_cast<int>(all);
  event_fields f{
      {"route", key.first},
      {"nested", key.second ? "true" : "false"},
      {"answered", std::to_string(n.answered)},
      {"failed", std::to_string(n.failed)},
      {"failed_below", std::to_string(n.failed_below)},
      {"uncertain", std::to_string(n.uncertain)},
      {"mean_ms", std::to_string(mean / std::chrono::milliseconds(1))}};
  for (std::size_t i = 0; i < n.refused.size(); ++i) {
    if (n.refused[i] > 0) {
      f.emplace_back(std::string(info_of(static_cast<reason>(i)).name),
                     std::to_string(n.refused[i]));
    }
  }
  m_log(event_id::outcomes_counted, f);
}

} // namespace kingcupslip
