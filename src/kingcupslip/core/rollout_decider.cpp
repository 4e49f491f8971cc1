// The course of a roll-out: test, switch, completion or rollback.
#include "kingcupslip/core/rollout_decider.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr duration window = std::chrono::milliseconds(500);
constexpr duration call_retry_period = std::chrono::milliseconds(500);
/// Before the time limit: requests that run at the old targets may take so
/// long, and their node has to report it.
constexpr wall_time max_switch_time = std::chrono::seconds(7);
/// The test takes at least this part of the time limit.
constexpr int min_test_part = 2;
/// The decision has to be in the table by the time limit.
constexpr wall_time decision_margin = std::chrono::milliseconds(750);
constexpr std::uint64_t min_answers = 20;
/// Of the current version's concurrency.
constexpr double min_capacity_part = 0.6;
constexpr wall_time max_time_limit = std::chrono::hours(24);

std::string row_key(const std::string& service) { return "rollout/" + service; }

} // namespace

rollout_decider::rollout_decider(rollout_order order,
                                 std::optional<rollout_phase> known_phase,
                                 dependencies d, const clock_reading& clock)
    : m_order(std::move(order)), m_phase(known_phase),
      m_dependencies(std::move(d)), m_clock(clock), m_started_at(clock.wall),
      m_deadline(clock.wall + std::min(m_order.time_limit, max_time_limit)) {}

void rollout_decider::tick() {
  if (m_phase && is_final(*m_phase)) {
    return;
  }
  if (!m_call_pending && m_clock.now >= m_next_call_at) {
    if (!m_row.is_read) {
      read_row();
    } else if (m_unwritten) {
      write_row(*m_unwritten);
    }
  }
  if (m_clock.now >= m_next_window_at) {
    m_next_window_at = m_clock.now + window;
    m_evaluator.close_window();
  }
  if (m_phase) {
    decide();
  }
}

void rollout_decider::read_row() {
  m_call_pending = true;
  m_next_call_at = m_clock.now + call_retry_period;
  const std::string key = row_key(m_order.service);
  m_dependencies.table.read(
      {key, "", 1}, [this, key, alive = std::weak_ptr<bool>(m_is_alive)](
                        table_status s, const std::vector<table_row>& rows) {
        if (alive.expired()) {
          return;
        }
        m_call_pending = false;
        if (s != table_status::ok) {
          return;
        }
        m_next_call_at = m_clock.now;
        const bool found = !rows.empty() && rows.front().key == key;
        m_row = {found ? rows.front().version : 0, true};
        if (found) {
          adopt_row(rows.front().value);
        }
        if (!m_phase && !m_unwritten) {
          m_unwritten = rollout_phase::testing;
        }
      });
}

void rollout_decider::adopt_row(const std::string& value) {
  const json row = parse_foreign_json(value);
  const bool same = text_field(row, "version") == m_order.version &&
                    unsigned_field(row, "order") == m_order.written_at.version;
  if (!same) {
    return;
  }
  m_deadline = wall_time(
      static_cast<wall_time::rep>(unsigned_field(row, "deadline_ms")));
  m_started_at = std::min(
      m_clock.wall, m_deadline - std::min(m_order.time_limit, max_time_limit));
  const std::string phase = text_field(row, "phase");
  for (const rollout_phase it :
       {rollout_phase::completed, rollout_phase::rolled_back}) {
    if (phase == name_of(it)) {
      m_unwritten.reset();
      set_phase(it);
      return;
    }
  }
  if (!m_phase) {
    set_phase(rollout_phase::testing);
  }
}

void rollout_decider::write_row(rollout_phase phase) {
  m_call_pending = true;
  m_next_call_at = m_clock.now + call_retry_period;
  table_write w;
  w.key = row_key(m_order.service);
  w.expected_version = m_row.version;
  w.value = json{{"version", m_order.version},
                 {"order", m_order.written_at.version},
                 {"deadline_ms", m_deadline.count()},
                 {"phase", name_of(phase)}}
                .dump();
  w.status = rollout_status{m_order.service, m_order.version, phase};
  m_dependencies.table.commit(
      {w}, [this, phase, alive = std::weak_ptr<bool>(m_is_alive)](
               table_status s, std::uint64_t version) {
        if (alive.expired()) {
          return;
        }
        m_call_pending = false;
        if (s == table_status::unavailable) {
          return;
        }
        if (s != table_status::ok) {
          // Another node has written, or this node's write may have succeeded.
          m_row.is_read = false;
          return;
        }
        m_row.version = version;
        m_unwritten.reset();
        set_phase(phase);
      });
}

void rollout_decider::set_phase(rollout_phase p) {
  const bool starts = !m_phase;
  if (m_phase == p || (m_phase && is_final(*m_phase))) {
    return;
  }
  m_phase = p;
  const event_id id =
      p == rollout_phase::testing     ? event_id::rollout_started
      : p == rollout_phase::switching ? event_id::rollout_switching
      : p == rollout_phase::halted    ? event_id::rollout_halted
      : p == rollout_phase::completed ? event_id::rollout_completed
                                      : event_id::rollout_rolled_back;
  m_dependencies.log(
      id, {{"service", m_order.service},
           {"version", m_order.version},
           {"order", std::to_string(m_order.written_at.version)},
           {"answers", std::to_string(m_evaluator.new_answers())},
           {"bad_answers", std::to_string(m_evaluator.new_bad_answers())},
           {"taken_over", starts && p != rollout_phase::testing ? "yes" : "no"},
           {"left_ms", std::to_string((m_deadline - m_clock.wall).count())}});
  m_dependencies.on_phase(p, m_deadline);
}

void rollout_decider::on_phase_learned(rollout_phase p) {
  if (m_phase && p <= *m_phase) {
    return;
  }
  m_phase = p;
  if (p == rollout_phase::halted) {
    m_unwritten = rollout_phase::rolled_back;
  } else if (is_final(p)) {
    m_unwritten.reset();
  }
}

void rollout_decider::decide() {
  if (*m_phase == rollout_phase::halted) {
    m_unwritten = rollout_phase::rolled_back;
    return;
  }
  if (m_withdrawn || m_order.time_limit.count() <= 0) {
    roll_back(m_withdrawn ? "order_withdrawn" : "no_time");
    return;
  }
  if (m_evaluator.is_worse()) {
    roll_back("worse_answers");
    return;
  }
  const wall_time time_limit = std::min(m_order.time_limit, max_time_limit);
  const wall_time switch_at = std::max(
      m_started_at + time_limit / min_test_part, m_deadline - max_switch_time);
  const wall_time decide_at = m_deadline - decision_margin;
  if (*m_phase == rollout_phase::testing) {
    if (m_clock.wall >= switch_at && enough_evidence() && has_capacity()) {
      set_phase(rollout_phase::switching);
    } else if (m_clock.wall >= decide_at) {
      roll_back(has_capacity() ? "too_few_answers" : "too_few_targets");
    }
    return;
  }
  const bool must_end = m_clock.wall >= decide_at && most_members_usable();
  if (!m_unwritten && (others_are_idle() || must_end)) {
    m_unwritten = rollout_phase::completed;
  }
}

void rollout_decider::roll_back(const std::string& why) {
  m_dependencies.log(event_id::rollout_rejected,
                     {{"service", m_order.service},
                      {"version", m_order.version},
                      {"why", why},
                      {"kind", m_evaluator.worse_kind()}});
  m_unwritten = rollout_phase::rolled_back;
  set_phase(rollout_phase::halted);
}

bool rollout_decider::enough_evidence() const {
  return m_evaluator.new_answers() >= min_answers;
}

bool rollout_decider::has_capacity() const {
  double of_new = 0;
  double of_others = 0;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const wire::memberT& m = it.second.info;
    if (m.service == m_order.service && m.ready && it.second.usable()) {
      (m.version == m_order.version ? of_new : of_others) += m.limit;
    }
  }
  return of_new > 0 && of_new >= min_capacity_part * of_others;
}

bool rollout_decider::others_are_idle() const {
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const wire::memberT& m = it.second.info;
    const bool is_other = m.service == m_order.service &&
                          m.version != m_order.version &&
                          it.second.state() != member_state::left;
    if (!is_other) {
      continue;
    }
    const auto report = m_reports.find(it.first);
    if (report == m_reports.end() || !report->second.idle ||
        report->second.phase != rollout_phase::switching) {
      return false;
    }
  }
  return true;
}

bool rollout_decider::most_members_usable() const {
  std::size_t present = 0;
  std::size_t usable = 0;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    present += it.second.state() != member_state::left ? 1 : 0;
    usable += it.second.usable() ? 1 : 0;
  }
  return usable * 2 > present;
}

void rollout_decider::on_evidence(const std::string& from,
                                  const wire::rollout_evidenceT& m) {
  if (m.order_version != m_order.written_at.version) {
    return;
  }
  target_report& known = m_reports[from];
  known.idle = m.idle;
  known.phase = static_cast<rollout_phase>(m.phase);
  const bool is_new = m.version == m_order.version;
  for (const std::unique_ptr<wire::rollout_answersT>& it : m.answers) {
    answer_counts now;
    now.answered = it->answered;
    now.failed = it->failed;
    std::copy_n(it->latencies.begin(),
                std::min(it->latencies.size(), now.latencies.size()),
                now.latencies.begin());
    answer_counts& before = known.answers[it->kind];
    if (now.answered < before.answered) {
      // The node has restarted.
      before = {};
    }
    answer_counts since = now;
    since.answered -= before.answered;
    since.failed -= std::min(before.failed, now.failed);
    for (std::size_t i = 0; i < now.latencies.size(); ++i) {
      since.latencies[i] -= std::min(before.latencies[i], now.latencies[i]);
    }
    before = now;
    m_evaluator.add(it->kind, is_new, since);
  }
}

} // namespace kingcupslip
