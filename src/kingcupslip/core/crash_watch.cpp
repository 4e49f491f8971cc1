// Losses, and what the target's next word makes of them.
#include "kingcupslip/core/crash_watch.hpp"

#include <string>
#include <utility>

namespace kingcupslip {

namespace {

/// Runs that a crash broke are all lost within this span.
constexpr duration loss_span = std::chrono::milliseconds(200);

} // namespace

crash_watch::crash_watch(quarantine& crashes, event_sink log)
    : m_crashes(crashes), m_log(std::move(log)) {}

void crash_watch::on_lost(std::uint64_t run, const digests_by_run& running,
                          instant now) {
  if (m_loss && now - m_loss->at > loss_span) {
    m_loss.reset();
  }
  if (!m_loss) {
    m_loss = loss{};
    m_loss->at = now;
    for (const std::pair<const std::uint64_t, std::uint64_t>& it : running) {
      m_loss->in_flight.push_back(it.second);
      m_loss->runs_left.insert(it.first);
    }
  }
  m_loss->runs_left.erase(run);
}

void crash_watch::settle(bool ended, instant now) {
  if (!m_loss) {
    return;
  }
  const bool all_lost = m_loss->runs_left.empty();
  if (ended && all_lost) {
    m_crashes.on_crash(m_loss->in_flight, now);
    m_log(event_id::target_crashed,
          {{"in_flight", std::to_string(m_loss->in_flight.size())}});
    for (const std::uint64_t digest : m_loss->in_flight) {
      if (m_crashes.condemned(digest, now)) {
        m_log(event_id::request_quarantined,
              {{"digest", std::to_string(digest)}});
      }
    }
  }
  m_loss.reset();
}

} // namespace kingcupslip
