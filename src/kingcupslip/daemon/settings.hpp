// A node's settings: a YAML file that is validated before the node starts.
#ifndef KINGCUPSLIP_DAEMON_SETTINGS_HPP
#define KINGCUPSLIP_DAEMON_SETTINGS_HPP

#include "kingcupslip/core/entry_stage.hpp"
#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/net/http_server.hpp"

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcupslip {

/// One error in a settings file.
struct settings_error {
  int line = 0;         ///< from 1; 0 if the error concerns the whole file
  std::string key;      ///< with the keys around it, as in `limits.body_bytes`
  std::string expected; ///< describes a valid value, or says "no such key"
};

/// An IP address and port, of a listener or a service.
struct listen_address {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Another node, through which a node joins the fleet.
struct seed_node {
  std::string node;
  std::string address;
};

enum class log_format : std::uint8_t { json, text };

/// Settings of a node.
struct node_settings {
  std::string node;
  std::string data_centre;
  std::string service;
  listen_address target;
  listen_address callers;
  listen_address peers;
  listen_address announcements;
  listen_address admin;
  listen_address table; ///< of the table service
  std::string fleet_secret;
  std::string operator_token;
  std::vector<seed_node> seeds;
  log_format log = log_format::json;
  unconfirmed_keys unconfirmed = unconfirmed_keys::serve;
  std::chrono::milliseconds confirmed_within{60'000};
  std::chrono::milliseconds drain_limit{20'000};
  std::size_t max_in_flight = 1000;
  std::uint32_t pool_threads = 2;
  server_limits limits;
};

using settings_errors = std::vector<settings_error>;

using settings_result =
    boost::outcome_v2::result<node_settings, settings_errors,
                              boost::outcome_v2::policy::terminate>;

/// Parses settings from YAML text. Reports every error, unknown keys
/// included.
settings_result parse_settings(const std::string& yaml_text);

/// "FILE:LINE: KEY: expected EXPECTED", one line per error.
std::string to_text(const settings_errors& errors, const std::string& file);

} // namespace kingcupslip

#endif
