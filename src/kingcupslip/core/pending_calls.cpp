// Completes pending calls by a reply, a send error, a lost connection or
// their deadline.
#include "kingcupslip/core/pending_calls.hpp"

#include "kingcupslip/core/reply_codec.hpp"

#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

/// Bits of a correlation that count calls; the prefix is above them.
constexpr std::uint64_t counter_bits = 40;
/// A reply that was sent in time may still be in transit at the deadline.
constexpr duration reply_grace_period = std::chrono::milliseconds(50);

} // namespace

pending_calls::pending_calls(std::uint64_t correlation_prefix)
    : m_last_correlation(correlation_prefix << counter_bits) {}

std::uint64_t pending_calls::add(const std::string& node, instant deadline,
                                 outcome_handler handler,
                                 std::function<void()> on_silent) {
  const std::uint64_t correlation = ++m_last_correlation;
  m_calls.emplace(correlation, pending{node, deadline, std::move(handler),
                                       std::move(on_silent)});
  return correlation;
}

void pending_calls::on_run_silent(const std::string& node,
                                  std::uint64_t correlation) {
  const auto it = m_calls.find(correlation);
  if (it == m_calls.end() || it->second.node != node) {
    return;
  }
  const std::function<void()> on_silent =
      std::exchange(it->second.on_silent, nullptr);
  if (on_silent) {
    on_silent();
  }
}

bool pending_calls::on_reply(const std::string& node, wire::replyT& reply) {
  const auto it = m_calls.find(reply.correlation);
  if (it == m_calls.end() || it->second.node != node) {
    return false;
  }
  const outcome_handler handler = std::move(it->second.handler);
  m_calls.erase(it);
  handler(from_reply(reply));
  return true;
}

void pending_calls::on_unsent(std::uint64_t correlation) {
  complete(correlation, refusal(reason::node_unreachable));
}

void pending_calls::on_lost(std::uint64_t correlation) {
  complete(correlation,
           refusal(reason::connection_lost, verdict::may_have_run));
}

void pending_calls::on_peer_lost(const std::string& node) {
  complete_if(
      [&node](std::uint64_t, const pending& p) { return p.node == node; },
      refusal(reason::connection_lost, verdict::may_have_run));
}

void pending_calls::expire(instant now) {
  complete_if(
      [now](std::uint64_t, const pending& p) {
        return p.deadline + reply_grace_period < now;
      },
      refusal(reason::deadline, verdict::may_have_run));
}

void pending_calls::complete(std::uint64_t correlation, const outcome& result) {
  const auto it = m_calls.find(correlation);
  if (it == m_calls.end()) {
    return;
  }
  const outcome_handler handler = std::move(it->second.handler);
  m_calls.erase(it);
  handler(result);
}

template <class Predicate>
void pending_calls::complete_if(Predicate matches, const outcome& result) {
  std::vector<outcome_handler> handlers;
  for (auto it = m_calls.begin(); it != m_calls.end();) {
    if (!matches(it->first, it->second)) {
      ++it;
      continue;
    }
    handlers.push_back(std::move(it->second.handler));
    it = m_calls.erase(it);
  }
  // Handlers may add calls, so they run after the iteration.
  for (const outcome_handler& it : handlers) {
    it(result);
  }
}

} // namespace kingcupslip
