// Periodic work of a node in the fleet and the messages that belong to it.
#include "kingcupslip/core/fleet_agent.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view report_prefix = "report/";
constexpr duration slot_check_period = std::chrono::seconds(1);
constexpr duration sweep_period = std::chrono::seconds(30);
constexpr duration fleet_sweep_period = std::chrono::minutes(5);
constexpr duration report_period = std::chrono::seconds(30);
/// Time after the start before slots are acquired, so that membership can
/// settle.
constexpr duration membership_settle_time = std::chrono::seconds(3);
constexpr duration handover_delay = std::chrono::milliseconds(300);
constexpr duration handover_timeout = std::chrono::seconds(1);
constexpr std::size_t max_handover_attempts = 3;
constexpr std::size_t slot_change_fanout = 4;

} // namespace

fleet_agent::fleet_agent(dependencies d, const clock_reading& clock)
    : m_dependencies(std::move(d)), m_clock(clock),
      m_gossip(make_gossip_dependencies(), clock) {
  m_dependencies.slots.set_on_change([this] { m_slots_changed = true; });
  m_dependencies.lease.set_on_lost([this] {
    m_dependencies.log(event_id::lease_lost,
                       {{"lease", m_dependencies.lease.id()}});
    m_dependencies.slots.drop_all();
    m_dependencies.shares.drop_all(m_clock.now);
  });
}

void fleet_agent::tick() {
  if (!m_started) {
    m_started = true;
    m_started_at = m_clock.now;
    m_next_report_at = m_clock.now + report_period;
  }
  m_gossip.tick();
  m_dependencies.sync.tick(m_clock.now);
  m_dependencies.shares.tick(m_clock.now);
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

gossip_agent::dependencies fleet_agent::make_gossip_dependencies() {
  gossip_agent::dependencies out{m_dependencies.self,
                                 m_dependencies.members,
                                 m_dependencies.crash_quarantine,
                                 m_dependencies.table,
                                 m_dependencies.send,
                                 m_dependencies.random,
                                 m_dependencies.log,
                                 nullptr,
                                 nullptr};
  out.fill_gossip = [this](const std::string&, wire::gossipT& g) {
    g.config_sequence = m_dependencies.config.sequence();
    g.config_age_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(
        m_dependencies.sync.age(m_clock.now) / std::chrono::milliseconds(1),
        UINT32_MAX));
  };
  out.on_peer_gossip = [this](const std::string& from, const wire::gossipT& m) {
    if (member* peer = m_dependencies.members.find(from)) {
      peer->config_sequence = m.config_sequence;
    }
    m_dependencies.sync.on_gossip(from, m.config_sequence,
                                  std::chrono::milliseconds(m.config_age_ms),
                                  m_clock.now);
  };
  return out;
}

void fleet_agent::on_ping(const std::string& from, const wire::pingT& m) {
  wire::pongT pong;
  pong.sent_us = m.sent_us;
  const bool promised =
      !m.lease.empty() &&
      m_dependencies.sweeper.promise_not_to_fence(m.lease, m_clock.now);
  if (promised) {
    pong.lease = m.lease;
  }
  wire::payloadUnion body;
  body.Set(std::move(pong));
  m_dependencies.send(from, std::move(body));
}

void fleet_agent::on_pong(const std::string& from, const wire::pongT& m) {
  m_dependencies.members.on_message_received(from, m_clock.now);
  if (!m.lease.empty() && m.lease == m_dependencies.lease.id()) {
    m_dependencies.lease.on_witness_promise(from, instant(m.sent_us));
  }
}

void fleet_agent::on_share_hint(const wire::share_hintT& m) {
  m_dependencies.shares.on_hint(m.team, m_clock.now);
}

void fleet_agent::on_handover(const std::string& from,
                              const wire::slot_handoverT& m) {
  if (m_leaving) {
    // Without an answer the sender tries a successor that is not leaving.
    return;
  }
  m_dependencies.owner.import_slot(m);
  m_expected_slots.insert(m.slot);
  m_next_slot_check_at = m_clock.now + std::chrono::milliseconds(100);
  wire::slot_handover_doneT done;
  done.slot = m.slot;
  done.epoch = m.epoch;
  wire::payloadUnion body;
  body.Set(std::move(done));
  m_dependencies.send(from, std::move(body));
}

void fleet_agent::on_handover_done(const std::string& from,
                                   const wire::slot_handover_doneT& m) {
  const auto it = m_handovers.find(m.slot);
  if (it != m_handovers.end() && it->second.to_node == from) {
    m_dependencies.slots.hand_over(m.slot, it->second.to_lease, 0);
    m_handovers.erase(it);
  }
}

void fleet_agent::start_handover() {
  m_leaving = true;
  for (const std::pair<const std::uint32_t, owned_slot>& it :
       m_dependencies.slots.all()) {
    m_dependencies.owner.freeze_slot(it.first);
    handover h;
    h.attempt_started_at = m_clock.now;
    m_handovers[it.first] = h;
  }
  m_handover_starts_at = m_clock.now + handover_delay;
}

bool fleet_agent::handover_complete() const { return m_handovers.empty(); }

void fleet_agent::leave() {
  m_leaving = true;
  write_report();
  m_dependencies.shares.return_all(m_clock.now);
  m_gossip.leave();
}

void fleet_agent::tick_lease() {
  const bool needed = !m_leaving || !m_dependencies.slots.all().empty();
  if (!needed) {
    return;
  }
  const std::string witness = m_dependencies.members.preferred_other(
      "heir/" + m_dependencies.self.node, m_dependencies.self.data_centre);
  m_dependencies.lease.tick(witness, m_clock.now);
  const std::string lease =
      m_dependencies.lease.holds(m_clock.now) ? m_dependencies.lease.id() : "";
  if (m_dependencies.members.self().info.lease != lease) {
    m_dependencies.members.update_self(
        [&lease](wire::memberT& m) { m.lease = lease; }, m_clock.now);
  }
}

void fleet_agent::tick_slots() {
  if (m_clock.now < m_next_slot_check_at || m_leaving) {
    return;
  }
  m_next_slot_check_at = m_clock.now + slot_check_period;
  if (!m_dependencies.lease.witness().empty()) {
    wire::pingT ping;
    ping.sent_us = m_clock.now.count();
    ping.lease = m_dependencies.lease.id();
    wire::payloadUnion body;
    body.Set(std::move(ping));
    m_dependencies.send(m_dependencies.lease.witness(), std::move(body));
  }
  if (m_clock.now - m_started_at < membership_settle_time) {
    return;
  }
  std::vector<std::uint32_t> wanted;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    const bool expected = m_expected_slots.count(slot) != 0;
    const bool owned = m_dependencies.slots.all().count(slot) != 0;
    if (owned) {
      m_expected_slots.erase(slot);
      continue;
    }
    const bool preferred =
        !owner_known(slot) &&
        m_dependencies.members.preferred("slot/" + std::to_string(slot)) ==
            m_dependencies.self.node;
    if (expected || preferred) {
      wanted.push_back(slot);
    }
  }
  m_dependencies.slots.acquire(wanted, m_clock);
}

void fleet_agent::tick_sweep() {
  m_dependencies.sweeper.tick(m_clock.now);
  if (m_clock.now < m_next_sweep_at || m_leaving) {
    return;
  }
  m_next_sweep_at = m_clock.now + sweep_period;
  // Covers a data centre that has lost all its nodes and cannot sweep its own
  // rows.
  const bool is_fleet_sweeper =
      m_clock.now >= m_next_fleet_sweep_at &&
      m_dependencies.members.preferred("fleet-sweeper") ==
          m_dependencies.self.node;
  if (is_fleet_sweeper) {
    m_next_fleet_sweep_at = m_clock.now + fleet_sweep_period;
    m_dependencies.sweeper.sweep("", m_clock.now);
  } else if (m_dependencies.members.rank_in_data_centre("lease-sweeper") == 0) {
    m_dependencies.sweeper.sweep(m_dependencies.self.data_centre, m_clock.now);
  }
}

void fleet_agent::tick_report() {
  if (m_clock.now >= m_next_report_at) {
    const std::uint64_t jitter = m_dependencies.random() % 5'000'000;
    m_next_report_at = m_clock.now + report_period + duration(jitter);
    write_report();
  }
}

void fleet_agent::write_report() {
  const std::string rows = m_dependencies.counts.to_json();
  if (m_report_busy || rows == m_last_written_report) {
    return;
  }
  m_report_busy = true;
  const std::string key = std::string(report_prefix) +
                          m_dependencies.self.node + "#" +
                          std::to_string(m_dependencies.self.incarnation);
  m_dependencies.table.read(
      {key, "", 1}, [this, key, rows](table_status status,
                                      const std::vector<table_row>& existing) {
        if (status != table_status::ok) {
          m_report_busy = false;
          return;
        }
        const bool found = !existing.empty() && existing.front().key == key;
        m_dependencies.table.commit(
            {{key, found ? existing.front().version : 0, rows, false}},
            [this, rows](table_status written, std::uint64_t) {
              m_report_busy = false;
              if (written == table_status::ok) {
                m_last_written_report = rows;
              }
            });
      });
}

void fleet_agent::tick_handover() {
  if (m_clock.now < m_handover_starts_at) {
    // Wait until nodes that leave at the same time have announced it.
    return;
  }
  std::vector<std::uint32_t> due;
  for (const std::pair<const std::uint32_t, handover>& it : m_handovers) {
    const bool timed_out =
        m_clock.now - it.second.attempt_started_at > handover_timeout;
    const bool finished = !m_dependencies.owner.has_running_requests(it.first);
    if (timed_out || (it.second.to_node.empty() && finished)) {
      due.push_back(it.first);
    }
  }
  for (const std::uint32_t slot : due) {
    try_next_successor(slot);
  }
}

void fleet_agent::try_next_successor(std::uint32_t slot) {
  handover& h = m_handovers[slot];
  const std::string to = successor(slot, h.tried);
  const auto slot_it = m_dependencies.slots.all().find(slot);
  if (to.empty() || h.tried.size() >= max_handover_attempts ||
      slot_it == m_dependencies.slots.all().end()) {
    // No node accepted the records. The slot becomes free with the lease, and
    // its next owner knows that its records are incomplete.
    m_handovers.erase(slot);
    return;
  }
  h.attempt_started_at = m_clock.now;
  h.tried.insert(to);
  h.to_node = to;
  h.to_lease = m_dependencies.members.find(to)->info.lease;
  wire::payloadUnion body;
  body.Set(m_dependencies.owner.export_slot(slot, slot_it->second.epoch + 1,
                                            slot_it->second.complete_since));
  m_dependencies.send(to, std::move(body));
}

std::string fleet_agent::successor(std::uint32_t slot,
                                   const std::set<std::string>& tried) const {
  std::vector<std::string> eligible;
  for (const std::string& it : m_dependencies.members.usable()) {
    const member* m = m_dependencies.members.find(it);
    const bool accepts_handover = !m->info.lease.empty() && m->info.ready &&
                                  m->state() == member_state::alive;
    if (accepts_handover && it != m_dependencies.self.node &&
        tried.count(it) == 0) {
      eligible.push_back(it);
    }
  }
  // Spreads the slots over all eligible nodes.
  return eligible.empty() ? std::string() : eligible[slot % eligible.size()];
}

bool fleet_agent::owner_known(std::uint32_t slot) const {
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
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
  m_dependencies.members.update_self(
      [this](wire::memberT& m) {
        m.slots.clear();
        for (const std::pair<const std::uint32_t, owned_slot>& it :
             m_dependencies.slots.all()) {
          std::unique_ptr<wire::slot_claimT> claim =
              std::make_unique<wire::slot_claimT>();
          claim->slot = it.first;
          claim->epoch = it.second.epoch;
          m.slots.push_back(std::move(claim));
        }
      },
      m_clock.now);
  m_dependencies.log(
      event_id::slots_changed,
      {{"owned", std::to_string(m_dependencies.slots.all().size())}});
  m_gossip.gossip_to_random(slot_change_fanout);
}

} // namespace kingcupslip
