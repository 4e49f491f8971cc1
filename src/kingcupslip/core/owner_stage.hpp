// Runs requests with an idempotency key at most once, for owned key slots.
#ifndef KINGCUPSLIP_CORE_OWNER_STAGE_HPP
#define KINGCUPSLIP_CORE_OWNER_STAGE_HPP

#include "kingcupslip/core/dispatcher.hpp"
#include "kingcupslip/core/idempotency_store.hpp"
#include "kingcupslip/core/slot_owner.hpp"

#include <cstdint>
#include <memory>
#include <set>

namespace kingcupslip {

/// Runs non-idempotent requests that have an idempotency key, for the key slots
/// that this node owns. Such requests reach a target only through this class,
/// which records them before they are sent and keeps the records after they
/// have ended.
class owner_stage {
public:
  owner_stage(const clock_reading& clock, slot_owner& slots,
              dispatcher& dispatch);

  /// Runs, answers or refuses a request of a slot that this node should own.
  /// `on_retry` is called with the cause of each retry. Returns the job, or
  /// null if none was started. `handler` is called exactly once.
  std::shared_ptr<dispatch_job>
  handle(wire::callT request, instant deadline, outcome_handler handler,
         std::function<void(reason)> on_retry = nullptr);

  /// Copies the records of a slot into the message for its next owner.
  wire::slot_handoverT export_slot(std::uint32_t slot, std::uint64_t epoch,
                                   wall_time complete_since);

  /// Whether any request of the slot is still running.
  bool has_running_requests(std::uint32_t slot) const;

  /// Adds the records of a slot received from its previous owner, and prepares
  /// to take over the slot.
  void import_slot(const wire::slot_handoverT& m);

  /// Refuses new requests of the slot from now on.
  void freeze_slot(std::uint32_t slot) { m_frozen_slots.insert(slot); }
  void tick();
  const idempotency_store& idempotency_records() const {
    return m_idempotency_store;
  }

private:
  const clock_reading& m_clock;
  slot_owner& m_slots;
  dispatcher& m_dispatcher;
  idempotency_store m_idempotency_store;
  std::set<std::uint32_t> m_frozen_slots;
  instant m_last_expiry_at{0};
};

} // namespace kingcupslip

#endif
