// Ownership of key slots: the idempotency keys that a node is responsible for.
#ifndef KINGCUPSLIP_CORE_SLOT_OWNER_HPP
#define KINGCUPSLIP_CORE_SLOT_OWNER_HPP

#include "kingcupslip/core/lease.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

constexpr std::uint32_t slot_count = 64;

/// The slot of a team's idempotency key; the same on every node.
std::uint32_t slot_of(std::string_view team, std::string_view key);

/// Ownership of one slot. The epoch grows with each change of owner. The nodes
/// of targets refuse calls with an older epoch than they have seen.
struct owned_slot {
  std::uint64_t epoch = 0;
  /// The owner has the records of all requests that were first sent after this
  /// time; 0 means all requests ever.
  wall_time complete_since{0};
  std::uint64_t row_version = 0;
};

/// Acquires free slots under this node's lease and hands them over. A slot row
/// names the lease of its owner. The slot is free if that lease's row is fenced
/// or gone, which the acquiring transaction checks.
class slot_owner {
public:
  slot_owner(const lease_holder& lease, table_hooks table);

  /// Null unless this node owns the slot and its lease is valid at `now`.
  const owned_slot* owned(std::uint32_t slot, instant now) const;
  const std::map<std::uint32_t, owned_slot>& all() const { return m_owned; }

  /// Tries to acquire those slots of `wanted` that are free.
  void acquire(const std::vector<std::uint32_t>& wanted, clock_reading t);

  /// Transfers a slot to another lease whose node has received its records. The
  /// slot is not owned here from this call on, whatever the table answers.
  void hand_over(std::uint32_t slot, const std::string& to_lease,
                 std::uint64_t to_lease_version);

  /// Records that a leaving owner is about to transfer the slot to this node's
  /// lease.
  void expect_handover(std::uint32_t slot, std::uint64_t epoch,
                       wall_time complete_since);

  /// Drops all slots because the lease was lost.
  void drop_all();

  void set_on_change(std::function<void()> hook) {
    m_on_change = std::move(hook);
  }

private:
  struct slot_record {
    std::string lease;
    std::uint64_t epoch = 0;
    wall_time complete_since{0};
  };
  struct expected_handover {
    std::uint64_t epoch = 0;
    wall_time complete_since{0};
  };
  static std::string to_json(const slot_record& r);
  static slot_record parse(std::string_view json_text);
  static std::string row_key(std::uint32_t slot);

  void acquire_free(const std::vector<table_row>& rows,
                    const std::vector<std::uint32_t>& wanted, clock_reading t);
  void check_owner(std::uint32_t slot, const table_row& row,
                   const slot_record& r, clock_reading t);
  void write(std::uint32_t slot, std::uint64_t row_version,
             const slot_record& next, table_transaction writes);
  void record_ownership(std::uint32_t slot, const slot_record& r,
                        std::uint64_t row_version);

  const lease_holder& m_lease;
  table_hooks m_table;
  std::function<void()> m_on_change;
  std::map<std::uint32_t, owned_slot> m_owned;
  std::map<std::uint32_t, expected_handover> m_expected_handovers;
  bool m_request_pending = false;
};

} // namespace kingcupslip

#endif
