// The row of departures, and when it is read, written and removed.
#include "kingcupslip/core/departure_store.hpp"

#include "kingcupslip/core/json_field.hpp"
#include "kingcupslip/core/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view departure_prefix = "departure/";
/// A target waits one second for the answer to its announcement.
constexpr duration record_timeout = std::chrono::milliseconds(800);
/// While nothing tells which instances have departed, so that the target gets
/// no requests.
constexpr duration urgent_read_period = std::chrono::seconds(1);
/// Once another node has told it.
constexpr duration read_period = std::chrono::seconds(5);
constexpr duration write_retry_period = std::chrono::milliseconds(500);
/// Bounds the writes that a series of goodbyes causes.
constexpr duration min_write_interval = std::chrono::milliseconds(200);
/// Longer than TCP retransmits an announcement that a partition holds up.
constexpr wall_time departure_retention = std::chrono::hours(1);
constexpr duration sweep_period = std::chrono::minutes(10);
/// By then a running node has removed its expired departures itself.
constexpr wall_time row_retention =
    departure_retention + std::chrono::minutes(10);
/// Of one transaction.
constexpr std::size_t max_removed_rows = 50;
/// Of one read; more nodes than a fleet has.
constexpr std::size_t max_rows = 10'000;

std::string encode(const std::vector<departure>& departures) {
  json rows = json::array();
  for (const departure& it : departures) {
    json row{{"instance", it.instance},
             {"start_time_ms", it.start_time_ms},
             {"left_at_ms", it.left_at.count()},
             {"announced", it.announced}};
    if (it.last_sequence != every_sequence) {
      row["last_sequence"] = it.last_sequence;
    }
    rows.push_back(std::move(row));
  }
  return json{{"departures", std::move(rows)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

/// Entries that cannot be read are left out.
std::vector<departure> decode(const std::string& text, wall_time now) {
  const json value = parse_foreign_json(text);
  const json::const_iterator rows = value.find("departures");
  std::vector<departure> out;
  if (!value.is_object() || rows == value.end() || !rows->is_array()) {
    return out;
  }
  for (const json& it : *rows) {
    departure d;
    d.instance = text_field(it, "instance");
    d.start_time_ms = unsigned_field(it, "start_time_ms");
    const bool drains = it.is_object() && it.contains("last_sequence");
    d.last_sequence =
        drains ? unsigned_field(it, "last_sequence") : every_sequence;
    // Clocks of nodes differ; a departure in the future has just happened.
    d.left_at = wall_time(static_cast<wall_time::rep>(
        std::min(unsigned_field(it, "left_at_ms"),
                 static_cast<std::uint64_t>(now.count()))));
    d.announced = bool_field(it, "announced");
    if (!d.instance.empty()) {
      out.push_back(std::move(d));
    }
  }
  return out;
}

wire::target_noticeT notice_for(const departure& d) {
  wire::target_noticeT out;
  out.instance = d.instance;
  out.start_time_ms = d.start_time_ms;
  out.leaving = d.last_sequence == every_sequence;
  out.draining_sequence = out.leaving ? 0 : d.last_sequence;
  return out;
}

wall_time oldest_of(const std::vector<departure>& departures) {
  wall_time out = wall_time::max();
  for (const departure& it : departures) {
    out = std::min(out, it.left_at);
  }
  return out;
}

/// The name of the node in the key of its row.
std::string node_of(const std::string& key) {
  return key.substr(key.rfind('/') + 1);
}

} // namespace

departure_store::departure_store(dependencies d, const clock_reading& clock)
    : m_dependencies(std::move(d)), m_clock(clock),
      m_key(std::string(departure_prefix) + m_dependencies.self.data_centre +
            "/" + m_dependencies.self.node) {}

void departure_store::tick() {
  answer_waiting();
  if (m_call_pending) {
    return;
  }
  if (!m_read && m_clock.now >= m_next_read_at) {
    m_next_read_at = m_clock.now + (known() ? read_period : urgent_read_period);
    read_all_rows();
  } else if (!row_current() && m_clock.now >= m_next_write_at) {
    m_version_known ? write() : read_own_row();
  } else if (m_read && m_clock.now >= m_next_sweep_at) {
    const bool first_time = m_next_sweep_at == instant(0);
    m_next_sweep_at = m_clock.now + sweep_period;
    if (!first_time && m_dependencies.is_sweeper()) {
      sweep();
    }
  }
}

bool departure_store::row_current() const {
  return m_recorded_revision == m_dependencies.departed.revision() &&
         m_oldest_in_row >= m_clock.wall - departure_retention;
}

std::vector<departure> departure_store::kept_departures() const {
  const wall_time oldest = m_clock.wall - departure_retention;
  std::vector<departure> out;
  for (const departure& it : m_dependencies.departed.all()) {
    if (it.left_at >= oldest) {
      out.push_back(it);
    }
  }
  return out;
}

void departure_store::when_recorded(record_handler handler) {
  m_waiting.push_back({m_dependencies.departed.revision(),
                       m_clock.now + record_timeout, std::move(handler)});
  tick();
}

void departure_store::answer_waiting() {
  std::vector<std::pair<record_handler, bool>> due;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool is_recorded = it->revision <= m_recorded_revision;
    if (is_recorded || m_clock.now >= it->deadline) {
      due.emplace_back(std::move(it->handler), is_recorded);
      it = m_waiting.erase(it);
    } else {
      ++it;
    }
  }
  for (const std::pair<record_handler, bool>& it : due) {
    if (!it.second) {
      ++m_unrecorded;
      m_dependencies.log(
          event_id::departure_unrecorded,
          {{"waited_ms",
            std::to_string(record_timeout / std::chrono::milliseconds(1))}});
    }
    it.first(it.second);
  }
}

void departure_store::read_rows(const std::string& prefix,
                                std::size_t row_limit,
                                const row_handler& handler) {
  m_call_pending = true;
  m_dependencies.table.read(
      {prefix, "", row_limit},
      [this, handler](table_status status, const std::vector<table_row>& rows) {
        m_call_pending = false;
        m_read_failed = status != table_status::ok;
        if (!m_read_failed) {
          handler(rows);
        }
      });
}

std::vector<departure>
departure_store::departures_in(const table_row& row) const {
  std::vector<departure> out = decode(row.value, m_clock.wall);
  if (out.empty()) {
    m_dependencies.log(event_id::row_unreadable, {{"key", row.key}});
  }
  return out;
}

void departure_store::read_all_rows() {
  read_rows(std::string(departure_prefix), max_rows,
            [this](const std::vector<table_row>& rows) {
              const table_row* own_row = nullptr;
              for (const table_row& it : rows) {
                if (it.key == m_key) {
                  own_row = &it;
                  continue;
                }
                const std::vector<departure> d = departures_in(it);
                if (!d.empty()) {
                  // What was gossiped since the row was read is newer.
                  m_notices.emplace(node_of(it.key), notice_for(d.back()));
                }
              }
              m_read = true;
              m_complete = true;
              on_own_row(own_row);
            });
}

void departure_store::read_own_row() {
  m_next_write_at = m_clock.now + write_retry_period;
  read_rows(m_key, 1, [this](const std::vector<table_row>& rows) {
    m_next_write_at = m_clock.now;
    const bool found = !rows.empty() && rows.front().key == m_key;
    on_own_row(found ? &rows.front() : nullptr);
  });
}

void departure_store::on_own_row(const table_row* row) {
  const bool known_before = known();
  m_version = row == nullptr ? 0 : row->version;
  m_version_known = true;
  m_own_row_read = true;
  std::vector<departure> in_row;
  if (row != nullptr) {
    in_row = departures_in(*row);
  }
  for (const departure& it : in_row) {
    m_dependencies.departed.add(it);
  }
  m_oldest_in_row = oldest_of(in_row);
  const std::vector<departure> kept = kept_departures();
  const bool is_current =
      row == nullptr ? kept.empty() : row->value == encode(kept);
  if (is_current) {
    m_recorded_revision = m_dependencies.departed.revision();
  }
  if (!known_before) {
    log_known("table");
  }
  m_dependencies.on_learned();
  tick();
}

void departure_store::write() {
  const std::uint64_t revision = m_dependencies.departed.revision();
  const std::vector<departure> kept = kept_departures();
  const wall_time oldest = oldest_of(kept);
  if (kept.empty() && m_version == 0) {
    m_recorded_revision = revision;
    m_oldest_in_row = oldest;
    return;
  }
  table_write w;
  w.key = m_key;
  w.expected_version = m_version;
  if (!kept.empty()) {
    w.value = encode(kept);
  }
  const std::size_t count = kept.size();
  m_call_pending = true;
  m_dependencies.table.commit(
      {std::move(w)}, [this, revision, oldest, count](table_status status,
                                                      std::uint64_t version) {
        m_call_pending = false;
        if (status == table_status::ok) {
          m_version = count == 0 ? 0 : version;
          m_recorded_revision = revision;
          m_oldest_in_row = oldest;
          m_next_write_at = m_clock.now + min_write_interval;
          m_dependencies.log(event_id::departures_recorded,
                             {{"count", std::to_string(count)}});
          answer_waiting();
          return;
        }
        // Otherwise the row may have changed: by another process of this node,
        // or by this write.
        m_version_known = status == table_status::unavailable;
        m_next_write_at =
            m_version_known ? m_clock.now + write_retry_period : m_clock.now;
      });
}

void departure_store::sweep() {
  read_rows(std::string(departure_prefix), max_rows,
            [this](const std::vector<table_row>& rows) { remove_old(rows); });
}

void departure_store::remove_old(const std::vector<table_row>& rows) {
  const wall_time oldest = m_clock.wall - row_retention;
  table_transaction t;
  for (const table_row& it : rows) {
    const std::vector<departure> d = departures_in(it);
    // A row that cannot be read may be of a later release.
    const bool expired =
        !d.empty() &&
        std::all_of(d.begin(), d.end(), [oldest](const departure& one) {
          return one.left_at < oldest;
        });
    if (expired && it.key != m_key && t.size() < max_removed_rows) {
      t.push_back({it.key, it.version, std::nullopt, false});
    }
  }
  if (t.empty()) {
    return;
  }
  m_call_pending = true;
  // If a row has changed meanwhile, the next sweep removes the others.
  m_dependencies.table.commit(
      t, [this](table_status, std::uint64_t) { m_call_pending = false; });
}

void departure_store::on_confirmed_by_peer(const std::string& peer) {
  if (!known()) {
    m_confirmed = true;
    m_dependencies.on_learned();
    log_known(peer);
  }
}

void departure_store::on_departure_at(const std::string& node,
                                      const wire::target_noticeT& n) {
  m_notices[node] = n;
}

void departure_store::on_list(const std::string& peer,
                              const wire::departure_listT& list) {
  for (const std::unique_ptr<wire::departureT>& it : list.items) {
    if (!it->notice) {
      continue;
    }
    if (it->node == m_dependencies.self.node) {
      m_dependencies.on_own_departure(*it->notice);
    } else {
      m_notices.emplace(it->node, *it->notice);
    }
  }
  m_complete = true;
  on_confirmed_by_peer(peer);
}

std::unique_ptr<wire::departure_listT> departure_store::list() const {
  std::unique_ptr<wire::departure_listT> out =
      std::make_unique<wire::departure_listT>();
  const auto add = [&out](const std::string& node,
                          const wire::target_noticeT& n) {
    std::unique_ptr<wire::departureT> item =
        std::make_unique<wire::departureT>();
    item->node = node;
    item->notice = std::make_unique<wire::target_noticeT>(n);
    out->items.push_back(std::move(item));
  };
  for (const std::pair<const std::string, wire::target_noticeT>& it :
       m_notices) {
    add(it.first, it.second);
  }
  if (!m_dependencies.departed.all().empty()) {
    add(m_dependencies.self.node,
        notice_for(m_dependencies.departed.all().back()));
  }
  return out;
}

const wire::target_noticeT*
departure_store::notice_of(const std::string& node) const {
  const auto it = m_notices.find(node);
  return it == m_notices.end() ? nullptr : &it->second;
}

void departure_store::on_table_restored() {
  m_version_known = false;
  if (!m_dependencies.departed.all().empty()) {
    m_recorded_revision = 0;
  }
}

void departure_store::log_known(const std::string& source) const {
  m_dependencies.log(
      event_id::departures_known,
      {{"source", source},
       {"count", std::to_string(m_dependencies.departed.all().size())}});
}

} // namespace kingcupslip
