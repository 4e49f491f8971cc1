// Entry of callers' requests: authorization, rate limits and deadlines.
#ifndef KINGCUPSLIP_CORE_ENTRY_STAGE_HPP
#define KINGCUPSLIP_CORE_ENTRY_STAGE_HPP

#include "kingcupslip/core/call_context.hpp"
#include "kingcupslip/core/config_sync.hpp"
#include "kingcupslip/core/configuration.hpp"
#include "kingcupslip/core/owner_stage.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/rate_limiter.hpp"
#include "kingcupslip/core/rate_shares.hpp"
#include "kingcupslip/core/request_counters.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// A request as received by the HTTP listener.
struct caller_request {
  std::string method;
  std::string request_target; ///< path and query as received
  std::vector<header> headers;
  body_bytes body;
  /// Between its arrival and this call, for the answers to earlier requests of
  /// its connection.
  std::chrono::milliseconds waited{0};
  /// Id of the caller's connection, for `on_caller_disconnected`; 0: unknown.
  std::uint64_t connection = 0;
};

/// What a node does with keys that it cannot confirm because its configuration
/// is too old.
enum class unconfirmed_keys : std::uint8_t { serve, refuse };

/// Settings of the entry stage.
struct entry_options {
  std::string fleet_secret;
  std::size_t max_body_bytes = 1024UL * 1024;
  unconfirmed_keys unconfirmed = unconfirmed_keys::serve;
  /// With `unconfirmed_keys::refuse`: maximum age of the configuration.
  duration confirmed_within = std::chrono::seconds(60);
  bool rate_limits = true;
  /// Called with the team of each admitted request that is not a nested call;
  /// may be null.
  std::function<void(const std::string& team)> on_admitted;
};

/// Authorizes callers' requests, applies rate limits and deadlines, and
/// forwards requests to a target or to the owner of their idempotency key.
class entry_stage {
public:
  struct dependencies {
    const configuration& config;
    const config_sync& sync;
    member_table& members;
    rate_shares& shares;
    quarantine& crash_quarantine;
    dispatcher& dispatch;
    owner_stage& owner;
    slot_owner& slots;
    target_stage& local_target;
    pending_calls& calls;
    message_sender send;
    member_table::random_source random;
  };

  entry_stage(entry_options options, dependencies d,
              const clock_reading& clock);

  /// Handles a request. `handler` is called exactly once.
  void on_request(caller_request request, outcome_handler handler);

  /// Cancels the request in progress of a connection that was closed.
  void on_caller_disconnected(std::uint64_t connection);

  /// Admits or refuses requests that wait for a token of their team's rate,
  /// and retries calls to key owners that are due.
  void tick();

  /// Refuses new requests from now on.
  void start_draining() { m_draining = true; }
  /// Answers all requests in progress, and refuses all new ones.
  void end_all();
  std::size_t in_progress() const { return m_unanswered.size(); }
  const request_counters& counts() const { return m_counts; }

private:
  /// The team and route of an authorized request, and what applies to it.
  struct request_terms {
    const contract* team_contract = nullptr;
    const contract_route* route = nullptr;
    std::string key_id;
    std::optional<call_context> context;
    instant deadline{0};
  };

  /// A request that has been counted and is not answered yet.
  struct unanswered_request {
    team_route_key team_and_route;
    outcome_handler handler;
  };

  /// Answers a request, unless it was answered before.
  void answer(std::uint64_t id, outcome o);
  reason authorize(const caller_request& r, const std::string& service,
                   const std::string& path, request_terms& out) const;
  reason authorize_nested(std::string_view text, request_terms& out) const;
  reason authorize_by_key(std::string_view secret, request_terms& out) const;
  reason no_route_reason(const std::string& service) const;
  void set_deadline(const caller_request& r, request_terms& terms) const;
  wire::callT make_call(caller_request& r, const request_terms& terms,
                        const std::string& service, const std::string& path);
  void report_admitted(const request_terms& terms,
                       const std::string& team) const;
  /// Refuses an authorized request. If it has an idempotency key that may have
  /// been sent before, the owner of the key is asked for the verdict: a refusal
  /// must not report `not_run` for a request that has run.
  void refuse(caller_request request, const request_terms& terms,
              const std::string& service, const std::string& path,
              const team_route_key& team_and_route, const outcome& o,
              outcome_handler done);
  /// Refuses a quarantined request and forwards any other.
  void admit(caller_request request, const request_terms& terms,
             const std::string& service, const std::string& path,
             const team_route_key& team_and_route, outcome_handler done);
  /// Sends a call to the owner of its key if it must run at most once, and
  /// dispatches it to a target otherwise.
  void forward(wire::callT call, const request_terms& terms,
               std::uint64_t connection, team_route_key team_and_route,
               outcome_handler done);
  /// A request that is sent to the owner of its idempotency key. It may be
  /// sent repeatedly, because the owner recognises the key.
  struct owner_call {
    wire::callT call;
    instant deadline{0};
    std::uint64_t connection = 0;
    team_route_key team_and_route;
    outcome_handler done;
    std::uint32_t attempts = 0;
  };
  void send_to_owner(const std::shared_ptr<owner_call>& c);
  void on_owner_reply(const std::shared_ptr<owner_call>& c, outcome o);
  std::string find_owner(std::uint32_t slot) const;
  void track_job(std::uint64_t connection,
                 const std::shared_ptr<dispatch_job>& job);

  entry_options m_options;
  dependencies m_dependencies;
  const clock_reading& m_clock;
  rate_limiter m_rate_limiter;
  request_counters m_counts;
  std::unordered_map<std::uint64_t, std::weak_ptr<dispatch_job>>
      m_jobs_by_connection;
  std::multimap<instant, std::shared_ptr<owner_call>> m_owner_retries;
  std::map<std::uint64_t, unanswered_request> m_unanswered;
  std::uint64_t m_last_id = 0; ///< of unanswered requests
  bool m_draining = false;
  bool m_ended = false;
};

} // namespace kingcupslip

#endif
