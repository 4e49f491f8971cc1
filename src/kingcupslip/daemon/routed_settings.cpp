// Parsing and validation of a routed node's settings.
#include "kingcupslip/daemon/routed_settings.hpp"

#include "kingcupslip/daemon/settings_reader.hpp"

#include <optional>

namespace kingcupslip {

namespace {

constexpr std::int64_t min_file_descriptors = 512;
constexpr std::int64_t max_file_descriptors = 1'000'000;
constexpr std::int64_t max_pipelined_requests = 256;
/// With more the new version would get the most of the requests, and could not
/// be compared with the current one.
constexpr double max_rollout_share = 0.5;
/// For files, listening sockets, timers and the store.
constexpr std::int64_t other_descriptors = 256;

} // namespace

routed_settings_result parse_routed_settings(const std::string& yaml_text) {
  settings_errors errors;
  const std::optional<YAML::Node> root = load_settings_map(yaml_text, errors);
  if (!root) {
    return errors;
  }
  routed_settings out;
  out.source_text = yaml_text;
  map_reader in(*root, "", errors);
  out.node = in.name("node");
  out.data_centre = in.name("data_centre");
  out.service = in.text("service", true);
  out.target = in.address("target");
  out.callers = in.address("callers");
  out.readiness = in.address("readiness");
  out.announcements = in.address("announcements");
  out.peers = in.address("peers");
  out.metrics = in.address("metrics");
  out.store = in.address("store");
  out.fleet_secret = in.secret("fleet_secret");
  out.log = in.choice("log", {"json", "text"}) == 0 ? log_format::json
                                                    : log_format::text;
  out.announce_period = in.seconds("announce_period_s", out.announce_period);
  out.grace_period = in.seconds("grace_period_s", out.grace_period);
  out.retry_part = in.non_negative_number("retry_part", out.retry_part);
  out.retry_slack = in.non_negative_number("retry_slack", out.retry_slack);
  out.rollout_share = in.non_negative_number("rollout_share", 0);
  out.pipelined_requests = in.integer(
      "pipelined_requests", out.pipelined_requests, 1, max_pipelined_requests);
  out.locality = in.choice("locality", {"threshold", "adaptive"}) == 0
                     ? locality_mode::threshold
                     : locality_mode::adaptive;
  out.leaving_cost = in.seconds("leaving_cost_s", out.leaving_cost);
  out.file_descriptors = in.integer("file_descriptors", out.file_descriptors,
                                    min_file_descriptors, max_file_descriptors);
  if (out.rollout_share >= max_rollout_share) {
    in.add_error("rollout_share", (*root)["rollout_share"],
                 "a number below 0.5");
  }
  in.reject_unknown_keys();
  if (!errors.empty()) {
    sort_errors(errors);
    return errors;
  }
  return out;
}

std::size_t max_caller_connections(const routed_settings& s) {
  const std::int64_t for_connections = s.file_descriptors - other_descriptors;
  return static_cast<std::size_t>(for_connections * 4 / 5);
}

} // namespace kingcupslip
