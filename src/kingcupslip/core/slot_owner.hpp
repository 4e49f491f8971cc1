// Which idempotency keys this node answers for: ownership of key slots.
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

/// Ownership of one slot. Epochs only grow; targets' nodes refuse calls of
/// an older epoch than they have seen.
struct owned_slot {
  std::uint64_t epoch = 0;
  /// The memory holds all requests first sent after this; 0 for all ever.
  wall_time complete_since{0};
  std::uint64_t row_version = 0;
};

/// Takes slots that nobody owns, under this node's lease, and gives them
/// back. A slot row names its owner's lease; it is free once that lease's
/// row is fenced or gone, which the taking transaction checks.
class slot_owner {
public:
  slot_owner(const lease_holder& lease, table_hooks table);

  /// Null unless this node owns the slot and its lease holds right now.
  const owned_slot* owned(std::uint32_t slot, instant now) const;
  const std::map<std::uint32_t, owned_slot>& all() const { return m_owned; }

  /// Tries to take the free ones among `wanted`.
  void acquire(const std::vector<std::uint32_t>& wanted, clock_reading t);

  /// Moves a slot to another lease, whose node has taken its memory over.
  /// From this call on the slot is no longer owned here.
  void hand_over(std::uint32_t slot, const std::string& to_lease,
                 std::uint64_t to_lease_version);

  /// Takes note that a leaving owner will name this node's lease.
  void expect_handover(std::uint32_t slot, std::uint64_t epoch,
                       wall_time complete_since);

  /// Forgets everything: the lease was lost.
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
