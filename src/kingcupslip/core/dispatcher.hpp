// Sends requests to targets and retries them on others.
#ifndef KINGCUPSLIP_CORE_DISPATCHER_HPP
#define KINGCUPSLIP_CORE_DISPATCHER_HPP

#include "kingcupslip/core/balancer.hpp"
#include "kingcupslip/core/locality.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/pending_calls.hpp"
#include "kingcupslip/core/retry_budget.hpp"
#include "kingcupslip/core/route_preview.hpp"
#include "kingcupslip/core/target_stage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcupslip {

/// An attempt of a request that has no outcome yet.
struct running_attempt {
  std::string node;
  /// A ticket of the local target, or else the correlation of the call.
  std::uint64_t id = 0;
  std::uint32_t number = 0; ///< among the attempts of the request
  instant started_at{0};
};

/// A request with the state of its attempts. Shared by the dispatcher and by
/// those who may cancel it.
struct dispatch_job {
  wire::callT request; ///< `retries`: how many are left
  instant deadline{0};
  outcome_handler done;
  /// Called before each attempt; may be null. A reason other than `none` ends
  /// the job with this refusal.
  std::function<reason()> check_before_send;
  /// Called with the cause of each retry; may be null.
  std::function<void(reason)> on_retry;

  /// Maximum number of members that the request is sent to; 0: no limit.
  std::uint32_t max_targets = 0;
  /// The answer of an attempt that is retried; returned if all further
  /// attempts are refused.
  std::optional<outcome> fallback_answer;

  std::set<std::string> tried_nodes;
  std::uint32_t attempts = 0;
  /// Attempts that were refused before their target got the request, and did
  /// not count as one of `max_targets`.
  std::uint32_t redirects = 0;
  std::uint32_t retries_spent = 0;
  instant retry_at{0};
  bool may_have_run = false; ///< the result of an attempt is unknown
  bool ended = false;
  reason cancelled_for = reason::none; ///< set if the job was cancelled
  /// The attempts that have no outcome yet: one, and another one beside it if
  /// its target does not work on it.
  std::vector<running_attempt> running;
};

/// Sends each request to a target and retries it on others, within the retries
/// that the request may spend, its deadline and the retry budget of its
/// service.
///
/// Invariant: `done` of a job is called exactly once; `retries_spent` never
/// exceeds the retries that the request came with.
class dispatcher {
public:
  struct options {
    /// Baseline for benchmarks: retries ignore the retry budget.
    bool plain_forwarding = false;
    retry_budget::options retry_options;
    /// Retries idempotent requests that the target answered with a server
    /// error.
    bool retry_failed_answers = false;
    locality::options locality_options{};
  };
  /// Whether an operator has taken a member's target out of service.
  using out_of_service_check = std::function<bool(const wire::memberT&)>;

  /// Chooses between the versions of a service's targets.
  struct version_hooks {
    /// Returns the order by which an attempt goes to a new version; 0: none.
    std::function<std::uint64_t(const std::string& service, bool first_attempt)>
        choose_order;
    /// Whether a member's target may get an attempt of this order.
    std::function<bool(const wire::memberT&, std::uint64_t order)> allows;
  };

  dispatcher(options o, const clock_reading& clock, member_table& members,
             out_of_service_check is_out_of_service, pending_calls& calls,
             target_stage& local_target, message_sender send,
             member_table::random_source random, event_sink log);

  void set_version_hooks(version_hooks hooks) { m_versions = std::move(hooks); }

  /// Called with the node beside the target, and the request's digest, once
  /// that node has reported that the connection of a run broke.
  void set_on_run_lost(
      std::function<void(const std::string& node, std::uint64_t digest)> hook) {
    m_on_run_lost = std::move(hook);
  }

  /// Starts the first attempt of a job.
  void dispatch(const std::shared_ptr<dispatch_job>& job);

  /// Cancels the current attempt and ends the job with this reason.
  void cancel(const std::shared_ptr<dispatch_job>& job,
              reason why = reason::cancelled);

  /// Starts the retries whose delay has passed.
  void tick();

  /// Whether a usable member runs this service.
  bool has_target_for(const std::string& service) const;

  const locality& leaving() const { return m_locality; }

  /// The targets of a service, and why requests of `order` do not go to some.
  std::vector<previewed_target> preview(const std::string& service,
                                        std::uint64_t order) const;

  /// Records what the reply of `node` reports about its target: the load, and
  /// what the target stated about itself.
  void on_target_report(const std::string& node, const wire::replyT& reply);

  /// Changes the options of all retry budgets. They depend on the size of the
  /// fleet, whose nodes share the allowance.
  void set_retry_options(const retry_budget::options& o);

private:
  std::vector<target_candidate> candidates(const dispatch_job& job) const;
  const target_candidate*
  choose_candidate(const dispatch_job& job,
                   const std::vector<target_candidate>& targets);
  /// Whether a member's target may get requests of its service at present.
  bool is_in_service(const member& m) const { return !why_out_of_service(m); }
  /// Null if it may.
  const char* why_out_of_service(const member& m) const;
  target_candidate candidate_of(const member& m) const;
  void update_locality();
  void record_times(const running_attempt& attempt, const outcome& o);
  void attempt(const std::shared_ptr<dispatch_job>& job);
  void send(const std::shared_ptr<dispatch_job>& job, const std::string& node);
  void on_outcome(const std::shared_ptr<dispatch_job>& job,
                  const running_attempt& attempt, std::uint32_t nested_retries,
                  outcome o);
  /// Starts another attempt beside one whose target does not work on it.
  void on_silent_attempt(const std::shared_ptr<dispatch_job>& job);
  void cancel_running(dispatch_job& job);
  bool may_retry(dispatch_job& job, const outcome& o);
  /// Whether the limits of the request and its targets leave room for another
  /// attempt.
  bool has_room_for_retry(const dispatch_job& job) const;
  bool spend_retry(const std::string& service);
  /// Whether the request may go to another target at once, as the node beside
  /// its target refused it for the target's rate limit, or because it has no
  /// routes yet. This is no retry: no target has got the request.
  bool may_redirect(const dispatch_job& job, const outcome& o) const;
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
  std::function<void(const std::string&, std::uint64_t)> m_on_run_lost;
  version_hooks m_versions;
  locality m_locality;
  /// How long the requests of a service that this node sends take at their
  /// targets; moving averages.
  std::map<std::string, duration> m_run_times;
  std::map<std::string, duration> m_ways; ///< by data centre, there and back
  instant m_locality_updated_at{0};
  std::optional<instant> m_started_at; ///< the first tick
  std::map<std::string, retry_budget> m_retry_budgets;
  std::multimap<instant, std::shared_ptr<dispatch_job>> m_delayed_retries;
};

} // namespace kingcupslip

#endif
