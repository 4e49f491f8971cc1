// Where a caller's request enters the fleet: keys, rates, routes, deadlines.
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

/// A request as the HTTP listener read it.
struct caller_request {
  std::string method;
  std::string request_target; ///< path and query, as sent
  std::vector<header> headers;
  body_bytes body;
  /// The caller's connection, for `on_caller_disconnected`; 0 if not known.
  std::uint64_t connection = 0;
};

/// What a data centre does with keys that it cannot confirm.
enum class unconfirmed_keys : std::uint8_t { serve, refuse };

struct entry_options {
  std::string fleet_secret;
  std::size_t max_body_bytes = 1024UL * 1024;
  unconfirmed_keys unconfirmed = unconfirmed_keys::serve;
  /// With `refuse`: how old the configuration may be.
  duration confirmed_within = std::chrono::seconds(60);
  bool rate_limits = true;
  /// Told of each request that took a token; for traces.
  std::function<void(const std::string& team)> on_admitted;
};

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

  entry_stage(entry_options options, dependencies p,
              const clock_reading& clock);

  /// Handles one request; `handler` runs exactly once.
  void on_request(caller_request request, outcome_handler handler);

  /// The connection closed: what still runs for it is cancelled.
  void on_caller_disconnected(std::uint64_t connection);

  /// Asks owners again whose slots were moving.
  void tick();

  void start_draining() { m_draining = true; }
  std::size_t in_progress() const { return m_in_progress; }
  const request_counters& counts() const { return m_counts; }

private:
  /// Whom a request runs for, and on which terms.
  struct request_terms {
    const contract* team_contract = nullptr;
    const contract_route* route = nullptr;
    std::string key_id;
    std::optional<call_context> context;
    instant deadline{0};
  };

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
  /// Refuses a request that has been identified. Where its key may have been
  /// sent before, the owner of the key says what became of it: a refusal
  /// must not claim that an order which ran has not.
  void refuse(caller_request request, const request_terms& terms,
              const std::string& service, const std::string& path,
              const team_route_key& team_and_route, const outcome& o,
              outcome_handler done);
  void admit(caller_request request, const request_terms& terms,
             const std::string& service, const std::string& path,
             const team_route_key& team_and_route, outcome_handler done);
  void forward(wire::callT call, const request_terms& terms,
               std::uint64_t connection, team_route_key team_and_route,
               outcome_handler done);
  /// A request on its way to the owner of its key. Asking again is safe:
  /// the owner recognises the key.
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
  std::size_t m_in_progress = 0;
  bool m_draining = false;
};

} // namespace kingcupslip

#endif
