// Settings of a node that routes by host and path, as a validated YAML file.
#ifndef KINGCUPSLIP_DAEMON_ROUTED_SETTINGS_HPP
#define KINGCUPSLIP_DAEMON_ROUTED_SETTINGS_HPP

#include "kingcupslip/core/locality.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <boost/outcome.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace kingcupslip {

/// Settings of a routed node.
struct routed_settings {
  std::string source_text; ///< the text read last, to detect changes
  std::string node;
  std::string data_centre;
  std::string service;
  listen_address target;
  listen_address callers;
  listen_address readiness;
  listen_address announcements;
  listen_address peers;
  listen_address metrics;
  listen_address store;
  std::string fleet_secret;
  log_format log = log_format::json;
  /// Time between two announcements of a target.
  std::chrono::milliseconds announce_period{1500};
  /// Time from SIGTERM until the process is killed.
  std::chrono::milliseconds grace_period{6000};
  /// Retries per service over the whole fleet: a fraction of its requests
  /// (`retry_part`), plus a fixed number (`retry_slack`).
  double retry_part = 0.2;
  double retry_slack = 48;
  /// Part of a service's requests that a version under test may get; 0: no
  /// roll-outs.
  double rollout_share = 0;
  /// Requests of one connection that are handled at a time; 1: each waits for
  /// the answer to the one before.
  std::int64_t pipelined_requests = 1;
  locality_mode locality = locality_mode::threshold;
  /// Of an operator, for each request that leaves the data centre, in time that
  /// a caller may wait instead.
  std::chrono::milliseconds leaving_cost{0};
  /// That the process may have open.
  std::int64_t file_descriptors = 8192;
};

/// Connections that callers may have open. The other descriptors remain for the
/// target, other nodes and files, without which no caller can be served.
std::size_t max_caller_connections(const routed_settings& s);

using routed_settings_result =
    boost::outcome_v2::result<routed_settings, settings_errors,
                              boost::outcome_v2::policy::terminate>;

/// Parses settings from YAML text. Reports every error, unknown keys
/// included.
routed_settings_result parse_routed_settings(const std::string& yaml_text);

} // namespace kingcupslip

#endif
