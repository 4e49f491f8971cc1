// Collects runs without an answer and decides whether a crash explains them.
#include "kingcupslip/core/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

/// An answer to an earlier request may arrive this long after the crash of its
/// target, if this process is held up.
constexpr duration max_answer_delay = std::chrono::seconds(1);
/// How long after a loss a crash is reported unless there is a sign of life.
constexpr duration report_delay = std::chrono::milliseconds(600);
/// How long after a loss its instance may be seen to have ended.
constexpr duration max_confirmation_delay = std::chrono::seconds(15);
constexpr std::size_t max_unanswered = 512;
/// Bounds the length of a log line.
constexpr std::size_t max_logged_digests = 8;

const char* name_of(instance_end e) {
  switch (e) {
  case instance_end::replaced:
    return "replaced";
  case instance_end::refused:
    return "refused";
  case instance_end::silent:
    break;
  }
  return "silent";
}

std::string join_digests(const std::vector<std::uint64_t>& digests) {
  std::string out;
  const std::size_t n = std::min(digests.size(), max_logged_digests);
  for (std::size_t i = 0; i < n; ++i) {
    out += (i == 0 ? "" : ",") + std::to_string(digests[i]);
  }
  return out;
}

} // namespace

crash_detector::crash_detector(quarantine& crash_quarantine, run_source running,
                               event_sink log)
    : m_quarantine(crash_quarantine), m_running(std::move(running)),
      m_log(std::move(log)) {}

void crash_detector::on_run_lost(const run& r, instant now) {
  if (last_broken() == nullptr) {
    m_log(event_id::target_runs_lost,
          {{"digest", std::to_string(r.digest)},
           {"running", std::to_string(m_running().size())}});
  }
  add(r, true, now);
}

void crash_detector::on_run_stopped(const run& r, instant now) {
  add(r, false, now);
}

void crash_detector::add(const run& r, bool broken, instant now) {
  if (m_unanswered.size() >= max_unanswered) {
    m_unanswered.erase(m_unanswered.begin());
  }
  m_unanswered.push_back({r, now, broken});
}

void crash_detector::on_run_answered(const run& r, instant now) {
  // Runs that ended before this one started, or long before its answer came.
  dismiss(std::max(r.started_at - duration(1), now - max_answer_delay),
          "answered_again");
}

void crash_detector::on_instance_ended(instance_end how, instant now) {
  const unanswered_run* broken = last_broken();
  if (how == instance_end::replaced) {
    // What runs there still is lost, whether a connection broke or not.
    report_crash(name_of(how), now, now);
    m_unanswered.clear();
    m_reports.clear();
    return;
  }
  if (broken != nullptr) {
    report_crash(name_of(how), broken->ended_at, now);
  }
  for (report& it : m_reports) {
    it.confirmed = true;
  }
}

void crash_detector::on_planned_end() {
  dismiss(instant::max(), "planned_end");
}

void crash_detector::tick(instant now) {
  dismiss_unconfirmed(now - max_confirmation_delay);
  const unanswered_run* broken = last_broken();
  if (broken != nullptr && broken->ended_at > m_reported_until &&
      now - broken->ended_at >= report_delay) {
    m_reported_until = broken->ended_at;
    report_crash("no_answer", broken->ended_at, now);
  }
}

const crash_detector::unanswered_run* crash_detector::last_broken() const {
  const auto it =
      std::find_if(m_unanswered.rbegin(), m_unanswered.rend(),
                   [](const unanswered_run& u) { return u.broken; });
  return it == m_unanswered.rend() ? nullptr : &*it;
}

void crash_detector::report_crash(const char* how, instant started_by,
                                  instant now) {
  std::vector<std::uint64_t> digests;
  for (const unanswered_run& it : m_unanswered) {
    digests.push_back(it.r.digest);
  }
  for (const run& it : m_running()) {
    if (it.started_at <= started_by) {
      digests.push_back(it.digest);
    }
  }
  const auto is_reported = [this](std::uint64_t d) {
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [d](const report& r) {
                         return std::find(r.digests.begin(), r.digests.end(),
                                          d) != r.digests.end();
                       });
  };
  digests.erase(std::remove_if(digests.begin(), digests.end(), is_reported),
                digests.end());
  if (digests.empty()) {
    return;
  }
  log_crash(how, digests);
  const std::uint64_t record = m_quarantine.on_crash(digests, now);
  for (const std::uint64_t d : digests) {
    if (m_quarantine.is_quarantined(d, now)) {
      m_log(event_id::request_quarantined, {{"digest", std::to_string(d)}});
    }
  }
  m_reports.push_back({record, started_by, false, std::move(digests)});
}

void crash_detector::log_crash(
    const char* how, const std::vector<std::uint64_t>& digests) const {
  m_log(event_id::target_crashed,
        {{"how", how},
         {"in_flight", std::to_string(digests.size())},
         {"digests", join_digests(digests)}});
}

void crash_detector::dismiss(instant lost_by, const char* why) {
  dismiss_if(lost_by, why, [](const report&) { return true; });
}

void crash_detector::dismiss_unconfirmed(instant lost_by) {
  dismiss_if(lost_by, "not_confirmed",
             [](const report& r) { return !r.confirmed; });
}

void crash_detector::dismiss_if(
    instant lost_by, const char* why,
    const std::function<bool(const report&)>& withdrawn) {
  const auto outlived = [lost_by](const unanswered_run& u) {
    return u.ended_at <= lost_by;
  };
  const bool any_broken = std::any_of(
      m_unanswered.begin(), m_unanswered.end(),
      [&outlived](const unanswered_run& u) { return u.broken && outlived(u); });
  m_unanswered.erase(
      std::remove_if(m_unanswered.begin(), m_unanswered.end(), outlived),
      m_unanswered.end());
  bool any_withdrawn = false;
  for (auto it = m_reports.begin(); it != m_reports.end();) {
    if (it->lost_at > lost_by || !withdrawn(*it)) {
      ++it;
      continue;
    }
    m_quarantine.withdraw(it->record);
    any_withdrawn = true;
    it = m_reports.erase(it);
  }
  if (any_broken || any_withdrawn) {
    m_log(event_id::crash_dismissed,
          {{"why", why}, {"withdrawn", any_withdrawn ? "yes" : "no"}});
  }
}

} // namespace kingcupslip
