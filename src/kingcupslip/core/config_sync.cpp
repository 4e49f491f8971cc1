// Polls the table for configuration and exchanges it with other nodes.
#include "kingcupslip/core/config_sync.hpp"

#include "kingcupslip/core/config_rows.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::size_t readers_per_data_centre = 2;
constexpr duration reader_poll_period = std::chrono::milliseconds(500);
/// A node whose configuration was last confirmed longer ago than this polls the
/// table itself.
constexpr duration stale_after = std::chrono::seconds(10);
constexpr duration fallback_poll_period = std::chrono::seconds(20);
constexpr duration min_pull_interval = std::chrono::milliseconds(200);
constexpr std::size_t push_fanout = 4;
constexpr std::size_t max_log_rows_per_read = 2000;

duration jittered(duration d, const member_table::random_source& random) {
  const std::uint64_t span = static_cast<std::uint64_t>(d.count());
  return duration(
      static_cast<duration::rep>(span * 3 / 4 + random() % (span / 2 + 1)));
}

} // namespace

config_sync::config_sync(configuration& config, member_table& members,
                         table_hooks table, message_sender send,
                         member_table::random_source random)
    : m_config(config), m_members(members), m_table(std::move(table)),
      m_send(std::move(send)), m_random(std::move(random)) {}

void config_sync::tick(instant now) {
  m_now = now;
  if (m_request_pending || now < m_next_poll_at) {
    return;
  }
  const bool stale = !m_ready || age(now) > stale_after;
  if (is_reader() || stale) {
    const duration next =
        is_reader() || !m_ready ? reader_poll_period : fallback_poll_period;
    m_next_poll_at = now + jittered(next, m_random);
    poll(now);
  }
  if (!m_ready) {
    for (const std::string& it : m_members.random_peers("", 2)) {
      wire::payloadUnion body;
      body.Set(wire::config_pullT{});
      m_send(it, std::move(body));
    }
  }
}

void config_sync::on_gossip(const std::string& from, std::uint64_t sequence,
                            duration age, instant now) {
  m_now = now;
  if (sequence <= m_config.sequence()) {
    confirm(sequence, now - age);
    return;
  }
  if (now < m_next_pull_at) {
    return;
  }
  m_next_pull_at = now + min_pull_interval;
  wire::config_pullT pull;
  pull.since = m_config.sequence();
  wire::payloadUnion body;
  body.Set(std::move(pull));
  m_send(from, std::move(body));
}

void config_sync::on_pull(const std::string& from, const wire::config_pullT& m,
                          instant now) {
  if (!m_ready) {
    return;
  }
  const std::vector<config_item> items = m_config.items_after(m.since);
  wire::config_deltaT delta;
  delta.since = m.since;
  delta.through = m_config.sequence();
  delta.age_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(
      age(now) / std::chrono::milliseconds(1), UINT32_MAX));
  for (const config_item& it : items) {
    std::unique_ptr<wire::config_itemT> item =
        std::make_unique<wire::config_itemT>();
    item->key = it.key;
    item->value = it.value;
    item->sequence = it.sequence;
    delta.items.push_back(std::move(item));
  }
  wire::payloadUnion body;
  body.Set(std::move(delta));
  m_send(from, std::move(body));
}

void config_sync::on_delta(const std::string& from,
                           const wire::config_deltaT& m, instant now) {
  m_now = now;
  if (m.since > m_config.sequence()) {
    on_gossip(from, m.through, duration::max() / 4, now);
    return;
  }
  std::vector<config_item> items;
  for (const std::unique_ptr<wire::config_itemT>& it : m.items) {
    items.push_back({it->key, it->value, it->sequence});
  }
  apply_items(items, m.since, m.through,
              now - std::chrono::milliseconds(m.age_ms));
}

void config_sync::on_written(const config_item& item, instant now) {
  m_now = now;
  const std::uint64_t previous_sequence = item.sequence - 1;
  if (m_config.sequence() >= previous_sequence) {
    apply_items({item}, previous_sequence, item.sequence, now);
    // Other data centres receive the change before their readers' next poll.
    push(previous_sequence);
  } else {
    m_next_poll_at = now;
  }
}

duration config_sync::age(instant now) const {
  return m_ready ? now - m_confirmed_at : duration::max() / 4;
}

bool config_sync::is_reader() const {
  return m_members.rank_in_data_centre("config-reader") <
         readers_per_data_centre;
}

void config_sync::poll(instant now) {
  m_request_pending = true;
  m_table.read(
      {std::string(config_head_key), "", 1},
      [this, now](table_status status, const std::vector<table_row>& rows) {
        m_request_pending = false;
        if (status != table_status::ok) {
          return;
        }
        const std::uint64_t last =
            rows.empty() ? 0 : parse_head(rows.front().value);
        if (last <= m_config.sequence()) {
          // A stale read may return an older head; it changes nothing.
          confirm(last, now);
          m_ready = true;
          return;
        }
        const bool needs_full_read =
            !m_ready || last - m_config.sequence() > config_log_length;
        if (needs_full_read) {
          read_items(last, now);
        } else {
          read_log(last, now);
        }
      });
}

void config_sync::read_log(std::uint64_t through, instant read_started_at) {
  m_request_pending = true;
  const std::uint64_t since = m_config.sequence();
  m_table.read({std::string(config_log_prefix), config_log_key(since),
                max_log_rows_per_read},
               [this, since, through, read_started_at](
                   table_status status, const std::vector<table_row>& rows) {
                 m_request_pending = false;
                 if (status != table_status::ok) {
                   return;
                 }
                 std::vector<config_item> items;
                 std::uint64_t last = since;
                 for (const table_row& it : rows) {
                   const config_change c = parse_change(it.value);
                   if (c.item.sequence != last + 1) {
                     break;
                   }
                   last = c.item.sequence;
                   items.push_back(c.item);
                 }
                 const instant as_of =
                     last >= through ? read_started_at : instant(0);
                 apply_items(items, since, last, as_of);
               });
}

void config_sync::read_items(std::uint64_t through, instant read_started_at) {
  m_request_pending = true;
  m_table.read({std::string(config_item_prefix), "", 100'000},
               [this, through, read_started_at](
                   table_status status, const std::vector<table_row>& rows) {
                 m_request_pending = false;
                 if (status != table_status::ok) {
                   return;
                 }
                 std::vector<config_item> items;
                 items.reserve(rows.size());
                 for (const table_row& it : rows) {
                   items.push_back(parse_change(it.value).item);
                 }
                 apply_items(items, 0, through, read_started_at);
               });
}

void config_sync::apply_items(const std::vector<config_item>& items,
                              std::uint64_t since, std::uint64_t through,
                              instant as_of) {
  const std::uint64_t previous_sequence = m_config.sequence();
  if (!m_config.apply(items, since, through)) {
    return;
  }
  m_ready = true;
  confirm(through, as_of);
  if (m_config.sequence() > previous_sequence && previous_sequence > 0) {
    push(previous_sequence);
  }
}

void config_sync::push(std::uint64_t since) {
  std::vector<std::string> to =
      m_members.random_peers(m_members.self().info.data_centre, push_fanout);
  const std::vector<std::string> global_peers =
      m_members.random_peers("", push_fanout);
  to.insert(to.end(), global_peers.begin(), global_peers.end());
  std::sort(to.begin(), to.end());
  to.erase(std::unique(to.begin(), to.end()), to.end());
  wire::config_pullT synthetic_pull;
  synthetic_pull.since = since;
  for (const std::string& it : to) {
    on_pull(it, synthetic_pull, m_now);
  }
}

void config_sync::confirm(std::uint64_t sequence, instant as_of) {
  if (sequence == m_config.sequence()) {
    m_confirmed_at = std::max(m_confirmed_at, as_of);
  }
}

} // namespace kingcupslip
