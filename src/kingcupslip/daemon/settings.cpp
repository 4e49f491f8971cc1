// Parsing and validation of the settings file.
#include "kingcupslip/daemon/settings.hpp"

#include "kingcupslip/daemon/settings_reader.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr std::int64_t max_duration_ms = 3'600'000;

void read_seeds(map_reader& in, node_settings& out, settings_errors& errors) {
  const YAML::Node list = in.child("seeds");
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence()) {
    in.add_error("seeds", list, "a list of {node, address}");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    map_reader seed(list[i], "seeds[" + std::to_string(i) + "].", errors);
    seed_node s;
    s.node = seed.name("node");
    const listen_address a = seed.address("address");
    s.address = a.ip + ":" + std::to_string(a.port);
    seed.reject_unknown_keys();
    out.seeds.push_back(s);
  }
}

void read_limits(map_reader& in, node_settings& out, settings_errors& errors) {
  map_reader limits(in.child("limits"), "limits.", errors);
  server_limits& l = out.limits;
  l.max_header_bytes = static_cast<std::size_t>(limits.integer(
      "head_bytes", static_cast<std::int64_t>(l.max_header_bytes), 1024,
      1 << 20));
  l.max_body_bytes = static_cast<std::size_t>(
      limits.integer("body_bytes", static_cast<std::int64_t>(l.max_body_bytes),
                     1024, 8 << 20));
  l.max_connections = static_cast<std::size_t>(limits.integer(
      "connections", static_cast<std::int64_t>(l.max_connections), 1, 100'000));
  l.request_timeout = std::chrono::milliseconds(limits.integer(
      "request_ms", l.request_timeout.count(), 10, max_duration_ms));
  l.idle_timeout = std::chrono::milliseconds(
      limits.integer("idle_ms", l.idle_timeout.count(), 10, max_duration_ms));
  out.max_in_flight = static_cast<std::size_t>(
      limits.integer("target_in_flight", 1000, 1, 100'000));
  limits.reject_unknown_keys();
}

} // namespace

settings_result parse_settings(const std::string& yaml_text) {
  settings_errors errors;
  const std::optional<YAML::Node> root = load_settings_map(yaml_text, errors);
  if (!root) {
    return errors;
  }
  node_settings out;
  map_reader in(*root, "", errors);
  out.node = in.name("node");
  out.data_centre = in.name("data_centre");
  out.service = in.name("service");
  out.target = in.address("target");
  out.callers = in.address("callers");
  out.peers = in.address("peers");
  out.announcements = in.address("announcements");
  out.admin = in.address("admin");
  out.table = in.http_url("table_url");
  out.fleet_secret = in.secret("fleet_secret");
  out.operator_token = in.secret("operator_token");
  read_seeds(in, out, errors);
  out.log = in.choice("log", {"json", "text"}) == 0 ? log_format::json
                                                    : log_format::text;
  out.unconfirmed = in.choice("unconfirmed_keys", {"serve", "refuse"}) == 0
                        ? unconfirmed_keys::serve
                        : unconfirmed_keys::refuse;
  out.confirmed_within = std::chrono::milliseconds(
      in.integer("confirmed_within_ms", 60'000, 1000, max_duration_ms));
  out.drain_limit = std::chrono::milliseconds(
      in.integer("drain_limit_ms", 20'000, 2000, max_duration_ms));
  out.pool_threads =
      static_cast<std::uint32_t>(in.integer("pool_threads", 2, 1, 64));
  read_limits(in, out, errors);
  in.reject_unknown_keys();
  if (!errors.empty()) {
    sort_errors(errors);
    return errors;
  }
  return out;
}

std::string to_text(const settings_errors& errors, const std::string& file) {
  std::string out;
  for (const settings_error& it : errors) {
    out += file + ":" + std::to_string(it.line) + ": ";
    out += it.key.empty() ? "" : it.key + ": ";
    out +=
        it.expected == "no such key" ? it.expected : "expected " + it.expected;
    out += "\n";
  }
  return out;
}

} // namespace kingcupslip
