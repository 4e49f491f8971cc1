// Acquires, hands over and drops key slots.
#include "kingcupslip/core/slot_owner.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view slot_prefix = "slot/";
constexpr std::size_t slot_digits = 4;

} // namespace

std::uint32_t slot_of(std::string_view team, std::string_view key) {
  std::string text(team);
  text += '\n';
  text += key;
  return static_cast<std::uint32_t>(placement_hash(text) % slot_count);
}

std::string slot_owner::row_key(std::uint32_t slot) {
  const std::string digits = std::to_string(slot);
  return std::string(slot_prefix) +
         std::string(slot_digits - digits.size(), '0') + digits;
}

std::string slot_owner::to_json(const slot_record& r) {
  return json{{"lease", r.lease},
              {"epoch", r.epoch},
              {"complete_since_ms", r.complete_since.count()}}
      .dump();
}

slot_owner::slot_record slot_owner::parse(std::string_view json_text) {
  slot_record out;
  const json value = json::parse(json_text, nullptr, false);
  out.lease = text_field(value, "lease");
  out.epoch = unsigned_field(value, "epoch");
  out.complete_since = wall_time(
      static_cast<std::int64_t>(unsigned_field(value, "complete_since_ms")));
  return out;
}

slot_owner::slot_owner(const lease_holder& lease, table_hooks table)
    : m_lease(lease), m_table(std::move(table)) {}

const owned_slot* slot_owner::owned(std::uint32_t slot, instant now) const {
  const auto it = m_owned.find(slot);
  if (it == m_owned.end() || !m_lease.holds(now)) {
    return nullptr;
  }
  return &it->second;
}

void slot_owner::acquire(const std::vector<std::uint32_t>& wanted,
                         clock_reading t) {
  if (m_request_pending || wanted.empty() || !m_lease.holds(t.now)) {
    return;
  }
  m_request_pending = true;
  m_table.read({std::string(slot_prefix), "", slot_count},
               [this, wanted, t](table_status status,
                                 const std::vector<table_row>& rows) {
                 m_request_pending = false;
                 if (status == table_status::ok) {
                   acquire_free(rows, wanted, t);
                 }
               });
}

void slot_owner::hand_over(std::uint32_t slot, const std::string& to_lease,
                           std::uint64_t to_lease_version) {
  const auto it = m_owned.find(slot);
  if (it == m_owned.end()) {
    return;
  }
  const owned_slot ownership = it->second;
  m_owned.erase(it);
  const slot_record next{to_lease, ownership.epoch + 1,
                         ownership.complete_since};
  table_transaction writes{
      {row_key(slot), ownership.row_version, to_json(next), false}};
  if (to_lease_version != 0) {
    writes.push_back({to_lease, to_lease_version, std::nullopt, true});
  }
  m_table.commit(std::move(writes), [](table_status, std::uint64_t) {});
  if (m_on_change) {
    m_on_change();
  }
}

void slot_owner::expect_handover(std::uint32_t slot, std::uint64_t epoch,
                                 wall_time complete_since) {
  m_expected_handovers[slot] = expected_handover{epoch, complete_since};
}

void slot_owner::drop_all() {
  m_owned.clear();
  m_expected_handovers.clear();
  if (m_on_change) {
    m_on_change();
  }
}

void slot_owner::acquire_free(const std::vector<table_row>& rows,
                              const std::vector<std::uint32_t>& wanted,
                              clock_reading t) {
  for (const std::uint32_t slot : wanted) {
    if (m_owned.count(slot) != 0) {
      continue;
    }
    const std::string key = row_key(slot);
    const auto it =
        std::find_if(rows.begin(), rows.end(),
                     [&key](const table_row& row) { return row.key == key; });
    if (it == rows.end()) {
      // The slot was never owned, so its records are complete.
      write(slot, 0, slot_record{m_lease.id(), 1, wall_time(0)}, {});
      continue;
    }
    const slot_record r = parse(it->value);
    if (r.lease == m_lease.id()) {
      // A handover to this node, or an own write whose answer was lost.
      record_ownership(slot, r, it->version);
      continue;
    }
    check_owner(slot, *it, r, t);
  }
}

void slot_owner::check_owner(std::uint32_t slot, const table_row& row,
                             const slot_record& r, clock_reading t) {
  const std::string owner = r.lease;
  const std::uint64_t version = row.version;
  const slot_record next{m_lease.id(), r.epoch + 1, t.wall};
  const auto on_owner_lease = [this, slot, owner, version,
                               next](table_status status,
                                     const std::vector<table_row>& rows) {
    if (status != table_status::ok) {
      return;
    }
    const bool found = !rows.empty() && rows.front().key == owner;
    if (found && !parse_lease(rows.front().value).fenced) {
      return;
    }
    const std::uint64_t lease_version = found ? rows.front().version : 0;
    write(slot, version, next, {{owner, lease_version, std::nullopt, true}});
  };
  m_table.read({owner, "", 1}, on_owner_lease);
}

void slot_owner::write(std::uint32_t slot, std::uint64_t row_version,
                       const slot_record& next, table_transaction writes) {
  writes.push_back({m_lease.id(), m_lease.version(), std::nullopt, true});
  writes.push_back({row_key(slot), row_version, to_json(next), false});
  m_table.commit(std::move(writes), [this, slot, next](table_status status,
                                                       std::uint64_t version) {
    // After a lost answer the next `acquire` reads the row.
    if (status == table_status::ok && next.lease == m_lease.id()) {
      record_ownership(slot, next, version);
    }
  });
}

void slot_owner::record_ownership(std::uint32_t slot, const slot_record& r,
                                  std::uint64_t row_version) {
  owned_slot ownership{r.epoch, r.complete_since, row_version};
  const auto it = m_expected_handovers.find(slot);
  const bool records_received =
      it != m_expected_handovers.end() && it->second.epoch == r.epoch;
  m_expected_handovers.erase(slot);
  if (records_received) {
    ownership.complete_since = it->second.complete_since;
  }
  m_owned[slot] = ownership;
  if (m_on_change) {
    m_on_change();
  }
}

} // namespace kingcupslip
