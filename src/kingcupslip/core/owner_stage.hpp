// Runs non-idempotent requests at most once, for the key slots owned here.
#ifndef KINGCUPSLIP_CORE_OWNER_STAGE_HPP
#define KINGCUPSLIP_CORE_OWNER_STAGE_HPP

#include "kingcupslip/core/dispatcher.hpp"
#include "kingcupslip/core/idempotency_store.hpp"
#include "kingcupslip/core/slot_owner.hpp"

#include <cstdint>
#include <memory>
#include <set>

namespace kingcupslip {

/// The only way by which a request with an idempotency key reaches a target:
/// it is remembered before it is sent and until long after it ended.
class owner_stage {
public:
  owner_stage(const clock_reading& clock, slot_owner& slots,
              dispatcher& dispatch);

  /// Decides on a request of a slot that this node should own. `on_retry`
  /// is told of each retry. Returns the job, null if nothing was started.
  std::shared_ptr<dispatch_job>
  handle(wire::callT request, instant deadline, outcome_handler handler,
         std::function<void(reason)> on_retry = nullptr);

  /// Stops new work on a slot and packs what is remembered of it.
  wire::slot_handoverT export_slot(std::uint32_t slot, std::uint64_t epoch,
                                   wall_time complete_since);

  /// Whether requests of the slot are still running.
  bool has_running_requests(std::uint32_t slot) const;

  /// Takes a leaving owner's memory of a slot over.
  void import_slot(const wire::slot_handoverT& m);

  void freeze_slot(std::uint32_t slot) { m_frozen_slots.insert(slot); }
  void tick();
  const idempotency_store& remembered_requests() const {
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
