// Start, reply and cancellation of calls from other nodes.
#include "kingcupslip/core/call_inbox.hpp"

#include "kingcupslip/core/reply_codec.hpp"

namespace kingcupslip {

call_inbox::call_inbox(starter start, const target_stage& local,
                       message_sender send, const clock_reading& clock)
    : m_start(std::move(start)), m_local(local), m_send(std::move(send)),
      m_clock(clock) {}

void call_inbox::on_call(const std::string& from, wire::callT call) {
  const call_id id{from, call.correlation};
  if (!m_duplicate_filter.record_if_new(from, call.correlation)) {
    return;
  }
  const instant deadline = m_clock.now + duration(call.time_left_us);
  m_open.emplace(id, nullptr);
  const canceller stop =
      m_start(std::move(call), deadline, [this, id](outcome o) {
        m_open.erase(id);
        reply(id, std::move(o));
      });
  const auto it = m_open.find(id);
  if (it != m_open.end()) {
    it->second = stop;
  }
}

void call_inbox::on_cancel(const std::string& from, const wire::cancelT& m) {
  const auto it = m_open.find({from, m.correlation});
  if (it != m_open.end() && it->second) {
    // A copy: cancelling may end the call and erase the entry.
    const canceller stop = it->second;
    stop();
  }
}

void call_inbox::reply(const call_id& id, outcome o) {
  wire::replyT reply = to_reply(id.second, std::move(o));
  reply.limit = static_cast<float>(m_local.limit());
  reply.in_flight = static_cast<std::uint32_t>(m_local.in_flight());
  reply.queued = static_cast<std::uint32_t>(m_local.queued());
  wire::payloadUnion body;
  body.Set(std::move(reply));
  m_send(id.first, std::move(body));
}

} // namespace kingcupslip
