// Rows of crash records, and when they are read and written.
#include "kingcupslip/core/crash_record_store.hpp"

#include "kingcupslip/core/json_field.hpp"
#include "kingcupslip/core/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view crash_prefix = "crash/";
constexpr duration retry_period = std::chrono::seconds(1);
/// Between two writes of rows that are in the table already.
constexpr duration rewrite_period = std::chrono::seconds(1);
/// While a member is out of reach: at first, and once it has been for long.
constexpr duration recent_interval = std::chrono::seconds(1);
constexpr duration lasting_interval = std::chrono::seconds(10);
constexpr duration recent_period = std::chrono::seconds(30);
/// Of one transaction.
constexpr std::size_t max_removed_rows = 50;

std::string row_key(std::uint64_t id) {
  return std::string(crash_prefix) + std::to_string(id);
}

std::string encode(const crash_record& r, const clock_reading& clock) {
  const duration age = crash_record_ttl - (r.expires - clock.now);
  const wall_time crashed_at =
      clock.wall - std::chrono::duration_cast<wall_time>(age);
  return json{{"node", r.node},
              {"partial", r.partial},
              {"digests", r.digests},
              {"crashed_at_ms", crashed_at.count()}}
      .dump();
}

/// Null if the row is no crash record. An expired one is returned too.
std::optional<crash_record> decode(const table_row& row,
                                   const clock_reading& clock) {
  if (!starts_with(row.key, crash_prefix)) {
    return std::nullopt;
  }
  const json value = parse_foreign_json(row.value);
  const json::const_iterator digests = value.find("digests");
  const std::string_view digits =
      std::string_view(row.key).substr(crash_prefix.size());
  crash_record out;
  const std::from_chars_result id =
      std::from_chars(digits.data(), digits.data() + digits.size(), out.id);
  const bool readable =
      id.ec == std::errc() && id.ptr == digits.data() + digits.size() &&
      value.is_object() && digests != value.end() && digests->is_array();
  if (!readable) {
    return std::nullopt;
  }
  for (const json& it : *digests) {
    if (!it.is_number_unsigned()) {
      return std::nullopt;
    }
    out.digests.push_back(it.get<std::uint64_t>());
  }
  out.node = text_field(value, "node");
  out.partial = bool_field(value, "partial");
  // Clocks of nodes differ; a crash in the future has just happened.
  const std::uint64_t wall_now_ms =
      static_cast<std::uint64_t>(clock.wall.count());
  const std::uint64_t crashed_at_ms =
      std::min(unsigned_field(value, "crashed_at_ms"), wall_now_ms);
  const std::chrono::milliseconds age(
      static_cast<std::int64_t>(wall_now_ms - crashed_at_ms));
  out.expires =
      age >= crash_record_ttl ? instant(0) : clock.now + crash_record_ttl - age;
  return out;
}

} // namespace

crash_record_store::crash_record_store(dependencies d,
                                       const clock_reading& clock)
    : m_dependencies(std::move(d)), m_clock(clock) {}

void crash_record_store::tick() {
  if (!m_write_pending && m_clock.now >= m_next_write_at) {
    write_next();
  }
  const duration interval = m_read_once ? read_interval() : retry_period;
  const bool never_tried = !m_read_once && m_last_read_at == instant(0);
  if (!m_read_pending &&
      (never_tried || m_clock.now - m_last_read_at >= interval)) {
    read();
  }
}

duration crash_record_store::read_interval() const {
  // The rows of records that have expired are removed by a read, too.
  duration out = crash_record_ttl;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const member_state s = it.second.state();
    if (s == member_state::suspect || s == member_state::dead) {
      const bool recent = m_clock.now - it.second.state_since < recent_period;
      out = std::min(out, recent ? recent_interval : lasting_interval);
    }
  }
  return out;
}

void crash_record_store::read() {
  m_read_pending = true;
  m_last_read_at = m_clock.now;
  m_dependencies.table.read(
      {std::string(crash_prefix), "", 10'000},
      [this](table_status status, const std::vector<table_row>& rows) {
        m_read_pending = false;
        if (status == table_status::ok) {
          m_read_once = true;
          on_rows(rows);
        }
      });
}

void crash_record_store::on_rows(const std::vector<table_row>& rows) {
  std::vector<table_row> expired;
  for (const table_row& it : rows) {
    std::optional<crash_record> r = decode(it, m_clock);
    if (!r) {
      m_dependencies.log(event_id::row_unreadable, {{"key", it.key}});
      continue;
    }
    if (r->expires <= m_clock.now) {
      expired.push_back(it);
      continue;
    }
    const std::uint64_t id = r->id;
    if (m_dependencies.records.merge(std::move(*r), m_clock.now)) {
      m_dependencies.log(event_id::crash_learned,
                         {{"crash", std::to_string(id)}, {"from", "table"}});
    }
  }
  remove_expired(expired);
}

void crash_record_store::remove_expired(const std::vector<table_row>& rows) {
  if (rows.empty()) {
    return;
  }
  table_transaction t;
  for (const table_row& it : rows) {
    if (t.size() == max_removed_rows) {
      break;
    }
    t.push_back({it.key, it.version, std::nullopt, false});
  }
  // If another node removes them first, nothing is left to do.
  m_dependencies.table.commit(t, [](table_status, std::uint64_t) {});
}

void crash_record_store::write(const crash_record& r) {
  forget_expired();
  m_own[r.id].record = r;
  tick();
}

void crash_record_store::on_shrink(const crash_record& r) {
  const auto it = m_own.find(r.id);
  if (it != m_own.end()) {
    it->second.record = r;
    it->second.written = false;
  }
}

void crash_record_store::write_next() {
  for (std::pair<const std::uint64_t, own_row>& it : m_own) {
    own_row& row = it.second;
    const bool in_table = row.version != 0 || !row.version_known;
    const bool needless = row.written ||
                          (!in_table && row.record.digests.empty()) ||
                          row.record.expires <= m_clock.now;
    if (needless || (in_table && m_clock.now < m_next_rewrite_at)) {
      continue;
    }
    row.version_known ? write(it.first) : read_version(it.first);
    return;
  }
}

void crash_record_store::write(std::uint64_t id) {
  const own_row& row = m_own.at(id);
  const std::size_t digests = row.record.digests.size();
  m_write_pending = true;
  m_dependencies.table.commit(
      {{row_key(id), row.version, encode(row.record, m_clock), false}},
      [this, id, digests](table_status status, std::uint64_t version) {
        m_write_pending = false;
        const auto it = m_own.find(id);
        if (it == m_own.end()) {
          return;
        }
        if (status == table_status::ok) {
          it->second.version = version;
          it->second.written = it->second.record.digests.size() == digests;
          m_next_rewrite_at = m_clock.now + rewrite_period;
          return;
        }
        // A conflict: an earlier attempt, whose answer was lost, was performed.
        it->second.version_known = status == table_status::unavailable;
        m_next_write_at = m_clock.now + retry_period;
      });
}

void crash_record_store::read_version(std::uint64_t id) {
  const std::string key = row_key(id);
  m_write_pending = true;
  m_dependencies.table.read(
      {key, "", 1},
      [this, id, key](table_status status, const std::vector<table_row>& rows) {
        m_write_pending = false;
        m_next_write_at = m_clock.now + retry_period;
        const auto it = m_own.find(id);
        if (status != table_status::ok || it == m_own.end()) {
          return;
        }
        const bool found = !rows.empty() && rows.front().key == key;
        it->second.version = found ? rows.front().version : 0;
        it->second.version_known = true;
        m_next_write_at = m_clock.now;
      });
}

void crash_record_store::on_table_restored() {
  forget_expired();
  for (std::pair<const std::uint64_t, own_row>& it : m_own) {
    it.second.written = false;
    it.second.version_known = false;
  }
  m_read_once = false;
}

void crash_record_store::forget_expired() {
  for (auto it = m_own.begin(); it != m_own.end();) {
    it = it->second.record.expires <= m_clock.now ? m_own.erase(it)
                                                  : std::next(it);
  }
}

} // namespace kingcupslip
