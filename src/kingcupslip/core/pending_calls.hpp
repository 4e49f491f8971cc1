// Calls to other nodes that await their replies.
#ifndef KINGCUPSLIP_CORE_PENDING_CALLS_HPP
#define KINGCUPSLIP_CORE_PENDING_CALLS_HPP

#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace kingcupslip {

/// Receives the result of a request or call.
using outcome_handler = std::function<void(outcome)>;

/// Matches replies from other nodes with the calls that this node sent. A
/// reply is accepted only once and only from the node that was called.
/// Correlations are not reused, not even after a restart of this process, so
/// late, duplicate or misdirected replies are ignored.
class pending_calls {
public:
  /// `correlation_prefix` is chosen at random at each start of the process.
  explicit pending_calls(std::uint64_t correlation_prefix);

  /// Registers a call and returns its correlation. `handler` is called
  /// exactly once, with the reply or with a refusal.
  /// `on_silent`, which may be null, is called at most once, before that, if
  /// the node reports that its target does not work on the run.
  std::uint64_t add(const std::string& node, instant deadline,
                    outcome_handler handler,
                    std::function<void()> on_silent = nullptr);

  /// The node reports that its target does not work on the run of a call.
  void on_run_silent(const std::string& node, std::uint64_t correlation);

  /// Completes the call that `reply` answers, moving out its body. Returns
  /// false and does nothing if no call to `node` awaits this reply.
  bool on_reply(const std::string& node, wire::replyT& reply);

  /// Refuses a call that was never sent and therefore has not run.
  void on_unsent(std::uint64_t correlation);

  /// Refuses a call whose connection was lost. It may have run.
  void on_lost(std::uint64_t correlation);

  /// Refuses all calls to `node` after its connection was lost. They may
  /// have run.
  void on_peer_lost(const std::string& node);

  /// Refuses calls whose deadline has passed. They may have run.
  void expire(instant now);

  std::size_t size() const { return m_calls.size(); }

private:
  struct pending {
    std::string node;
    instant deadline{0};
    outcome_handler handler;
    std::function<void()> on_silent;
  };
  void complete(std::uint64_t correlation, const outcome& result);
  template <class Predicate>
  void complete_if(Predicate matches, const outcome& result);

  std::uint64_t m_last_correlation;
  std::unordered_map<std::uint64_t, pending> m_calls;
};

} // namespace kingcupslip

#endif
