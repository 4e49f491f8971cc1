// Calls to other nodes whose replies are still to come.
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

using outcome_handler = std::function<void(outcome)>;

/// A reply is taken only from the node that was called and only once:
/// correlations are never used twice, not even by a later life of this
/// process, so late, doubled or crossed replies reach nobody.
class pending_calls {
public:
  /// `origin` is random for each life of the process.
  explicit pending_calls(std::uint64_t correlation_prefix);

  std::uint64_t add(const std::string& node, instant deadline,
                    outcome_handler handler);

  /// False, and nothing else, for a reply that nobody waits for.
  bool on_reply(const std::string& node, wire::replyT& reply);

  /// The call never left this node, so it has not run.
  void on_unsent(std::uint64_t correlation);

  /// The connection was lost: calls on it may have run.
  void on_peer_lost(const std::string& node);

  /// Ends calls that are past their deadlines.
  void expire(instant now);

  std::size_t size() const { return m_calls.size(); }

private:
  struct pending {
    std::string node;
    instant deadline{0};
    outcome_handler handler;
  };
  template <class Predicate>
  void complete_if(Predicate matches, const outcome& result);

  std::uint64_t m_last_correlation;
  std::unordered_map<std::uint64_t, pending> m_calls;
};

} // namespace kingcupslip

#endif
