// Lost runs at other nodes' targets, and when they count as crashes.
#include "kingcupslip/core/lost_runs.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

/// How long a node may take to record a crash.
constexpr duration max_record_delay = std::chrono::seconds(15);
/// For a record of the node, and for the reports of others, to arrive first.
constexpr duration min_report_delay = std::chrono::milliseconds(500);
constexpr std::uint64_t report_delay_spread_us = 1'000'000;
/// Clocks of two nodes run alike, but a record states its age rounded.
constexpr duration max_age_error = std::chrono::seconds(1);
constexpr std::size_t max_runs = 512;

} // namespace

lost_runs::lost_runs(quarantine& records, const member_table& members,
                     member_table::random_source random, event_sink log,
                     const clock_reading& clock)
    : m_records(records), m_members(members), m_random(std::move(random)),
      m_log(std::move(log)), m_clock(clock) {}

void lost_runs::on_run_lost(const std::string& node, std::uint64_t digest) {
  const auto it = m_members.all().find(node);
  if (it == m_members.all().end()) {
    return;
  }
  if (m_runs.size() >= max_runs) {
    m_runs.pop_front();
  }
  m_runs.push_back({node, it->second.info.incarnation, digest, m_clock.now});
}

bool lost_runs::has_ended(const lost_run& r) const {
  const auto it = m_members.all().find(r.node);
  return it == m_members.all().end() ||
         it->second.info.incarnation != r.incarnation ||
         it->second.state() == member_state::dead;
}

void lost_runs::tick() {
  while (!m_runs.empty() &&
         m_clock.now - m_runs.front().at > max_record_delay) {
    m_runs.pop_front();
  }
  for (const lost_run& it : m_runs) {
    if (m_report_at.count(it.node) == 0 && has_ended(it)) {
      const duration spread(
          static_cast<duration::rep>(m_random() % report_delay_spread_us));
      m_report_at[it.node] = m_clock.now + min_report_delay + spread;
    }
  }
  for (auto it = m_report_at.begin(); it != m_report_at.end();) {
    if (it->second > m_clock.now) {
      ++it;
      continue;
    }
    report(it->first);
    it = m_report_at.erase(it);
  }
}

void lost_runs::report(const std::string& node) {
  std::vector<std::uint64_t> digests;
  const auto is_over = [this, &node](const lost_run& r) {
    return r.node == node && has_ended(r);
  };
  for (const lost_run& it : m_runs) {
    if (is_over(it) &&
        !m_records.is_recorded(node, it.digest, it.at - max_age_error)) {
      digests.push_back(it.digest);
    }
  }
  m_runs.erase(std::remove_if(m_runs.begin(), m_runs.end(), is_over),
               m_runs.end());
  if (digests.empty()) {
    return;
  }
  m_log(event_id::target_crashed,
        {{"how", "node_ended"},
         {"beside", node},
         {"in_flight", std::to_string(digests.size())}});
  m_records.on_crash_beside(node, digests, m_clock.now);
}

} // namespace kingcupslip
