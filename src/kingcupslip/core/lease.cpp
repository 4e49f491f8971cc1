// Renews lease rows, keeps promises of witnesses and fences ended leases.
#include "kingcupslip/core/lease.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr duration holder_silence_timeout = std::chrono::seconds(5);
constexpr duration silent_holder_read_interval = std::chrono::seconds(2);
constexpr duration write_retry_delay = std::chrono::milliseconds(1500);

} // namespace

std::string to_json(const lease_record& r) {
  return json{
      {"heir", r.witness}, {"fenced", r.fenced}, {"beat", r.write_count}}
      .dump();
}

lease_record parse_lease(std::string_view json_text) {
  lease_record out;
  const json value = json::parse(json_text, nullptr, false);
  out.witness = text_field(value, "heir");
  out.fenced = bool_field(value, "fenced");
  out.write_count = unsigned_field(value, "beat");
  return out;
}

lease_holder::lease_holder(node_identity self, table_hooks table)
    : m_self(std::move(self)), m_table(std::move(table)) {
  update_id();
}

void lease_holder::update_id() {
  m_id = std::string(lease_prefix) + m_self.data_centre + "/" + m_self.node +
         "#" + std::to_string(m_self.incarnation) + "." +
         std::to_string(m_generation);
}

void lease_holder::tick(const std::string& witness, instant now) {
  if (m_request_pending || m_released || now < m_next_write_at) {
    return;
  }
  const bool due = !m_acquired || now - m_renewed_at >= lease_renewal_period;
  if (due) {
    write(witness, now);
  }
}

bool lease_holder::holds(instant now) const {
  if (!m_acquired || m_released) {
    return false;
  }
  if (now < m_renewed_at + lease_duration) {
    return true;
  }
  return now < m_promised_until && now < m_renewed_at + outage_grace_period;
}

bool lease_holder::holds_floor(instant now) const {
  return m_acquired && !m_released && now < m_renewed_at + outage_grace_period;
}

void lease_holder::on_witness_promise(const std::string& witness,
                                      instant sent) {
  if (witness == m_witness) {
    m_promised_until =
        std::max(m_promised_until, sent + witness_promise_duration);
  }
}

void lease_holder::release() {
  if (m_acquired && !m_released) {
    m_table.commit({{m_id, m_version, std::nullopt, false}},
                   [](table_status, std::uint64_t) {});
  }
  m_released = true;
}

void lease_holder::write(const std::string& witness, instant now) {
  m_request_pending = true;
  m_pending_value = to_json(lease_record{witness, false, ++m_write_count});
  m_pending_started_at = now;
  m_next_write_at = now + write_retry_delay;
  m_table.commit(
      {{m_id, m_version, m_pending_value, false}},
      [this, witness, now](table_status status, std::uint64_t version) {
        on_written(status, version, witness, now);
      });
}

void lease_holder::on_written(table_status status, std::uint64_t version,
                              const std::string& witness, instant started_at) {
  m_request_pending = false;
  if (status == table_status::ok) {
    m_version = version;
    m_renewed_at = started_at;
    m_acquired = true;
    if (witness != m_witness) {
      // Promises of the previous witness do not bind the new one.
      m_promised_until = instant(0);
    }
    m_witness = witness;
  } else if (status != table_status::unavailable) {
    read_own_row();
  }
}

void lease_holder::read_own_row() {
  // After a lost answer or a conflict, only the row shows whether the last
  // write took effect or the lease was fenced.
  m_request_pending = true;
  m_table.read({m_id, "", 1},
               [this](table_status status, const std::vector<table_row>& rows) {
                 m_request_pending = false;
                 if (status != table_status::ok) {
                   return;
                 }
                 if (rows.empty() || rows.front().key != m_id) {
                   if (m_acquired) {
                     on_fenced();
                   }
                   return;
                 }
                 const lease_record r = parse_lease(rows.front().value);
                 if (r.fenced) {
                   on_fenced();
                   return;
                 }
                 m_version = rows.front().version;
                 if (r.witness != m_witness) {
                   m_promised_until = instant(0);
                   m_witness = r.witness;
                 }
                 if (rows.front().value == m_pending_value) {
                   m_renewed_at = m_pending_started_at;
                   m_acquired = true;
                 }
               });
}

void lease_holder::on_fenced() {
  m_acquired = false;
  m_version = 0;
  m_promised_until = instant(0);
  m_witness.clear();
  ++m_generation;
  update_id();
  if (m_on_lost) {
    m_on_lost();
  }
}

lease_sweeper::lease_sweeper(std::string self, table_hooks table)
    : m_self(std::move(self)), m_table(std::move(table)) {}

void lease_sweeper::sweep(const std::string& data_centre, instant now) {
  if (m_request_pending) {
    return;
  }
  m_request_pending = true;
  const std::string prefix = std::string(lease_prefix) + data_centre +
                             (data_centre.empty() ? "" : "/");
  m_table.read(
      {prefix, "", 10'000},
      [this, now](table_status status, const std::vector<table_row>& rows) {
        m_request_pending = false;
        if (status != table_status::ok) {
          reset_observation_times();
          return;
        }
        for (const table_row& it : rows) {
          observe_row(it, now);
        }
      });
}

bool lease_sweeper::promise_not_to_fence(const std::string& lease_id,
                                         instant now) {
  const auto it = m_observed.find(lease_id);
  if (it != m_observed.end() && it->second.fencing) {
    return false;
  }
  m_promises[lease_id] = now + witness_promise_duration + clock_drift_margin;
  m_monitored[lease_id].last_heard_at = now;
  return true;
}

void lease_sweeper::tick(instant now) {
  for (std::pair<const std::string, monitored_lease>& it : m_monitored) {
    monitored_lease& lease = it.second;
    const bool silent = now - lease.last_heard_at > holder_silence_timeout;
    if (silent && !lease.read_pending &&
        now - lease.read_at >= silent_holder_read_interval) {
      read_monitored_lease(it.first, lease, now);
    }
  }
}

void lease_sweeper::read_monitored_lease(const std::string& lease_id,
                                         monitored_lease& lease, instant now) {
  lease.read_pending = true;
  lease.read_at = now;
  m_table.read({lease_id, "", 1}, [this, lease_id,
                                   now](table_status status,
                                        const std::vector<table_row>& rows) {
    m_monitored[lease_id].read_pending = false;
    if (status != table_status::ok) {
      reset_observation_times();
      return;
    }
    const bool found = !rows.empty() && rows.front().key == lease_id;
    const bool ended = !found || parse_lease(rows.front().value).fenced;
    if (ended) {
      m_monitored.erase(lease_id);
      return;
    }
    observe_row(rows.front(), now);
  });
}

void lease_sweeper::reset_observation_times() {
  // A row that cannot be read cannot be known to be unchanged, so all waits
  // start again. `fencing` stays set, because a fencing write may still take
  // effect.
  for (std::pair<const std::string, observed_row>& it : m_observed) {
    it.second.since.reset();
  }
}

void lease_sweeper::observe_row(const table_row& row, instant now) {
  observed_row& observed = m_observed[row.key];
  if (observed.version != row.version) {
    observed = observed_row{row.version, std::nullopt, false};
    return;
  }
  if (!observed.since) {
    observed.since = now;
    return;
  }
  const lease_record r = parse_lease(row.value);
  const duration unchanged_for = now - *observed.since;
  if (r.fenced) {
    if (unchanged_for > outage_grace_period + clock_drift_margin) {
      m_table.commit({{row.key, row.version, std::nullopt, false}},
                     [](table_status, std::uint64_t) {});
      m_observed.erase(row.key);
    }
    return;
  }
  const auto promise_it = m_promises.find(row.key);
  if (promise_it != m_promises.end()) {
    if (now < promise_it->second) {
      return;
    }
    m_promises.erase(promise_it);
  }
  const bool may_fence_early = r.witness.empty() || r.witness == m_self;
  const duration wait =
      (may_fence_early ? lease_duration : outage_grace_period) +
      clock_drift_margin;
  if (unchanged_for > wait) {
    fence(row, observed);
  }
}

void lease_sweeper::fence(const table_row& row, observed_row& observed) {
  observed.fencing = true;
  const std::string key = row.key;
  const std::string value = to_json(lease_record{"", true, 0});
  m_table.commit({{key, row.version, value, false}},
                 [this, key](table_status status, std::uint64_t) {
                   const bool settled = status == table_status::ok ||
                                        status == table_status::conflict;
                   if (settled) {
                     m_observed.erase(key);
                   }
                 });
}

} // namespace kingcupslip
