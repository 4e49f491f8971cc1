// At-most-once execution, and handover of records to the next owner.
#include "kingcupslip/core/owner_stage.hpp"

#include "kingcupslip/core/reply_codec.hpp"

#include <utility>

namespace kingcupslip {

namespace {

constexpr std::size_t max_records = 20'000;
constexpr std::size_t max_record_bytes = 8UL * 1024 * 1024;
constexpr duration expiry_interval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds owner_retry_after{1000};

} // namespace

owner_stage::owner_stage(const clock_reading& clock, slot_owner& slots,
                         dispatcher& dispatch)
    : m_clock(clock), m_slots(slots), m_dispatcher(dispatch),
      m_idempotency_store(max_records, max_record_bytes) {}

std::shared_ptr<dispatch_job>
owner_stage::handle(wire::callT request, instant deadline,
                    outcome_handler handler,
                    std::function<void(reason)> on_retry) {
  const std::uint32_t slot = slot_of(request.team, request.idempotency_key);
  const owned_slot* ownership = m_slots.owned(slot, m_clock.now);
  if (ownership == nullptr || m_frozen_slots.count(slot) != 0) {
    // The owner of the slot may have run an earlier attempt.
    handler(refusal(reason::owner_unreachable, verdict::may_have_run,
                    owner_retry_after));
    return nullptr;
  }
  const std::string team = request.team;
  const std::string key = request.idempotency_key;
  if (request.peek) {
    // The asking node uses only the verdict of this refusal.
    handler(refusal(reason::over_rate,
                    m_idempotency_store.execution_of(
                        team, key, ownership->complete_since, m_clock)));
    return nullptr;
  }
  std::optional<outcome> known = m_idempotency_store.begin(
      team, key, request.digest, ownership->complete_since, m_clock);
  if (known) {
    handler(std::move(*known));
    return nullptr;
  }
  const std::uint64_t epoch = ownership->epoch;
  request.slot = slot;
  request.epoch = epoch;
  std::shared_ptr<dispatch_job> job = std::make_shared<dispatch_job>();
  job->request = std::move(request);
  job->deadline = deadline;
  job->on_retry = std::move(on_retry);
  job->check_before_send = [this, slot, epoch] {
    const owned_slot* current_ownership = m_slots.owned(slot, m_clock.now);
    const bool still_owner =
        current_ownership != nullptr && current_ownership->epoch == epoch;
    return still_owner ? reason::none : reason::owner_unreachable;
  };
  job->done = [this, team, key, handler](outcome o) {
    m_idempotency_store.finish(team, key, o, m_clock.now);
    handler(std::move(o));
  };
  m_dispatcher.dispatch(job);
  return job;
}

wire::slot_handoverT owner_stage::export_slot(std::uint32_t slot,
                                              std::uint64_t epoch,
                                              wall_time complete_since) {
  wire::slot_handoverT out;
  out.slot = slot;
  out.epoch = epoch;
  out.complete_since_ms = static_cast<std::uint64_t>(complete_since.count());
  const auto in_slot = [slot](const idempotency_record& r) {
    return slot_of(r.team, r.key) == slot;
  };
  for (idempotency_record& it : m_idempotency_store.entries_matching(in_slot)) {
    std::unique_ptr<wire::memory_entryT> e =
        std::make_unique<wire::memory_entryT>();
    e->team = it.team;
    e->key = it.key;
    e->digest = it.digest;
    // The next owner cannot learn the result of a request that is still
    // running here.
    const outcome answer =
        it.running ? refusal(reason::outcome_unknown, verdict::may_have_run)
                   : it.answer;
    e->verdict = static_cast<std::uint8_t>(answer.execution);
    e->status = answer.status;
    const duration age =
        it.running ? duration(0) : m_clock.now - it.finished_at;
    e->age_ms = static_cast<std::uint32_t>(age / std::chrono::milliseconds(1));
    e->headers = to_wire(answer.headers);
    e->body = answer.body;
    out.entries.push_back(std::move(e));
  }
  return out;
}

bool owner_stage::has_running_requests(std::uint32_t slot) const {
  const auto running = [slot](const idempotency_record& r) {
    return r.running && slot_of(r.team, r.key) == slot;
  };
  return !m_idempotency_store.entries_matching(running).empty();
}

void owner_stage::import_slot(const wire::slot_handoverT& m) {
  for (const std::unique_ptr<wire::memory_entryT>& it : m.entries) {
    idempotency_record r;
    r.team = it->team;
    r.key = it->key;
    r.digest = it->digest;
    r.finished_at = m_clock.now - std::chrono::milliseconds(it->age_ms);
    const bool ran = it->verdict == static_cast<std::uint8_t>(verdict::ran);
    r.answer = ran ? outcome{}
                   : refusal(reason::outcome_unknown, verdict::may_have_run);
    if (ran) {
      r.answer.execution = verdict::ran;
      r.answer.status = it->status;
      r.answer.headers = from_wire(it->headers);
      r.answer.body = it->body;
    }
    m_idempotency_store.insert(std::move(r));
  }
  m_slots.expect_handover(
      m.slot, m.epoch,
      wall_time(static_cast<std::int64_t>(m.complete_since_ms)));
}

void owner_stage::tick() {
  if (m_clock.now - m_last_expiry_at >= expiry_interval) {
    m_last_expiry_at = m_clock.now;
    m_idempotency_store.expire(m_clock.now);
  }
}

} // namespace kingcupslip
