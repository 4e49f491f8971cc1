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
  if (m_marks.settling()) {
    apply([this] {
      m_marks.tick(m_clock.now);
      return false;
    });
  }
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
      m_cursor.version,
      [this](watch_status status, const std::vector<desired_state_item>& items,
             store_position at) { on_store_answer(status, items, at, false); });
}

void desired_state::on_store_answer(
    watch_status status, const std::vector<desired_state_item>& items,
    store_position at, bool complete) {
  m_request_pending = false;
  if (status == watch_status::unavailable) {
    on_unavailable();
    return;
  }
  if (at.timeline == 0) {
    at.timeline = m_cursor.timeline;
  }
  if (at.timeline < m_cursor.timeline) {
    // Sent before the restore and delayed.
    return;
  }
  if (m_store_unavailable) {
    m_store_unavailable = false;
    m_log(event_id::table_regained, {{"version", std::to_string(at.version)}});
  }
  m_backoff = duration(0);
  m_confirmed_at = m_clock.now;
  const bool restored = follow_timeline(at);
  if (status == watch_status::history_lost) {
    m_log(event_id::table_history_lost,
          {{"cursor", std::to_string(m_cursor.version)}});
    m_next_request_at = m_clock.now + min_backoff;
  }
  if (status == watch_status::history_lost || (restored && !complete)) {
    m_snapshot_read = false;
    m_cursor.version = 0;
    return;
  }
  apply_items(items, at, complete);
  m_cursor.version = std::max(m_cursor.version, at.version);
  m_snapshot_read = true;
}

bool desired_state::follow_timeline(store_position at) {
  const bool restored =
      m_cursor.timeline != 0 && at.timeline != m_cursor.timeline;
  if (restored) {
    m_log(event_id::table_restored,
          {{"timeline", std::to_string(at.timeline)},
           {"previous_timeline", std::to_string(m_cursor.timeline)},
           {"version", std::to_string(at.version)},
           {"cursor", std::to_string(m_cursor.version)}});
    m_cursor.version = 0;
  }
  m_cursor.timeline = at.timeline;
  if (restored && m_on_store_restored) {
    m_on_store_restored();
  }
  return restored;
}

void desired_state::apply_items(std::vector<desired_state_item> items,
                                store_position at, bool complete) {
  std::sort(items.begin(), items.end(),
            [](const desired_state_item& a, const desired_state_item& b) {
              return a.version < b.version;
            });
  apply([this, &items, at, complete] {
    bool changed = false;
    out_marks::mark_versions all_marks;
    std::map<std::string, rollout_order> orders_before;
    if (complete) {
      orders_before.swap(m_rollout_orders);
    }
    for (const desired_state_item& it : items) {
      if (it.item_kind == desired_state_item::kind::routes) {
        changed |=
            !it.removed && apply_routes({at.timeline, it.version}, it.text);
      } else if (it.item_kind == desired_state_item::kind::rollout) {
        changed |= apply_rollout_order(it, at);
      } else if (complete) {
        all_marks[it.name] = it.version;
      } else {
        m_marks.apply_change(it.name, {at.timeline, it.version}, it.removed);
      }
    }
    if (complete) {
      m_marks.apply_all(at, std::move(all_marks), m_clock.now);
      changed |= orders_before.size() != m_rollout_orders.size();
    }
    return changed;
  });
}

bool desired_state::apply_rollout_order(const desired_state_item& item,
                                        store_position at) {
  if (item.removed) {
    return m_rollout_orders.erase(item.name) > 0;
  }
  if (item.text.empty()) {
    m_log(event_id::rollout_unreadable,
          {{"service", item.name}, {"version", std::to_string(item.version)}});
    return false;
  }
  m_rollout_orders[item.name] = {
      item.name, item.text, item.time_limit, {at.timeline, item.version}};
  return true;
}

void desired_state::apply(const std::function<bool()>& change) {
  const std::set<std::string> out_before = m_marks.out();
  bool changed = change();
  if (m_marks.out() != out_before) {
    changed = true;
    m_log(event_id::data_centres_out,
          {{"sequence", std::to_string(m_marks.position().version)},
           {"out", join_with_commas(m_marks.out())}});
  }
  if (changed && m_on_change) {
    m_on_change();
  }
}

void desired_state::on_unavailable() {
  // The store may be restored while it is away. A read tells so at once; a wait
  // for changes only when it ends.
  m_snapshot_read = false;
  if (!m_store_unavailable) {
    m_store_unavailable = true;
    m_log(event_id::table_lost,
          {{"cursor", std::to_string(m_cursor.version)},
           {"age_ms", std::to_string(age() / std::chrono::milliseconds(1))}});
  }
  m_backoff = std::min(max_backoff, std::max(min_backoff, m_backoff * 2));
  const std::uint64_t jitter =
      m_random() % static_cast<std::uint64_t>(m_backoff.count());
  m_next_request_at = m_clock.now + m_backoff / 2 +
                      duration(static_cast<duration::rep>(jitter));
}

bool desired_state::apply_routes(store_position at, const std::string& text) {
  if (m_routes && text == m_routes_document) {
    m_routes_position = std::max(m_routes_position, at);
    return false;
  }
  const std::shared_ptr<const route_table> table = m_hooks.decode(text);
  if (!table) {
    m_log(event_id::config_unreadable,
          {{"version", std::to_string(at.version)}});
    return false;
  }
  if (m_routes && !(current_routes() < routes_order{table->revision(), at})) {
    m_log(event_id::config_outdated, {{"sequence", std::to_string(at.version)},
                                      {"timeline", std::to_string(at.timeline)},
                                      {"version", table->version()},
                                      {"current", m_routes->version()}});
    return false;
  }
  m_routes = table;
  m_routes_document = text;
  m_routes_position = at;
  m_log(event_id::config_applied, {{"sequence", std::to_string(at.version)},
                                   {"timeline", std::to_string(at.timeline)},
                                   {"version", table->version()}});
  return true;
}

routes_order desired_state::current_routes() const {
  return m_routes ? routes_order{m_routes->revision(), m_routes_position}
                  : routes_order{};
}

void desired_state::fill_gossip(wire::gossipT& g) const {
  const routes_order routes = current_routes();
  g.routes_revision = routes.revision;
  g.routes_timeline = routes.position.timeline;
  g.routes_version = routes.position.version;
  g.marks_timeline = m_marks.position().timeline;
  g.marks_version = m_marks.position().version;
}

void desired_state::on_gossip(const std::string& from, const wire::gossipT& g) {
  const bool behind =
      current_routes() < routes_order{g.routes_revision,
                                      {g.routes_timeline, g.routes_version}} ||
      m_marks.position() < store_position{g.marks_timeline, g.marks_version};
  if (behind) {
    pull_from(from);
  }
}

void desired_state::pull_from(const std::string& peer) {
  if (m_clock.now - m_last_pull_at < min_pull_interval) {
    return;
  }
  m_last_pull_at = m_clock.now;
  const routes_order routes = current_routes();
  wire::desired_state_pullT pull;
  pull.routes_revision = routes.revision;
  pull.routes_timeline = routes.position.timeline;
  pull.routes_version = routes.position.version;
  pull.marks_timeline = m_marks.position().timeline;
  pull.marks_version = m_marks.position().version;
  wire::payloadUnion body;
  body.Set(std::move(pull));
  m_send(peer, std::move(body));
}

void desired_state::on_pull(const std::string& from,
                            const wire::desired_state_pullT& m) {
  wire::desired_stateT state;
  const routes_order peer_routes{m.routes_revision,
                                 {m.routes_timeline, m.routes_version}};
  if (peer_routes < current_routes()) {
    state.routes_timeline = m_routes_position.timeline;
    state.routes_version = m_routes_position.version;
    state.routes = m_routes_document;
  }
  if (store_position{m.marks_timeline, m.marks_version} < m_marks.position()) {
    state.marks_timeline = m_marks.position().timeline;
    state.marks_version = m_marks.position().version;
    for (const std::pair<const std::string, std::uint64_t>& it :
         m_marks.in_store()) {
      state.data_centres_out.push_back(it.first);
      state.mark_versions.push_back(it.second);
    }
  }
  wire::payloadUnion body;
  body.Set(std::move(state));
  m_send(from, std::move(body));
}

void desired_state::on_desired_state(const wire::desired_stateT& m) {
  apply([this, &m] {
    const bool changed =
        !m.routes.empty() &&
        apply_routes({m.routes_timeline, m.routes_version}, m.routes);
    const store_position at{m.marks_timeline, m.marks_version};
    if (m_marks.position() < at) {
      out_marks::mark_versions marks;
      for (std::size_t i = 0; i < m.data_centres_out.size(); ++i) {
        marks[m.data_centres_out[i]] =
            i < m.mark_versions.size() ? m.mark_versions[i] : 0;
      }
      m_marks.apply_all(at, std::move(marks), m_clock.now);
    }
    return changed;
  });
}

} // namespace kingcupslip
