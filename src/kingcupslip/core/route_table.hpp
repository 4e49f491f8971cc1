// The fleet's routes, services and teams, as operators wrote them.
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

/// One of the services that a route's requests are spread over.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// A route, matched by host and longest path prefix.
struct host_route {
  std::string name;
  std::string host;
  std::string path_prefix; ///< begins and ends with a slash
  std::vector<weighted_service> services;
  bool idempotent = false;
  bool open = false; ///< needs no key
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds latency_target{1000};
  std::uint32_t max_targets = 1; ///< for one request, retries included
  std::uint32_t urgency = 0;     ///< 0 is the most urgent
};

struct service_settings {
  std::chrono::milliseconds cold_start{0};
  double cold_requests_per_s =
      0; ///< requests that a cold target bears; 0: no limit
  std::size_t max_connections = 0; ///< of one target; 0: no limit
};

struct team_settings {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> urgency; ///< goes before the route's
  double rate_per_s = 0;                ///< over the whole fleet; 0: no limit
  double burst = 0;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
  std::size_t head_bytes = 16UL * 1024;
  std::size_t body_bytes = 64UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Rank for the admission queue: urgencies beyond the last rank share it.
priority priority_of_urgency(std::uint32_t urgency);

/// One version of the desired state; never changed once it is in force.
class route_table {
public:
  struct content {
    std::string version; ///< as operators name it, for logs
    std::vector<host_route> routes;
    std::map<std::string, service_settings> services;
    std::vector<team_settings> teams;
    caller_limits limits;
  };

  explicit route_table(content c);

  const std::string& version() const { return m_content.version; }
  const std::vector<host_route>& routes() const { return m_content.routes; }
  const std::vector<team_settings>& teams() const { return m_content.teams; }
  const caller_limits& limits() const { return m_content.limits; }

  /// The route of a request, or null. The host's port and case are ignored.
  const host_route* find_route(std::string_view host,
                               std::string_view path) const;
  /// The team that holds the key, or null.
  const team_settings* find_key(const std::string& key) const;
  /// Null for a service that is not named.
  const service_settings* find_service(const std::string& name) const;

private:
  content m_content;
  std::unordered_map<std::string, std::vector<std::size_t>> m_by_host;
  std::unordered_map<std::string, std::size_t> m_by_key;
};

} // namespace kingcupslip

#endif
