// Calls from other nodes that have arrived and are not yet answered.
#ifndef KINGCUPSLIP_CORE_INCOMING_CALLS_HPP
#define KINGCUPSLIP_CORE_INCOMING_CALLS_HPP

#include "kingcupslip/core/duplicate_call_filter.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/target_stage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace kingcupslip {

/// Starts each call from another node once, replies to it once and cancels it
/// at the sender's request. Replies also report the load of the local target.
class incoming_calls {
public:
  /// Cancels a call that is in progress; may be null.
  using cancel_function = std::function<void()>;
  /// Starts a call. `handler` may be called before this function returns.
  /// `on_silent` tells the sender that the target does not work on the run.
  using start_function = std::function<cancel_function(
      wire::callT call, instant deadline, outcome_handler handler,
      silence_handler on_silent)>;

  incoming_calls(start_function start, const target_stage& local_target,
                 message_sender send, const clock_reading& clock);

  void on_call(const std::string& from, wire::callT call);
  void on_cancel(const std::string& from, const wire::cancelT& m);

  bool empty() const { return m_unanswered_calls.empty(); }

private:
  /// The sending node and the correlation that it assigned.
  using call_id = std::pair<std::string, std::uint64_t>;

  void reply(const call_id& id, instant arrived_at, outcome o);
  void report_silence(const call_id& id);

  start_function m_start;
  const target_stage& m_local_target;
  message_sender m_send;
  const clock_reading& m_clock;
  std::map<call_id, cancel_function> m_unanswered_calls;
  duplicate_call_filter m_duplicate_filter;
};

} // namespace kingcupslip

#endif
