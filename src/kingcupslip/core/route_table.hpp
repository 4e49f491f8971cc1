// The routes, services, teams and limits that operators set for the fleet.
#ifndef KINGCUPSLIP_CORE_ROUTE_TABLE_HPP
#define KINGCUPSLIP_CORE_ROUTE_TABLE_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// One of the services among which a route's requests are distributed.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// A route, matched by host and longest path prefix.
struct host_route {
  std::string name;
  std::string host;
  std::string path_prefix; ///< starts and ends with a slash
  std::vector<weighted_service> services;
  bool idempotent = false;
  bool open = false; ///< needs no key
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds latency_target{1000};
  std::uint32_t max_targets = 1; ///< per request, retries included
  std::uint32_t urgency = 0;     ///< 0 is the most urgent
};

/// Settings of a service that apply to each of its targets.
struct service_settings {
  std::chrono::milliseconds cold_start{0}; ///< how long a target stays cold
  /// Requests a second that a cold target can take; 0: no limit.
  double cold_requests_per_s = 0;
  std::size_t max_connections = 0; ///< of one target; 0: no limit
};

/// Settings of a team and the API keys that identify it.
struct team_settings {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> urgency; ///< overrides the route's
  double rate_per_s = 0;                ///< of the whole fleet; 0: no limit
  double burst = 0;
};

/// Limits on the size of a caller's request and the time to receive it.
struct caller_limits {
  std::size_t head_bytes = 16UL * 1024;
  std::size_t body_bytes = 64UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Priority in the admission queue. Urgencies beyond the lowest priority are
/// mapped to it.
priority priority_of_urgency(std::uint32_t urgency);

/// One version of the routes and settings. Immutable once constructed.
class route_table {
public:
  struct content {
    std::string version; ///< the operators' name for it, used in logs
    /// Rises with each version that operators write; 0: not numbered.
    std::uint64_t revision = 0;
    std::vector<host_route> routes;
    std::map<std::string, service_settings> services;
    std::vector<team_settings> teams;
    caller_limits limits;
  };

  explicit route_table(content c);

  const std::string& version() const { return m_content.version; }
  std::uint64_t revision() const { return m_content.revision; }
  const std::vector<host_route>& routes() const { return m_content.routes; }
  const std::vector<team_settings>& teams() const { return m_content.teams; }
  const caller_limits& limits() const { return m_content.limits; }

  /// The route of a request; null if there is none. The port and the case of
  /// the host are ignored.
  const host_route* find_route(std::string_view host,
                               std::string_view path) const;
  /// The team that the API key belongs to; null if there is none.
  const team_settings* find_key(const std::string& key) const;
  /// Null for a service without settings.
  const service_settings* find_service(const std::string& name) const;

private:
  content m_content;
  std::unordered_map<std::string, std::vector<std::size_t>> m_by_host;
  std::unordered_map<std::string, std::size_t> m_by_key;
};

} // namespace kingcupslip

#endif
