// Periodic duties and the messages that belong to them.
#include "kingcupslip/core/fleet_agent.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view member_prefix = "member/";
constexpr std::string_view report_prefix = "report/";
constexpr duration gossip_period = std::chrono::seconds(1);
constexpr duration slots_period = std::chrono::seconds(1);
constexpr duration sweep_period = std::chrono::seconds(30);
constexpr duration fleet_sweep_period = std::chrono::minutes(5);
constexpr duration report_period = std::chrono::seconds(30);
constexpr duration join_retry = std::chrono::seconds(1);
/// Membership settles for this long before slots are taken.
constexpr duration settling = std::chrono::seconds(3);
constexpr duration handover_delay = std::chrono::milliseconds(300);
constexpr duration handover_patience = std::chrono::seconds(1);
constexpr std::size_t most_successors_tried = 3;
constexpr std::size_t news_per_gossip = 8;
constexpr std::size_t samples_on_difference = 16;
constexpr std::size_t suspects_per_gossip = 4;
constexpr std::size_t farewells = 8;

} // namespace

fleet_agent::fleet_agent(parts p, const clock_reading& clock)
    : m_parts(std::move(p)), m_clock(clock) {
  m_parts.slots.set_on_change([this] { m_slots_changed = true; });
  m_parts.lease.set_on_lost([this] {
    m_parts.log(event_id::lease_lost, {{"lease", m_parts.lease.id()}});
    m_parts.slots.drop_all();
    m_parts.shares.drop_all(m_clock.now);
  });
}

void fleet_agent::tick() {
  if (!m_started) {
    m_started = true;
    m_started_at = m_clock.now;
    m_report_at = m_clock.now + report_period;
  }
  if (!m_joined && m_clock.now >= m_join_at) {
    const std::uint64_t jitter = m_parts.random() % 1'000'000;
    m_join_at = m_clock.now + join_retry + duration(jitter);
    join();
  }
  m_parts.members.tick(m_clock.now);
  tell_members();
  if (m_clock.now >= m_gossip_at) {
    m_gossip_at = m_clock.now + gossip_period;
    const std::string to = m_parts.members.next_probe(m_clock.now);
    if (!to.empty()) {
      m_parts.members.on_probe_sent(to, m_clock.now);
      gossip_to(to, true, 0);
    }
  }
  m_parts.sync.tick(m_clock.now);
  m_parts.shares.tick(m_clock.now);
  tick_lease();
  tick_slots();
  if (m_slots_changed) {
    m_slots_changed = false;
    announce_slots();
  }
  tick_sweep();
  tick_report();
  tick_handover();
}

void fleet_agent::join() {
  write_member_row();
  m_parts.table.read(
      {std::string(member_prefix), "", 10'000},
      [this](table_status status, const std::vector<table_row>& rows) {
        if (status != table_status::ok) {
          return;
        }
        m_joined = m_row_written;
        for (const table_row& it : rows) {
          const json value = json::parse(it.value, nullptr, false);
          if (!value.is_object()) {
            continue;
          }
          wire::memberT m;
          m.node = value.value("node", "");
          m.data_centre = value.value("data_centre", "");
          m.address = value.value("address", "");
          m.admin_url = value.value("admin_url", "");
          m.service = value.value("service", "");
          m.incarnation = value.value("incarnation", std::uint64_t{0});
          m_parts.members.merge(m, m_clock.now);
        }
        for (const std::string& to : m_parts.members.random_peers("", 3)) {
          gossip_to(to, true, samples_on_difference);
        }
      });
}

std::string fleet_agent::member_row_key() const {
  return std::string(member_prefix) + m_parts.self.data_centre + "/" +
         m_parts.self.node;
}

void fleet_agent::write_member_row() {
  const std::string value = json{{"node", m_parts.self.node},
                                 {"data_centre", m_parts.self.data_centre},
                                 {"address", m_parts.self.address},
                                 {"admin_url", m_parts.self.admin_url},
                                 {"service", m_parts.self.service},
                                 {"incarnation", m_parts.self.incarnation}}
                                .dump();
  const std::string key = member_row_key();
  m_parts.table.read(
      {key, "", 1}, [this, key, value](table_status status,
                                       const std::vector<table_row>& rows) {
        if (status != table_status::ok) {
          return;
        }
        const bool there = !rows.empty() && rows.front().key == key;
        if (there && rows.front().value == value) {
          m_member_row_version = rows.front().version;
          m_row_written = true;
          return;
        }
        m_parts.table.commit(
            {{key, there ? rows.front().version : 0, value, false}},
            [this](table_status written, std::uint64_t version) {
              m_row_written = written == table_status::ok;
              m_member_row_version = version;
            });
      });
}

void fleet_agent::gossip_to(const std::string& node, bool answer_wanted,
                            std::size_t samples) {
  wire::gossipT g;
  g.members = m_parts.members.news(news_per_gossip);
  if (samples > 0) {
    for (std::unique_ptr<wire::memberT>& it : m_parts.members.sample(samples)) {
      g.members.push_back(std::move(it));
    }
  }
  for (const quarantine::entry& it :
       m_parts.crashes.to_tell(suspects_per_gossip, m_clock.now)) {
    std::unique_ptr<wire::suspectT> s = std::make_unique<wire::suspectT>();
    s->digest = it.digest;
    s->crashes = it.crashes;
    s->expires_in_ms = static_cast<std::uint32_t>((it.expires - m_clock.now) /
                                                  std::chrono::milliseconds(1));
    g.suspects.push_back(std::move(s));
  }
  g.config_sequence = m_parts.config.sequence();
  g.config_age_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(
      m_parts.sync.age(m_clock.now) / std::chrono::milliseconds(1),
      UINT32_MAX));
  g.member_digest = m_parts.members.digest();
  g.answer_wanted = answer_wanted;
  wire::payloadUnion body;
  body.Set(std::move(g));
  m_parts.send(node, std::move(body));
}

void fleet_agent::on_gossip(const std::string& from, const wire::gossipT& m) {
  for (const std::unique_ptr<wire::memberT>& it : m.members) {
    m_parts.members.merge(*it, m_clock.now);
  }
  m_parts.members.on_heard(from, m_clock.now);
  if (member* peer = m_parts.members.find(from)) {
    peer->config_sequence = m.config_sequence;
  }
  for (const std::unique_ptr<wire::suspectT>& it : m.suspects) {
    m_parts.crashes.merge(it->digest, it->crashes,
                          std::chrono::milliseconds(it->expires_in_ms),
                          m_clock.now);
  }
  m_parts.sync.on_gossip(from, m.config_sequence,
                         std::chrono::milliseconds(m.config_age_ms),
                         m_clock.now);
  if (m.answer_wanted) {
    const bool differs = m.member_digest != m_parts.members.digest();
    gossip_to(from, false, differs ? samples_on_difference : 0);
  }
}

void fleet_agent::on_ping(const std::string& from, const wire::pingT& m) {
  wire::pongT pong;
  pong.sent_us = m.sent_us;
  const bool promised =
      !m.lease.empty() && m_parts.sweeper.promise(m.lease, m_clock.now);
  if (promised) {
    pong.lease = m.lease;
  }
  wire::payloadUnion body;
  body.Set(std::move(pong));
  m_parts.send(from, std::move(body));
}

void fleet_agent::on_pong(const std::string& from, const wire::pongT& m) {
  m_parts.members.on_heard(from, m_clock.now);
  if (!m.lease.empty() && m.lease == m_parts.lease.id()) {
    m_parts.lease.on_heir_promise(from, instant(m.sent_us));
  }
}

void fleet_agent::on_share_hint(const wire::share_hintT& m) {
  m_parts.shares.on_hint(m.team, m_clock.now);
}

void fleet_agent::on_handover(const std::string& from,
                              const wire::slot_handoverT& m) {
  if (m_leaving) {
    // No answer: the other one turns to somebody who stays.
    return;
  }
  m_parts.owner.adopt(m);
  m_expected_slots.insert(m.slot);
  m_slots_at = m_clock.now + std::chrono::milliseconds(100);
  wire::slot_handover_doneT done;
  done.slot = m.slot;
  done.epoch = m.epoch;
  wire::payloadUnion body;
  body.Set(std::move(done));
  m_parts.send(from, std::move(body));
}

void fleet_agent::on_handover_done(const std::string& from,
                                   const wire::slot_handover_doneT& m) {
  const auto it = m_handovers.find(m.slot);
  if (it != m_handovers.end() && it->second.to_node == from) {
    m_parts.slots.hand_over(m.slot, it->second.to_lease, 0);
    m_handovers.erase(it);
  }
}

void fleet_agent::add_seed(const std::string& node,
                           const std::string& address) {
  wire::memberT m;
  m.node = node;
  m.address = address;
  m_parts.members.merge(m, m_clock.now);
}

void fleet_agent::set_ready(bool ready) {
  if (m_parts.members.self().info.ready == ready) {
    return;
  }
  m_parts.members.update_self([ready](wire::memberT& m) { m.ready = ready; },
                              m_clock.now);
  for (const std::string& to : m_parts.members.random_peers("", farewells)) {
    gossip_to(to, false, 0);
  }
}

void fleet_agent::start_handover() {
  m_leaving = true;
  for (const std::pair<const std::uint32_t, owned_slot>& it :
       m_parts.slots.all()) {
    m_parts.owner.freeze(it.first);
    handover h;
    h.since = m_clock.now;
    m_handovers[it.first] = h;
  }
  m_handover_at = m_clock.now + handover_delay;
}

bool fleet_agent::handed_over() const { return m_handovers.empty(); }

void fleet_agent::leave() {
  m_leaving = true;
  write_report();
  m_parts.shares.return_all(m_clock.now);
  m_parts.members.update_self(
      [](wire::memberT& m) {
        m.state = static_cast<std::uint8_t>(member_state::left);
        m.ready = false;
        m.slots.clear();
      },
      m_clock.now);
  for (const std::string& to : m_parts.members.random_peers("", farewells)) {
    gossip_to(to, false, 0);
  }
  if (m_row_written) {
    m_parts.table.commit(
        {{member_row_key(), m_member_row_version, std::nullopt, false}},
        [](table_status, std::uint64_t) {});
  }
}

void fleet_agent::tick_lease() {
  const bool needed = !m_leaving || !m_parts.slots.all().empty();
  if (!needed) {
    return;
  }
  const std::string heir = m_parts.members.preferred_other(
      "heir/" + m_parts.self.node, m_parts.self.data_centre);
  m_parts.lease.tick(heir, m_clock.now);
  const std::string lease =
      m_parts.lease.holds(m_clock.now) ? m_parts.lease.id() : "";
  if (m_parts.members.self().info.lease != lease) {
    m_parts.members.update_self([&lease](wire::memberT& m) { m.lease = lease; },
                                m_clock.now);
  }
}

void fleet_agent::tick_slots() {
  if (m_clock.now < m_slots_at || m_leaving) {
    return;
  }
  m_slots_at = m_clock.now + slots_period;
  if (!m_parts.lease.heir().empty()) {
    wire::pingT ping;
    ping.sent_us = m_clock.now.count();
    ping.lease = m_parts.lease.id();
    wire::payloadUnion body;
    body.Set(std::move(ping));
    m_parts.send(m_parts.lease.heir(), std::move(body));
  }
  if (m_clock.now - m_started_at < settling) {
    return;
  }
  std::vector<std::uint32_t> wanted;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    const bool expected = m_expected_slots.count(slot) != 0;
    const bool mine = m_parts.slots.all().count(slot) != 0;
    if (mine) {
      m_expected_slots.erase(slot);
      continue;
    }
    const bool preferred =
        !owner_known(slot) &&
        m_parts.members.preferred("slot/" + std::to_string(slot)) ==
            m_parts.self.node;
    if (expected || preferred) {
      wanted.push_back(slot);
    }
  }
  m_parts.slots.take(wanted, m_clock);
}

void fleet_agent::tick_sweep() {
  m_parts.sweeper.tick(m_clock.now);
  if (m_clock.now < m_sweep_at || m_leaving) {
    return;
  }
  m_sweep_at = m_clock.now + sweep_period;
  // A data centre that is lost with all its nodes has nobody to sweep it.
  const bool fleet_duty =
      m_clock.now >= m_fleet_sweep_at &&
      m_parts.members.preferred("fleet-sweeper") == m_parts.self.node;
  if (fleet_duty) {
    m_fleet_sweep_at = m_clock.now + fleet_sweep_period;
    m_parts.sweeper.sweep("", m_clock.now);
  } else if (m_parts.members.rank_in_data_centre("lease-sweeper") == 0) {
    m_parts.sweeper.sweep(m_parts.self.data_centre, m_clock.now);
  }
}

void fleet_agent::tick_report() {
  if (m_clock.now >= m_report_at) {
    const std::uint64_t jitter = m_parts.random() % 5'000'000;
    m_report_at = m_clock.now + report_period + duration(jitter);
    write_report();
  }
}

void fleet_agent::write_report() {
  const std::string rows = m_parts.counts.to_json();
  if (m_report_busy || rows == m_reported) {
    return;
  }
  m_report_busy = true;
  const std::string key = std::string(report_prefix) + m_parts.self.node + "#" +
                          std::to_string(m_parts.self.incarnation);
  m_parts.table.read({key, "", 1}, [this, key,
                                    rows](table_status status,
                                          const std::vector<table_row>& got) {
    if (status != table_status::ok) {
      m_report_busy = false;
      return;
    }
    const bool there = !got.empty() && got.front().key == key;
    m_parts.table.commit({{key, there ? got.front().version : 0, rows, false}},
                         [this, rows](table_status written, std::uint64_t) {
                           m_report_busy = false;
                           if (written == table_status::ok) {
                             m_reported = rows;
                           }
                         });
  });
}

void fleet_agent::tick_handover() {
  if (m_clock.now < m_handover_at) {
    // Whoever leaves at the same time has said so by then.
    return;
  }
  std::vector<std::uint32_t> due;
  for (const std::pair<const std::uint32_t, handover>& it : m_handovers) {
    const bool waited = m_clock.now - it.second.since > handover_patience;
    const bool finished = !m_parts.owner.busy(it.first);
    if (waited || (it.second.to_node.empty() && finished)) {
      due.push_back(it.first);
    }
  }
  for (const std::uint32_t slot : due) {
    hand_over_now(slot);
  }
}

void fleet_agent::hand_over_now(std::uint32_t slot) {
  handover& h = m_handovers[slot];
  const std::string to = successor(slot, h.tried);
  const auto held_it = m_parts.slots.all().find(slot);
  if (to.empty() || h.tried.size() >= most_successors_tried ||
      held_it == m_parts.slots.all().end()) {
    // Nobody took the memory: the slot falls free with the lease, and its
    // next owner knows that it knows nothing.
    m_handovers.erase(slot);
    return;
  }
  h.since = m_clock.now;
  h.tried.insert(to);
  h.to_node = to;
  h.to_lease = m_parts.members.find(to)->info.lease;
  wire::payloadUnion body;
  body.Set(m_parts.owner.pack(slot, held_it->second.epoch + 1,
                              held_it->second.complete_since));
  m_parts.send(to, std::move(body));
}

std::string fleet_agent::successor(std::uint32_t slot,
                                   const std::set<std::string>& tried) const {
  std::vector<std::string> able;
  for (const std::string& it : m_parts.members.usable()) {
    const member* m = m_parts.members.find(it);
    const bool staying = !m->info.lease.empty() && m->info.ready &&
                         m->state() == member_state::alive;
    if (staying && it != m_parts.self.node && tried.count(it) == 0) {
      able.push_back(it);
    }
  }
  // Spread over all that are able, so that nobody inherits everything.
  return able.empty() ? std::string() : able[slot % able.size()];
}

bool fleet_agent::owner_known(std::uint32_t slot) const {
  for (const std::pair<const std::string, member>& it : m_parts.members.all()) {
    if (!it.second.usable()) {
      continue;
    }
    for (const std::unique_ptr<wire::slot_claimT>& claim :
         it.second.info.slots) {
      if (claim->slot == slot) {
        return true;
      }
    }
  }
  return false;
}

void fleet_agent::announce_slots() {
  m_parts.members.update_self(
      [this](wire::memberT& m) {
        m.slots.clear();
        for (const std::pair<const std::uint32_t, owned_slot>& it :
             m_parts.slots.all()) {
          std::unique_ptr<wire::slot_claimT> claim =
              std::make_unique<wire::slot_claimT>();
          claim->slot = it.first;
          claim->epoch = it.second.epoch;
          m.slots.push_back(std::move(claim));
        }
      },
      m_clock.now);
  m_parts.log(event_id::slots_changed,
              {{"owned", std::to_string(m_parts.slots.all().size())}});
  for (const std::string& to : m_parts.members.random_peers("", 4)) {
    gossip_to(to, false, 0);
  }
}

void fleet_agent::tell_members() {
  for (const std::pair<const std::string, member>& it : m_parts.members.all()) {
    const auto told_it = m_told_states.find(it.first);
    const member_state s = it.second.state();
    if (told_it != m_told_states.end() && told_it->second == s) {
      continue;
    }
    m_told_states[it.first] = s;
    const event_id id = s == member_state::alive ? event_id::member_joined
                        : s == member_state::suspect
                            ? event_id::member_suspected
                            : event_id::member_gone;
    m_parts.log(id, {{"node", it.first}, {"state", std::string(name_of(s))}});
  }
}

} // namespace kingcupslip
