// The resources of the administration API.
#include "kingcupslip/daemon/admin_service.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/json_field.hpp"
#include "kingcupslip/core/text.hpp"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::size_t secret_bytes = 24;
constexpr std::size_t id_bytes = 6;
constexpr std::string_view api_prefix = "/v1/";

admin_response json_response(std::uint16_t status, const json& body) {
  // Names in paths may be no UTF-8.
  return {status, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

admin_response error_response(std::uint16_t status, const std::string& what) {
  return json_response(status, json{{"error", what}});
}

std::string random_hex(std::size_t bytes) {
  std::vector<unsigned char> raw(bytes);
  RAND_bytes(raw.data(), static_cast<int>(raw.size()));
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (const unsigned char b : raw) {
    out += digits[b >> 4U];
    out += digits[b & 15U];
  }
  return out;
}

/// The segments after the prefix, as a, b and c of "/v1/a/b/c"; none if the
/// path lacks the prefix.
std::vector<std::string> path_segments(const std::string& path) {
  std::vector<std::string> out;
  if (path.substr(0, api_prefix.size()) != api_prefix) {
    return out;
  }
  std::size_t begin = api_prefix.size();
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    out.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return out;
}

json faults_to_json(const document_errors& faults) {
  json out = json::array();
  for (const document_error& it : faults) {
    out.push_back({{"key", it.key}, {"expected", it.expected}});
  }
  return out;
}

json counts_to_json(const request_counters& counts) {
  return json::parse(counts.to_json());
}

} // namespace

admin_service::admin_service(node& n, std::string operator_token,
                             event_sink log)
    : m_node(n), m_operator_token(std::move(operator_token)),
      m_log(std::move(log)) {}

void admin_service::handle(const admin_request& request,
                           admin_handler handler) {
  const std::string expected = "Bearer " + m_operator_token;
  // Hashes have equal lengths, so that the comparison does not even reveal the
  // token's length.
  if (!equal_in_constant_time(sha256_hex(request.authorization),
                              sha256_hex(expected))) {
    m_log(event_id::admin_refused,
          {{"method", request.method}, {"path", request.path}});
    handler(error_response(401, "the operators' token is needed"));
    return;
  }
  const std::vector<std::string> segments = path_segments(request.path);
  const std::string first = segments.empty() ? "" : segments[0];
  const std::string second = segments.size() > 1 ? segments[1] : "";
  const std::string third = segments.size() > 2 ? segments[2] : "";
  if (first == "contracts") {
    handle_contracts(request, second, handler);
  } else if (first == "keys") {
    handle_keys(request, second, handler);
  } else if (first == "out") {
    handle_out_marks(request, second, third, handler);
  } else if (first == "status" && request.method == "GET") {
    send_status(handler);
  } else if (first == "report" && request.method == "GET") {
    send_report(handler);
  } else {
    handler(error_response(404, "no such resource"));
  }
}

void admin_service::handle_contracts(const admin_request& r,
                                     const std::string& team,
                                     const admin_handler& handler) {
  if (r.method == "GET" && team.empty()) {
    json list = json::array();
    for (const std::pair<const std::string, contract>& it :
         m_node.config().contracts()) {
      list.push_back(json::parse(to_json(it.second)));
    }
    handler(json_response(200, list));
    return;
  }
  if (r.method == "GET") {
    const contract* c = m_node.config().find_contract(team);
    if (c == nullptr) {
      handler(error_response(404, "no such contract"));
      return;
    }
    const config_item* item = m_node.config().find("contract/" + team);
    handler(json_response(200, {{"contract", json::parse(to_json(*c))},
                                {"sequence", item->sequence}}));
    return;
  }
  if (r.method != "PUT") {
    handler(error_response(405, "GET or PUT"));
    return;
  }
  const contract_result parsed = parse_contract(r.body);
  if (!parsed.has_value()) {
    handler(json_response(400, {{"error", "the contract has faults"},
                                {"faults", faults_to_json(parsed.error())}}));
    return;
  }
  if (parsed.value().team != team) {
    handler(error_response(400, "the contract is of another team"));
    return;
  }
  write_item(r, "contract/" + team, to_json(parsed.value()), "", handler);
}

void admin_service::handle_keys(const admin_request& r, const std::string& id,
                                const admin_handler& handler) {
  if (r.method == "GET") {
    json list = json::array();
    for (const api_key& it : m_node.config().keys()) {
      list.push_back(
          {{"id", it.id}, {"team", it.team}, {"withdrawn", it.withdrawn}});
    }
    handler(json_response(200, list));
  } else if (r.method == "POST" && id.empty()) {
    issue_key(r, handler);
  } else if (r.method == "DELETE" && !id.empty()) {
    withdraw_key(r, id, handler);
  } else {
    handler(error_response(405, "GET, POST or DELETE"));
  }
}

void admin_service::issue_key(const admin_request& r,
                              const admin_handler& handler) {
  const json body = json::parse(r.body, nullptr, false);
  const std::string team = text_field(body, "team");
  if (m_node.config().find_contract(team) == nullptr) {
    handler(error_response(404, "no contract for that team"));
    return;
  }
  const std::string id = "k" + random_hex(id_bytes);
  const std::string secret = "kcs_" + random_hex(secret_bytes);
  const std::string value = json{
      {"team", team},
      {"secret_hash", sha256_hex(secret)},
      {"withdrawn", false}}.dump();
  admin_request one_time_request = r;
  // A repeat could not show the secret again, so each request is an operation
  // of its own. A lost response leaves a key whose secret nobody knows.
  one_time_request.operation.clear();
  write_item(one_time_request, "key/" + id, value,
             json{{"id", id}, {"team", team}, {"secret", secret}}.dump(),
             handler);
}

void admin_service::withdraw_key(const admin_request& r, const std::string& id,
                                 const admin_handler& handler) {
  const config_item* item = m_node.config().find("key/" + id);
  if (item == nullptr) {
    handler(error_response(404, "no such key"));
    return;
  }
  json value = json::parse(item->value, nullptr, false);
  if (!value.is_object()) {
    handler(error_response(500, "the key's row cannot be read"));
    return;
  }
  value["withdrawn"] = true;
  write_item(r, "key/" + id, value.dump(), json{{"id", id}}.dump(), handler);
}

void admin_service::handle_out_marks(const admin_request& r,
                                     const std::string& kind,
                                     const std::string& name,
                                     const admin_handler& handler) {
  const bool known = kind == "data-centre" || kind == "target";
  if (r.method == "GET" && known) {
    json list = json::array();
    const std::string prefix = "out/" + kind + "/";
    for (const config_item& it : m_node.config().items_after(0)) {
      const bool marked =
          starts_with(it.key, prefix) &&
          bool_field(json::parse(it.value, nullptr, false), "out");
      if (marked) {
        list.push_back(it.key.substr(prefix.size()));
      }
    }
    handler(json_response(200, list));
    return;
  }
  if (!known || !is_valid_name(name)) {
    handler(error_response(404, "no such resource"));
    return;
  }
  if (r.method != "PUT" && r.method != "DELETE") {
    handler(error_response(405, "GET, PUT or DELETE"));
    return;
  }
  const bool out = r.method == "PUT";
  write_item(r, "out/" + kind + "/" + name, json{{"out", out}}.dump(),
             json{{"name", name}, {"out", out}}.dump(), handler);
}

void admin_service::send_status(const admin_handler& handler) const {
  const std::uint64_t sequence = m_node.config().sequence();
  json members = json::array();
  for (const std::pair<const std::string, member>& it :
       m_node.members().all()) {
    const member& m = it.second;
    members.push_back({{"node", it.first},
                       {"data_centre", m.info.data_centre},
                       {"service", m.info.service},
                       {"state", name_of(m.state())},
                       {"ready", m.info.ready},
                       {"limit", m.info.limit},
                       {"key_slots", m.info.slots.size()},
                       {"config_sequence", m.config_sequence}});
  }
  const double age_s =
      static_cast<double>(m_node.sync().age(m_node.clock().now).count()) / 1e6;
  handler(json_response(200, {{"node", m_node.options().self.node},
                              {"config_sequence", sequence},
                              {"config_age_s", age_s},
                              {"draining", m_node.draining()},
                              {"members", members}}));
}

void admin_service::send_report(const admin_handler& handler) {
  m_node.collect_report([handler](const fleet_report& r) {
    handler(json_response(200, {{"rows", counts_to_json(r.counts)},
                                {"unreachable", r.unreachable},
                                {"table_read", r.table_read}}));
  });
}

void admin_service::write_item(const admin_request& r, const std::string& key,
                               const std::string& value,
                               const std::string& response_json,
                               const admin_handler& handler) {
  change_request change;
  change.key = key;
  change.value = value;
  change.operation =
      r.operation.empty() ? random_hex(id_bytes * 2) : r.operation;
  if (!r.if_match.empty()) {
    std::uint64_t expected = 0;
    std::from_chars(r.if_match.data(), r.if_match.data() + r.if_match.size(),
                    expected);
    change.expected_sequence = expected;
  }
  const event_sink log = m_log;
  const std::string operation = change.operation;
  m_node.write_config(change, [handler, response_json, log, key,
                               operation](const write_result& w) {
    if (w.status == write_status::accepted) {
      json body =
          response_json.empty() ? json::object() : json::parse(response_json);
      body["accepted"] = true;
      body["sequence"] = w.sequence;
      body["operation"] = operation;
      log(event_id::admin_change, {{"key", key}});
      handler(json_response(200, body));
    } else if (w.status == write_status::conflict) {
      handler(json_response(409, {{"error", "another change came first"},
                                  {"sequence", w.current.sequence},
                                  {"current", w.current.value}}));
    } else {
      handler(
          json_response(503, {{"error", "the table service did not answer; "
                                        "repeat with the same operation id"},
                              {"operation", operation}}));
    }
  });
}

} // namespace kingcupslip
