// Decoding of the query and encoding of the preview.
#include "kingcupslip/daemon/route_preview_json.hpp"

#include "kingcupslip/core/http_status.hpp"
#include "kingcupslip/daemon/daemon_common.hpp"

#include <cpprest/base_uri.h>
#include <nlohmann/json.hpp>

#include <exception>
#include <map>
#include <string_view>

namespace kingcupslip {

namespace {

using nlohmann::json;

/// Null if the query cannot be decoded.
std::optional<std::map<std::string, std::string>>
decode_query(const std::string& query) {
  try {
    std::map<std::string, std::string> out;
    for (const std::pair<const std::string, std::string>& it :
         web::uri::split_query(query)) {
      out[web::uri::decode(it.first)] = web::uri::decode(it.second);
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json to_json(const previewed_service& s) {
  json targets = json::array();
  for (const previewed_target& it : s.targets) {
    targets.push_back({{"node", it.node},
                       {"data_centre", it.data_centre},
                       {"version", it.version},
                       {"limit", it.limit},
                       {"load", it.load},
                       {"relative_load", it.relative_load},
                       {"left_out", it.left_out}});
  }
  return {{"service", s.name},
          {"weight", s.weight},
          {"leaving", s.leaving},
          {"targets", std::move(targets)}};
}

outcome json_response(std::uint16_t status, const json& body) {
  return plain_response(status, "application/json", body.dump() + "\n");
}

} // namespace

outcome answer_route_preview(const routed_node& n,
                             const std::string& request_target) {
  const std::optional<std::map<std::string, std::string>> query = decode_query(
      request_target.substr(std::string_view(route_preview_path).size()));
  if (!query || query->count("host") == 0 || query->count("path") == 0) {
    return json_response(http_status::bad_request,
                         {{"error", "a host and a path are needed"}});
  }
  const auto team = query->find("team");
  const route_preview p = n.preview(team == query->end() ? "" : team->second,
                                    query->at("host"), query->at("path"));
  if (p.unknown_team || p.refused_for == reason::unknown_service) {
    return json_response(
        http_status::not_found,
        {{"error", p.unknown_team ? "no such team" : "no such route"}});
  }
  json services = json::array();
  for (const previewed_service& it : p.services) {
    services.push_back(to_json(it));
  }
  json out{{"node", n.members().self().info.node},
           {"route", p.route},
           {"team", p.team},
           {"refused_for", info_of(p.refused_for).name},
           {"time_limit_ms", p.time_limit.count()},
           {"max_targets", p.max_targets},
           {"idempotent", p.idempotent},
           {"services", std::move(services)}};
  if (p.quota_tokens) {
    out["quota_tokens"] = *p.quota_tokens;
    out["quota_rate_per_s"] = *p.quota_rate_per_s;
  }
  return json_response(http_status::ok, out);
}

} // namespace kingcupslip
