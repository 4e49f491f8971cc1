// Watches the store for the desired state and exchanges it with other nodes.
#include "kingcupslip/core/desired_state.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration min_backoff = std::chrono::milliseconds(50);
constexpr duration max_backoff = std::chrono::milliseconds(800);
/// Minimum time between pulls, so that a change is not fetched from several
/// peers at once.
constexpr duration min_pull_interval = std::chrono::milliseconds(100);

} // namespace

desired_state::desired_state(watch_hooks hooks, message_sender send,
                             std::function<std::uint64_t()> random,
                             event_sink log, const clock_reading& clock)
    : m_hooks(std::move(hooks)), m_send(std::move(send)),
      m_random(std::move(random)), m_log(std::move(log)), m_clock(clock) {}

void desired_state::tick() {
  if (m_request_pending || m_clock.now < m_next_request_at) {
    return;
  }
  m_snapshot_read ? wait_for_changes() : read_all();
}

void desired_state::read_all() {
  m_request_pending = true;
  m_hooks.read_all(
      [this](watch_status status, const std::vector<desired_state_item>& items,
             store_position at) { on_store_answer(status, items, at, true); });
}

void desired_state::wait_for_changes() {
  m_request_pending = true;
  m_hooks.wait_for_changes(
      m_cursor,
      [this](watch_status status, const std::vector<desired_state_item>& items,
             store_position at) { on_store_answer(status, items, at, false); });
}

void desired_state::on_store_answer(
    watch_status status, const std::vector<desired_state_item>& items,
    store_position at, bool complete) {
  const std::uint64_t version = at.version;
  m_request_pending = false;
  if (status == watch_status::unavailable) {
    on_unavailable();
    return;
  }
  if (m_store_unavailable) {
    m_store_unavailable = false;
    m_log(event_id::table_regained, {{"version", std::to_string(version)}});
  }
  log_store_history(status, at);
  m_backoff = duration(0);
  m_confirmed_at = m_clock.now;
  if (status == watch_status::history_lost) {
    m_snapshot_read = false;
    return;
  }
  std::set<std::string> out =
      complete ? std::set<std::string>{} : m_data_centres_out;
  std::uint64_t new_marks_version = complete ? version : m_marks_version;
  bool changed = false;
  for (const desired_state_item& it : items) {
    if (it.item_kind == desired_state_item::kind::routes) {
      changed |= !it.removed && apply_routes(it.version, it.text);
      continue;
    }
    if (it.removed) {
      out.erase(it.name);
    } else {
      out.insert(it.name);
    }
    new_marks_version = std::max(new_marks_version, it.version);
  }
  changed |= apply_marks(new_marks_version, std::move(out));
  m_cursor = std::max(m_cursor, version);
  m_snapshot_read = true;
  if (changed && m_on_change) {
    m_on_change();
  }
}

void desired_state::log_store_history(watch_status status, store_position at) {
  if (m_timeline != 0 && at.timeline != m_timeline) {
    m_log(event_id::table_restored,
          {{"timeline", std::to_string(at.timeline)},
           {"previous_timeline", std::to_string(m_timeline)},
           {"version", std::to_string(at.version)},
           {"cursor", std::to_string(m_cursor)}});
  }
  m_timeline = at.timeline;
  if (status == watch_status::history_lost) {
    m_log(event_id::table_history_lost, {{"cursor", std::to_string(m_cursor)}});
  }
}

void desired_state::on_unavailable() {
  if (!m_store_unavailable) {
    m_store_unavailable = true;
    m_log(event_id::table_lost,
          {{"cursor", std::to_string(m_cursor)},
           {"age_ms", std::to_string(age() / std::chrono::milliseconds(1))}});
  }
  m_backoff = std::min(max_backoff, std::max(min_backoff, m_backoff * 2));
  const std::uint64_t jitter =
      m_random() % static_cast<std::uint64_t>(m_backoff.count());
  m_next_request_at = m_clock.now + m_backoff / 2 +
                      duration(static_cast<duration::rep>(jitter));
}

bool desired_state::apply_routes(std::uint64_t version,
                                 const std::string& text) {
  if (version <= m_routes_version) {
    if (version < m_routes_version) {
      m_log(event_id::config_outdated,
            {{"sequence", std::to_string(version)},
             {"current", std::to_string(m_routes_version)},
             {"timeline", std::to_string(m_timeline)}});
    }
    return false;
  }
  const std::shared_ptr<const route_table> table = m_hooks.decode(text);
  if (!table) {
    m_log(event_id::config_unreadable, {{"version", std::to_string(version)}});
    return false;
  }
  m_routes = table;
  m_routes_document = text;
  m_routes_version = version;
  m_log(event_id::config_applied,
        {{"sequence", std::to_string(version)}, {"version", table->version()}});
  return true;
}

bool desired_state::apply_marks(std::uint64_t version,
                                std::set<std::string> out) {
  if (version <= m_marks_version) {
    return false;
  }
  m_marks_version = version;
  if (out == m_data_centres_out) {
    return false;
  }
  m_data_centres_out = std::move(out);
  m_log(event_id::data_centres_out,
        {{"sequence", std::to_string(version)},
         {"out", join_with_commas(m_data_centres_out)}});
  return true;
}

void desired_state::fill_gossip(wire::gossipT& g) const {
  g.routes_version = m_routes_version;
  g.marks_version = m_marks_version;
}

void desired_state::on_gossip(const std::string& from, const wire::gossipT& g) {
  const bool behind =
      g.routes_version > m_routes_version || g.marks_version > m_marks_version;
  if (!behind || m_clock.now - m_last_pull_at < min_pull_interval) {
    return;
  }
  m_last_pull_at = m_clock.now;
  wire::desired_state_pullT pull;
  pull.routes_version = m_routes_version;
  pull.marks_version = m_marks_version;
  wire::payloadUnion body;
  body.Set(std::move(pull));
  m_send(from, std::move(body));
}

void desired_state::on_pull(const std::string& from,
                            const wire::desired_state_pullT& m) {
  wire::desired_stateT state;
  if (m_routes_version > m.routes_version) {
    state.routes_version = m_routes_version;
    state.routes = m_routes_document;
  }
  if (m_marks_version > m.marks_version) {
    state.marks_version = m_marks_version;
    state.data_centres_out.assign(m_data_centres_out.begin(),
                                  m_data_centres_out.end());
  }
  wire::payloadUnion body;
  body.Set(std::move(state));
  m_send(from, std::move(body));
}

void desired_state::on_desired_state(const wire::desired_stateT& m) {
  bool changed = apply_routes(m.routes_version, m.routes);
  changed |= apply_marks(m.marks_version,
                         std::set<std::string>(m.data_centres_out.begin(),
                                               m.data_centres_out.end()));
  if (changed && m_on_change) {
    m_on_change();
  }
}

} // namespace kingcupslip
