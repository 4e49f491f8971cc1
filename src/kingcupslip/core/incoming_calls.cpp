// Starts, answers and cancels calls from other nodes.
#include "kingcupslip/core/incoming_calls.hpp"

#include "kingcupslip/core/reply_codec.hpp"

namespace kingcupslip {

incoming_calls::incoming_calls(start_function start,
                               const target_stage& local_target,
                               message_sender send, const clock_reading& clock)
    : m_start(std::move(start)), m_local_target(local_target),
      m_send(std::move(send)), m_clock(clock) {}

void incoming_calls::on_call(const std::string& from, wire::callT call) {
  const call_id id{from, call.correlation};
  if (!m_duplicate_filter.record_if_new(from, call.correlation)) {
    return;
  }
  const instant deadline = m_clock.now + duration(call.time_left_us);
  m_unanswered_calls.emplace(id, nullptr);
  const cancel_function stop = m_start(
      std::move(call), deadline,
      [this, id, arrived_at = m_clock.now](outcome o) {
        m_unanswered_calls.erase(id);
        reply(id, arrived_at, std::move(o));
      },
      [this, id] { report_silence(id); });
  const auto it = m_unanswered_calls.find(id);
  if (it != m_unanswered_calls.end()) {
    it->second = stop;
  }
}

void incoming_calls::on_cancel(const std::string& from,
                               const wire::cancelT& m) {
  const auto it = m_unanswered_calls.find({from, m.correlation});
  if (it != m_unanswered_calls.end() && it->second) {
    // Copied because cancelling may end the call and erase its entry.
    const cancel_function stop = it->second;
    stop();
  }
}

void incoming_calls::report_silence(const call_id& id) {
  wire::run_silentT m;
  m.correlation = id.second;
  wire::payloadUnion body;
  body.Set(std::move(m));
  m_send(id.first, std::move(body));
}

void incoming_calls::reply(const call_id& id, instant arrived_at, outcome o) {
  wire::replyT reply = to_reply(id.second, std::move(o));
  reply.limit = static_cast<float>(m_local_target.capacity());
  reply.in_flight = static_cast<std::uint32_t>(m_local_target.in_flight());
  reply.queued = static_cast<std::uint32_t>(m_local_target.queued());
  reply.held_us =
      static_cast<std::uint32_t>((m_clock.now - arrived_at).count());
  reply.pressure = static_cast<float>(m_local_target.pressure());
  reply.overload_level =
      static_cast<float>(m_local_target.overload_level_of_chain());
  reply.target_answered = m_local_target.notices().answered();
  reply.notice = m_local_target.notices().to_report();
  wire::payloadUnion body;
  body.Set(std::move(reply));
  m_send(id.first, std::move(body));
}

} // namespace kingcupslip
