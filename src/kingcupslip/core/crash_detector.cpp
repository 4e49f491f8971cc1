// Collects lost runs and decides whether a crash explains them.
#include "kingcupslip/core/crash_detector.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace kingcupslip {

namespace {

/// All runs that a crash ends are lost within this time after the first one.
constexpr duration max_loss_interval = std::chrono::milliseconds(200);
/// How long after a loss its instance may be seen to have ended.
constexpr duration max_confirmation_delay = std::chrono::seconds(15);
constexpr std::size_t max_losses = 8;
/// Bounds the length of a log line.
constexpr std::size_t max_logged_digests = 8;

std::string join_digests(const crash_detector::digests_by_run& runs) {
  std::string out;
  std::size_t n = 0;
  for (const std::pair<const std::uint64_t, std::uint64_t>& it : runs) {
    if (n++ == max_logged_digests) {
      break;
    }
    out += (out.empty() ? "" : ",") + std::to_string(it.second);
  }
  return out;
}

} // namespace

crash_detector::crash_detector(quarantine& crash_quarantine, event_sink log)
    : m_quarantine(crash_quarantine), m_log(std::move(log)) {}

void crash_detector::on_run_lost(std::uint64_t run,
                                 const digests_by_run& running, instant now) {
  tick(now);
  const auto belongs = [run](const loss& l) {
    return l.remaining.count(run) != 0;
  };
  if (std::none_of(m_losses.begin(), m_losses.end(), belongs)) {
    if (m_losses.size() >= max_losses) {
      dismiss(m_losses.front(), "too_many");
      m_losses.erase(m_losses.begin());
    }
    loss l;
    l.at = now;
    l.in_flight = running;
    l.remaining = running;
    l.last_run = running.empty() ? run : running.rbegin()->first;
    m_losses.push_back(std::move(l));
  }
  on_run_stopped(run, now);
}

void crash_detector::on_run_stopped(std::uint64_t run, instant now) {
  for (loss& it : m_losses) {
    on_run_ended(it, run);
  }
  report_crashes(now);
}

void crash_detector::on_run_answered(std::uint64_t run, instant now) {
  tick(now);
  for (auto it = m_losses.begin(); it != m_losses.end();) {
    if (run > it->last_run) {
      dismiss(*it, "answered_again");
      it = m_losses.erase(it);
      continue;
    }
    // Its answer had been sent before the loss.
    if (it->remaining.count(run) != 0) {
      it->in_flight.erase(run);
      on_run_ended(*it, run);
    }
    ++it;
  }
  report_crashes(now);
}

void crash_detector::on_instance_ended(instant now) {
  for (loss& it : m_losses) {
    it.instance_ended = true;
  }
  report_crashes(now);
}

void crash_detector::on_planned_end() {
  for (const loss& it : m_losses) {
    dismiss(it, "planned_end");
  }
  m_losses.clear();
}

void crash_detector::tick(instant now) {
  for (auto it = m_losses.begin(); it != m_losses.end();) {
    const bool outlived =
        !it->remaining.empty() && now - it->at > max_loss_interval;
    if (outlived || now - it->at > max_confirmation_delay) {
      dismiss(*it, outlived ? "runs_outlived_it" : "not_confirmed");
      it = m_losses.erase(it);
      continue;
    }
    ++it;
  }
}

void crash_detector::on_run_ended(loss& l, std::uint64_t run) {
  if (l.remaining.erase(run) != 0 && l.remaining.empty()) {
    m_log(event_id::target_runs_lost,
          {{"in_flight", std::to_string(l.in_flight.size())},
           {"digests", join_digests(l.in_flight)}});
  }
}

void crash_detector::report_crashes(instant now) {
  for (auto it = m_losses.begin(); it != m_losses.end();) {
    if (!it->instance_ended || !it->remaining.empty()) {
      ++it;
      continue;
    }
    std::vector<std::uint64_t> digests;
    for (const std::pair<const std::uint64_t, std::uint64_t>& run :
         it->in_flight) {
      digests.push_back(run.second);
    }
    m_log(event_id::target_crashed,
          {{"in_flight", std::to_string(digests.size())}});
    it = m_losses.erase(it);
    m_quarantine.on_crash(digests, now);
    for (const std::uint64_t digest : digests) {
      if (m_quarantine.is_quarantined(digest, now)) {
        m_log(event_id::request_quarantined,
              {{"digest", std::to_string(digest)}});
      }
    }
  }
}

void crash_detector::dismiss(const loss& l, const char* why) {
  m_log(event_id::crash_dismissed,
        {{"why", why},
         {"remaining", std::to_string(l.remaining.size())},
         {"in_flight", std::to_string(l.in_flight.size())}});
}

} // namespace kingcupslip
