// Sends a request to a target and decides whether to try another.
#ifndef KINGCUPSLIP_CORE_DISPATCHER_HPP
#define KINGCUPSLIP_CORE_DISPATCHER_HPP

#include "kingcupslip/core/balancer.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/pending_calls.hpp"
#include "kingcupslip/core/retry_budget.hpp"
#include "kingcupslip/core/target_stage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcupslip {

/// One request with all its attempts. Shared by whoever may end it.
struct dispatch_job {
  wire::callT request; ///< `retries` is what is left to spend
  instant deadline{0};
  outcome_handler done;
  /// Checked right before each sending; a refusal ends the job.
  std::function<reason()> check_before_send;
  std::function<void(reason)> on_retry;

  /// Members that the request may be sent to in all; 0: no such limit.
  std::uint32_t max_targets = 0;
  /// An answer of an attempt that is being repeated, in case nothing better
  /// comes.
  std::optional<outcome> fallback_answer;

  std::set<std::string> tried_nodes;
  std::uint32_t attempts = 0;
  std::uint32_t retries_spent = 0;
  instant retry_at{0};
  bool may_have_run = false; ///< an earlier attempt's end is not known
  bool ended = false;
  /// Where the present attempt is, for cancellation.
  std::string current_node;
  std::uint64_t current_attempt_id = 0;
};

/// Chooses targets, spreads retries over others and keeps them within the
/// request's budget, its deadline and the service's retry ratio.
///
/// Invariant: a job's `done` runs exactly once; `spent` never exceeds the
/// retries that the request came with.
class dispatcher {
public:
  struct options {
    bool plain_forwarding = false;
    retry_budget::options retries;
    /// Repeats idempotent requests that the target answered with a failure.
    bool retry_failed_answers = false;
  };
  /// Whether an operator's mark keeps a member's target out of service.
  using out_of_service_check = std::function<bool(const wire::memberT&)>;

  dispatcher(options o, const clock_reading& clock, member_table& members,
             out_of_service_check is_out_of_service, pending_calls& calls,
             target_stage& local_target, message_sender send,
             member_table::random_source random);

  void dispatch(const std::shared_ptr<dispatch_job>& job);

  /// The caller went away: stops the present attempt and makes no other.
  void cancel(const std::shared_ptr<dispatch_job>& job);

  /// Starts the retries that are due.
  void tick();

  /// Whether any member in service runs this service.
  bool has_target_for(const std::string& service) const;

  /// What a reply says of its sender's load.
  void on_load_report(const std::string& node, const wire::replyT& reply);

  /// Follows the fleet's size, over which retries are shared out.
  void set_retry_options(const retry_budget::options& o);

private:
  std::vector<target_candidate> candidates(const dispatch_job& job) const;
  void attempt(const std::shared_ptr<dispatch_job>& job);
  void send(const std::shared_ptr<dispatch_job>& job, const std::string& node);
  void on_outcome(const std::shared_ptr<dispatch_job>& job,
                  const std::string& node, std::uint32_t nested_retries,
                  outcome o);
  bool may_retry(dispatch_job& job, const outcome& o);
  void finish(const std::shared_ptr<dispatch_job>& job, outcome o);
  void record_target_health(const std::string& node, const outcome& o);
  retry_budget& retry_budget_for(const std::string& service);

  options m_options;
  const clock_reading& m_clock;
  member_table& m_members;
  out_of_service_check m_is_out_of_service;
  pending_calls& m_calls;
  target_stage& m_local_target;
  message_sender m_send;
  member_table::random_source m_random;
  std::map<std::string, retry_budget> m_retry_budgets;
  std::multimap<instant, std::shared_ptr<dispatch_job>> m_delayed_retries;
};

} // namespace kingcupslip

#endif
