// Collects lost runs and decides whether a crash explains them.
#include "kingcupslip/core/crash_detector.hpp"

#include <string>
#include <utility>

namespace kingcupslip {

namespace {

/// All runs that a crash ends are lost within this time after the first one.
constexpr duration max_loss_interval = std::chrono::milliseconds(200);
/// Bounds the length of a log line.
constexpr std::size_t max_logged_digests = 8;

std::string join_digests(const std::vector<std::uint64_t>& digests) {
  std::string out;
  for (std::size_t i = 0; i < digests.size() && i < max_logged_digests; ++i) {
    out += (i == 0 ? "" : ",") + std::to_string(digests[i]);
  }
  return out;
}

} // namespace

crash_detector::crash_detector(quarantine& crash_quarantine, event_sink log)
    : m_quarantine(crash_quarantine), m_log(std::move(log)) {}

void crash_detector::on_run_lost(std::uint64_t run,
                                 const digests_by_run& running, instant now) {
  if (m_pending_loss && now - m_pending_loss->at > max_loss_interval) {
    dismiss("lost_again");
  }
  if (!m_pending_loss) {
    m_pending_loss = loss{};
    m_pending_loss->at = now;
    for (const std::pair<const std::uint64_t, std::uint64_t>& it : running) {
      m_pending_loss->in_flight.push_back(it.second);
      m_pending_loss->remaining_runs.insert(it.first);
    }
  }
  m_pending_loss->remaining_runs.erase(run);
  if (m_pending_loss->remaining_runs.empty()) {
    m_log(event_id::target_runs_lost,
          {{"digests", join_digests(m_pending_loss->in_flight)}});
  }
}

void crash_detector::resolve(bool instance_ended, instant now) {
  if (!m_pending_loss) {
    return;
  }
  const bool all_lost = m_pending_loss->remaining_runs.empty();
  if (instance_ended && all_lost) {
    m_quarantine.on_crash(m_pending_loss->in_flight, now);
    m_log(event_id::target_crashed,
          {{"in_flight", std::to_string(m_pending_loss->in_flight.size())}});
    for (const std::uint64_t digest : m_pending_loss->in_flight) {
      if (m_quarantine.is_quarantined(digest, now)) {
        m_log(event_id::request_quarantined,
              {{"digest", std::to_string(digest)}});
      }
    }
    m_pending_loss.reset();
    return;
  }
  dismiss(all_lost ? "same_instance" : "runs_outlived_it");
}

void crash_detector::dismiss(const char* why) {
  m_log(event_id::crash_dismissed,
        {{"why", why},
         {"remaining", std::to_string(m_pending_loss->remaining_runs.size())},
         {"in_flight", std::to_string(m_pending_loss->in_flight.size())}});
  m_pending_loss.reset();
}

} // namespace kingcupslip
