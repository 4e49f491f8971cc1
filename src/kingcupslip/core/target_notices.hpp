// What the local target states about itself in its answers.
#ifndef KINGCUPSLIP_CORE_TARGET_NOTICES_HPP
#define KINGCUPSLIP_CORE_TARGET_NOTICES_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/target_rate_limit.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace kingcupslip {

/// What a target states about itself in an answer, besides the answer itself.
struct target_notice {
  /// The rate of requests that it asks all nodes together to keep; null: none.
  std::optional<double> rate_limit_per_s;
  /// It states a limit that cannot be read; the one before stays in force.
  bool rate_limit_unreadable = false;
  /// It is about to end and must get no new requests.
  bool leaving = false;
  /// The announcement in which it said that it drains; 0: none. A later one may
  /// report it in service again.
  std::uint64_t draining_sequence = 0;

  bool empty() const {
    return !rate_limit_per_s && !leaving && draining_sequence == 0;
  }
};

/// Keeps the notice of the target's current instance, from its answers, its
/// goodbye and, until it has answered this process, from what other nodes
/// remember of it.
///
/// Invariant: the rate limit is active exactly while the notice has one.
class target_notices {
public:
  explicit target_notices(event_sink log) : m_log(std::move(log)) {}

  /// A new instance has stated nothing, except for what other nodes reported
  /// before it announced itself.
  void on_new_instance(const std::string& instance, std::uint64_t start_time_ms,
                       instant now);

  /// Applies an answer of the current instance to a request. Null: the answer
  /// cannot be attributed to the target, and changes nothing.
  void on_answer(const std::optional<target_notice>& stated,
                 const std::string& request_id, instant now);

  /// The current instance has announced that it drains.
  void on_draining(std::uint64_t sequence) {
    m_notice.draining_sequence = sequence;
  }

  /// The current instance has deregistered.
  void on_goodbye(instant now);

  /// Applies what another node knows from an earlier process of this node. A
  /// rate limit is ignored once the instance has answered this process. A
  /// notice of another instance is kept until that one announces itself.
  void on_reported(const wire::target_noticeT& n, instant now);

  const target_notice& current() const { return m_notice; }
  /// The notice for other nodes; null if the target stated nothing.
  std::unique_ptr<wire::target_noticeT> to_report() const;

  /// Whether the current instance has answered this process.
  bool answered() const { return m_answered; }
  bool leaving() const { return m_notice.leaving; }

  target_rate_limit& rate_limit() { return m_rate_limit; }
  const target_rate_limit& rate_limit() const { return m_rate_limit; }

private:
  /// Whatever `n` says, an instance that has departed stays so. `source` is for
  /// the log: the request that was answered, or "peer".
  void apply(target_notice n, const std::string& source, instant now);

  event_sink m_log;
  std::string m_instance;
  std::uint64_t m_start_time_ms = 0;
  target_notice m_notice;
  /// Last reported of an instance that is not the current one.
  std::optional<wire::target_noticeT> m_reported;
  target_rate_limit m_rate_limit;
  bool m_answered = false;
};

} // namespace kingcupslip

#endif
