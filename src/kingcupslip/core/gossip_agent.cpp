// Joins through the table, runs gossip rounds and announces departures.
#include "kingcupslip/core/gossip_agent.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view member_prefix = "member/";
constexpr duration gossip_period = std::chrono::seconds(1);
constexpr duration join_retry_period = std::chrono::seconds(1);
constexpr duration row_write_retry_period = std::chrono::seconds(1);
/// Spreads the nodes' writes after a restore of the table.
constexpr duration max_row_write_delay = std::chrono::seconds(2);
constexpr std::size_t updates_per_gossip = 8;
constexpr std::size_t samples_on_digest_mismatch = 16;
constexpr std::size_t crashes_per_gossip = 4;
constexpr std::size_t state_change_fanout = 8;
/// Each node passes on what it learns once, so that all know of a crash before
/// its cause comes again.
constexpr std::size_t learned_crash_fanout = 3;

std::string member_row_key(const std::string& data_centre,
                           const std::string& node) {
  return std::string(member_prefix) + data_centre + "/" + node;
}

/// Whether the text ends with a colon and a port, after a host.
bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result r =
      std::from_chars(text.data() + colon + 1, end, port);
  return r.ec == std::errc() && r.ptr == end && port != 0;
}

/// Null if no node can have written the row.
std::optional<wire::memberT> decode_member_row(const table_row& row,
                                               const clock_reading& clock) {
  const json value = parse_foreign_json(row.value);
  wire::memberT m;
  m.node = text_field(value, "node");
  m.data_centre = text_field(value, "data_centre");
  m.address = text_field(value, "address");
  m.admin_url = text_field(value, "admin_url");
  m.service = text_field(value, "service");
  m.incarnation = unsigned_field(value, "incarnation");
  const wall_time latest_start = clock.wall + max_clock_difference;
  const bool credible =
      !m.node.empty() && is_address(m.address) &&
      row.key == member_row_key(m.data_centre, m.node) &&
      m.incarnation <= static_cast<std::uint64_t>(latest_start.count());
  return credible ? std::optional<wire::memberT>(m) : std::nullopt;
}

} // namespace

gossip_agent::gossip_agent(dependencies d, const clock_reading& clock)
    : m_dependencies(std::move(d)), m_clock(clock) {}

void gossip_agent::tick() {
  if (!m_joined && m_clock.now >= m_next_join_at) {
    const std::uint64_t jitter = m_dependencies.random() % 1'000'000;
    m_next_join_at = m_clock.now + join_retry_period + duration(jitter);
    join();
  }
  if (m_joined && !m_row_written && m_clock.now >= m_next_row_write_at) {
    m_next_row_write_at = m_clock.now + row_write_retry_period;
    write_member_row();
  }
  m_dependencies.members.tick(m_clock.now);
  log_member_changes();
  if (m_clock.now < m_next_gossip_at) {
    return;
  }
  m_next_gossip_at = m_clock.now + gossip_period;
  const std::string to = m_dependencies.members.next_probe(m_clock.now);
  if (!to.empty()) {
    m_dependencies.members.on_probe_sent(to, m_clock.now);
    gossip_to(to, true, 0);
  }
  probe_dead_member();
}

void gossip_agent::on_table_restored() {
  m_row_written = false;
  const std::uint64_t jitter =
      m_dependencies.random() %
      static_cast<std::uint64_t>(max_row_write_delay.count());
  m_next_row_write_at =
      m_clock.now + duration(static_cast<duration::rep>(jitter));
}

void gossip_agent::join() {
  write_member_row();
  m_dependencies.table.read(
      {std::string(member_prefix), "", 10'000},
      [this](table_status status, const std::vector<table_row>& rows) {
        if (status != table_status::ok) {
          return;
        }
        m_joined = m_row_written;
        for (const table_row& it : rows) {
          const std::optional<wire::memberT> m = decode_member_row(it, m_clock);
          if (m) {
            m_dependencies.members.merge(*m, m_clock.now);
          } else {
            m_dependencies.log(event_id::row_unreadable, {{"key", it.key}});
          }
        }
        for (const std::string& to :
             m_dependencies.members.random_peers("", 3)) {
          gossip_to(to, true, samples_on_digest_mismatch);
        }
      });
}

std::string gossip_agent::own_row_key() const {
  return member_row_key(m_dependencies.self.data_centre,
                        m_dependencies.self.node);
}

void gossip_agent::write_member_row() {
  const std::string value =
      json{{"node", m_dependencies.self.node},
           {"data_centre", m_dependencies.self.data_centre},
           {"address", m_dependencies.self.address},
           {"admin_url", m_dependencies.self.admin_url},
           {"service", m_dependencies.self.service},
           {"incarnation", m_dependencies.self.incarnation}}
          .dump();
  const std::string key = own_row_key();
  m_dependencies.table.read(
      {key, "", 1}, [this, key, value](table_status status,
                                       const std::vector<table_row>& rows) {
        if (status != table_status::ok) {
          return;
        }
        const bool found = !rows.empty() && rows.front().key == key;
        if (found && rows.front().value == value) {
          m_member_row_version = rows.front().version;
          m_row_written = true;
          return;
        }
        m_dependencies.table.commit(
            {{key, found ? rows.front().version : 0, value, false}},
            [this](table_status written, std::uint64_t version) {
              m_row_written = written == table_status::ok;
              m_member_row_version = version;
            });
      });
}

void gossip_agent::gossip_to(const std::string& node, bool answer_wanted,
                             std::size_t samples, std::uint64_t known_crashes) {
  wire::gossipT g;
  g.members = m_dependencies.members.recent_updates(updates_per_gossip);
  if (samples > 0) {
    for (std::unique_ptr<wire::memberT>& it :
         m_dependencies.members.sample(samples)) {
      g.members.push_back(std::move(it));
    }
  }
  quarantine& crashes = m_dependencies.crash_quarantine;
  for (crash_record& it : crashes.records_to_gossip(
           crashes_per_gossip, known_crashes, m_clock.now)) {
    std::unique_ptr<wire::crashT> r = std::make_unique<wire::crashT>();
    r->id = it.id;
    r->node = it.node;
    r->partial = it.partial;
    r->digests = std::move(it.digests);
    r->expires_in_ms = static_cast<std::uint32_t>((it.expires - m_clock.now) /
                                                  std::chrono::milliseconds(1));
    g.crashes.push_back(std::move(r));
  }
  g.crashes_hash = crashes.records_hash();
  const member* receiver = m_dependencies.members.find(node);
  if (receiver != nullptr && receiver->target_notice) {
    g.known_notice =
        std::make_unique<wire::target_noticeT>(*receiver->target_notice);
  }
  m_dependencies.fill_gossip(node, g);
  g.member_digest = m_dependencies.members.digest();
  g.answer_wanted = answer_wanted;
  wire::payloadUnion body;
  body.Set(std::move(g));
  m_dependencies.send(node, std::move(body));
}

void gossip_agent::on_gossip(const std::string& from, const wire::gossipT& m) {
  for (const std::unique_ptr<wire::memberT>& it : m.members) {
    m_dependencies.members.merge(*it, m_clock.now);
  }
  m_dependencies.members.on_message_received(from, m_clock.now);
  merge_crashes(from, m);
  m_dependencies.on_peer_gossip(from, m);
  if (m.answer_wanted) {
    const bool differs = m.member_digest != m_dependencies.members.digest();
    gossip_to(from, false, differs ? samples_on_digest_mismatch : 0,
              m.crashes_hash);
  }
}

void gossip_agent::merge_crashes(const std::string& from,
                                 const wire::gossipT& m) {
  bool learned = false;
  for (const std::unique_ptr<wire::crashT>& it : m.crashes) {
    crash_record r;
    r.id = it->id;
    r.node = it->node;
    r.partial = it->partial;
    r.digests = it->digests;
    r.expires = m_clock.now + std::chrono::milliseconds(it->expires_in_ms);
    if (m_dependencies.crash_quarantine.merge(std::move(r), m_clock.now)) {
      learned = true;
      m_dependencies.log(event_id::crash_learned,
                         {{"crash", std::to_string(it->id)},
                          {"beside", it->node},
                          {"from", from}});
    }
  }
  if (learned) {
    gossip_to_random(learned_crash_fanout);
  }
}

void gossip_agent::gossip_to(const std::string& node, bool answer_wanted,
                             std::size_t samples) {
  gossip_to(node, answer_wanted, samples,
            m_dependencies.crash_quarantine.records_hash());
}

void gossip_agent::add_seed(const std::string& node,
                            const std::string& address) {
  wire::memberT m;
  m.node = node;
  m.address = address;
  m_dependencies.members.merge(m, m_clock.now);
}

void gossip_agent::set_ready(bool ready, double limit) {
  const wire::memberT& me = m_dependencies.members.self().info;
  // The load is sent with replies; the limit changes rarely.
  if (me.ready == ready && static_cast<double>(me.limit) == limit) {
    return;
  }
  const bool ready_changed = me.ready != ready;
  m_dependencies.members.update_self(
      [ready, limit](wire::memberT& m) {
        m.ready = ready;
        m.limit = static_cast<float>(limit);
      },
      m_clock.now);
  if (ready_changed) {
    gossip_to_random(state_change_fanout);
  }
}

void gossip_agent::set_service(const std::string& service) {
  if (m_dependencies.members.self().info.service == service) {
    return;
  }
  m_dependencies.members.update_self(
      [&service](wire::memberT& m) { m.service = service; }, m_clock.now);
}

void gossip_agent::set_version(const std::string& version) {
  if (m_dependencies.members.self().info.version == version) {
    return;
  }
  m_dependencies.members.update_self(
      [&version](wire::memberT& m) { m.version = version; }, m_clock.now);
}

void gossip_agent::set_departure(const wire::target_noticeT& n) {
  const std::unique_ptr<wire::target_noticeT>& known =
      m_dependencies.members.self().info.departure;
  if (known && same_departure(*known, n)) {
    return;
  }
  m_dependencies.members.update_self(
      [&n](wire::memberT& m) {
        m.departure = std::make_unique<wire::target_noticeT>(n);
      },
      m_clock.now);
  gossip_to_random(state_change_fanout);
}

void gossip_agent::on_crash_recorded() {
  gossip_to_random(state_change_fanout);
}

void gossip_agent::gossip_to_random(std::size_t max_count) {
  for (const std::string& to :
       m_dependencies.members.random_peers("", max_count)) {
    gossip_to(to, false, 0);
  }
}

void gossip_agent::leave() {
  m_dependencies.members.update_self(
      [](wire::memberT& m) {
        m.state = static_cast<std::uint8_t>(member_state::left);
        m.ready = false;
        m.slots.clear();
      },
      m_clock.now);
  gossip_to_random(state_change_fanout);
  if (m_row_written) {
    m_dependencies.table.commit(
        {{own_row_key(), m_member_row_version, std::nullopt, false}},
        [](table_status, std::uint64_t) {});
  }
}

void gossip_agent::probe_dead_member() {
  // After a partition each side considers the other dead. One answer from the
  // other side refutes that and reconnects the two.
  std::vector<std::string> dead_members;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    if (it.second.state() == member_state::dead) {
      dead_members.push_back(it.first);
    }
  }
  if (!dead_members.empty()) {
    gossip_to(dead_members[m_dependencies.random() % dead_members.size()], true,
              0);
  }
}

void gossip_agent::log_member_changes() {
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    const auto logged_it = m_logged_states.find(it.first);
    const member_state s = it.second.state();
    if (logged_it != m_logged_states.end() && logged_it->second == s) {
      continue;
    }
    m_logged_states[it.first] = s;
    const event_id id = s == member_state::alive ? event_id::member_joined
                        : s == member_state::suspect
                            ? event_id::member_suspected
                            : event_id::member_gone;
    m_dependencies.log(
        id, {{"node", it.first}, {"state", std::string(name_of(s))}});
  }
}

} // namespace kingcupslip
