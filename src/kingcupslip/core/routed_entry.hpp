// Entry of requests that are routed by host and path.
#ifndef KINGCUPSLIP_CORE_ROUTED_ENTRY_HPP
#define KINGCUPSLIP_CORE_ROUTED_ENTRY_HPP

#include "kingcupslip/core/desired_state.hpp"
#include "kingcupslip/core/dispatcher.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/outcome_summary.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/rate_limiter.hpp"
#include "kingcupslip/core/request_counters.hpp"
#include "kingcupslip/core/route_preview.hpp"
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/team_quota.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kingcupslip {

/// A caller's request, with the fields of the caller's protocol decoded.
struct routed_request {
  std::string id; ///< unique for each attempt of the caller
  std::string method;
  std::string host;
  std::string path; ///< with the query, as received
  std::optional<std::string> api_key;
  std::optional<std::chrono::milliseconds> time_left;
  std::vector<header> headers; ///< forwarded unchanged
  body_bytes body;
  std::uint64_t connection = 0; ///< 0: unknown
};

/// Authorizes requests that are routed by host and path, applies the teams'
/// rates and dispatches the requests to a service of their route.
class routed_entry {
public:
  struct dependencies {
    const desired_state& state;
    dispatcher& dispatch;
    target_stage& local_target;
    team_quota& quota;
    quarantine& crash_quarantine;
    member_table::random_source random;
    event_sink log;
  };

  routed_entry(dependencies d, const clock_reading& clock);

  /// Handles a request. `handler` is called exactly once.
  void on_request(routed_request request, outcome_handler handler);

  /// Where a request of a team would go now, and why, without sending it. An
  /// empty team stands for a request without a key.
  route_preview preview(const std::string& team, const std::string& host,
                        const std::string& path) const;

  /// Cancels the requests in progress of a connection that was closed.
  void on_caller_disconnected(std::uint64_t connection);

  void tick() {
    m_rate_limiter.tick();
    m_summary.tick(m_clock.now);
  }

  /// Limits the deadlines of new requests, and of further attempts of those in
  /// progress, to `answer_by`, when the process has to exit.
  void start_draining(instant answer_by);

  /// Refuses new requests from now on, except nested calls of requests that
  /// are in progress at the local target.
  void refuse_new_requests() { m_refusing_new = true; }

  /// Cancels and answers all requests in progress, and refuses all new ones.
  void end_all();

  std::size_t in_progress() const { return m_active.size(); }
  const request_counters& counts() const { return m_counts; }

private:
  /// A request that has arrived and is not yet answered.
  struct active_request {
    routed_request request;
    std::string route_name;
    std::string service;
    std::string team; ///< empty if the request has no API key
    /// Presumed to be a nested call made by the local target: if there are
    /// teams, callers other than targets have a key.
    bool nested = false;
    bool counted_as_nested = false; ///< by the target stage, until the end
    std::uint64_t digest = 0;       ///< of method, host, path, team and body
    bool took_quota_token = false;
    bool caller_disconnected = false;
    instant arrived_at{0};
    instant deadline{0};
    std::shared_ptr<dispatch_job> job;
    outcome_handler handler;
  };
  using active_request_ptr = std::shared_ptr<active_request>;

  bool refuses(const routed_request& r) const;
  void admit(const active_request_ptr& e);
  void finish(const active_request_ptr& e, outcome o);
  void log_result(const active_request& e, const outcome& o);
  const std::string& choose_service(const host_route& route);
  wire::callT make_call(active_request& e, const host_route& route,
                        const team_settings* team) const;
  std::chrono::milliseconds retry_after_for(const active_request& e) const;

  dependencies m_dependencies;
  const clock_reading& m_clock;
  rate_limiter m_rate_limiter;
  request_counters m_counts;
  outcome_summary m_summary;
  /// Credit of each service for smooth weighted round robin, by route, in
  /// requests.
  std::map<std::string, std::map<std::string, double>> m_round_robin_credit;
  /// A pipelined connection has several.
  std::unordered_multimap<std::uint64_t, active_request_ptr> m_by_connection;
  std::unordered_set<active_request_ptr> m_active;
  instant m_answer_by = instant::max();
  bool m_refusing_new = false;
  bool m_ended = false;
};

} // namespace kingcupslip

#endif
