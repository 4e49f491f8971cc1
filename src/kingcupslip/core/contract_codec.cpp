// Reads contracts from JSON, with validation, and writes them.
#include "kingcupslip/core/contract_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 63;
constexpr double max_rate_per_s = 1e7;
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_retries = 10;
constexpr std::int64_t max_timeout_ms = 600'000;

/// Reads the fields of one JSON object and records an error for each invalid
/// field. A field that was never read is an unknown key.
class object_reader {
public:
  object_reader(const json& object, std::string key_prefix,
                document_errors& errors)
      : m_object(object), m_key_prefix(std::move(key_prefix)),
        m_errors(errors) {}

  std::string string_field(const char* key, std::string fallback,
                           bool required) {
    const json* it = find(key, required, "a string");
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_string()) {
      add_error(key, "a string");
      return fallback;
    }
    return it->get<std::string>();
  }

  bool bool_field(const char* key, bool fallback) {
    const json* it = find(key, false, "");
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_boolean()) {
      add_error(key, "true or false");
      return fallback;
    }
    return it->get<bool>();
  }

  double number_field(const char* key, double fallback, double min_value,
                      double max_value, bool required) {
    const std::string expected = "a number from " + json(min_value).dump() +
                                 " to " + json(max_value).dump();
    const json* it = find(key, required, expected);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_number() || it->get<double>() < min_value ||
        it->get<double>() > max_value) {
      add_error(key, expected);
      return fallback;
    }
    return it->get<double>();
  }

  const json* array_field(const char* key) {
    const json* it = find(key, true, "a list");
    if (it != nullptr && !it->is_array()) {
      add_error(key, "a list");
      return nullptr;
    }
    return it;
  }

  void add_error(const std::string& key, const std::string& expected) {
    m_errors.push_back({m_key_prefix + key, expected});
  }

  void reject_unknown_keys() {
    for (json::const_iterator it = m_object.begin(); it != m_object.end();
         ++it) {
      if (std::find(m_known_keys.begin(), m_known_keys.end(), it.key()) ==
          m_known_keys.end()) {
        add_error(it.key(), "no such key");
      }
    }
  }

private:
  const json* find(const char* key, bool required,
                   const std::string& expected) {
    m_known_keys.emplace_back(key);
    const json::const_iterator it = m_object.find(key);
    if (it != m_object.end()) {
      return &*it;
    }
    if (required) {
      add_error(key, expected);
    }
    return nullptr;
  }

  const json& m_object;
  std::string m_key_prefix;
  document_errors& m_errors;
  std::vector<std::string> m_known_keys;
};

std::optional<priority> priority_from(std::string_view name) {
  for (std::size_t i = 0; i < priority_count; ++i) {
    const priority p = static_cast<priority>(i);
    if (name_of(p) == name) {
      return p;
    }
  }
  return std::nullopt;
}

std::optional<patience> patience_from(std::string_view name) {
  for (const patience p : {patience::patient, patience::impatient}) {
    if (name_of(p) == name) {
      return p;
    }
  }
  return std::nullopt;
}

contract_route read_route(const json& object, const std::string& location,
                          document_errors& errors) {
  contract_route out;
  if (!object.is_object()) {
    errors.push_back({location, "an object"});
    return out;
  }
  object_reader in(object, location + ".", errors);
  out.service = in.string_field("service", "", true);
  if (!is_valid_name(out.service)) {
    in.add_error("service", "1 to 63 of a-z, 0-9 and -");
  }
  out.path_prefix = in.string_field("path", "/", false);
  if (out.path_prefix.empty() || out.path_prefix.front() != '/') {
    in.add_error("path", "a path that begins with /");
  }
  out.idempotent = in.bool_field("idempotent", true);
  out.open = in.bool_field("open", false);
  const std::string rank = in.string_field("priority", "normal", false);
  if (const std::optional<priority> p = priority_from(rank)) {
    out.rank = *p;
  } else {
    in.add_error("priority", "critical, high, normal or low");
  }
  const std::string wait = in.string_field("wait", "patient", false);
  if (const std::optional<patience> p = patience_from(wait)) {
    out.wait = *p;
  } else {
    in.add_error("wait", "patient or impatient");
  }
  out.timeout = std::chrono::milliseconds(static_cast<std::int64_t>(
      in.number_field("timeout_ms", 5000, 1, max_timeout_ms, false)));
  out.min_share_percent = static_cast<std::uint32_t>(
      in.number_field("min_share_percent", 0, 0, 50, false));
  in.reject_unknown_keys();
  return out;
}

json route_to_json(const contract_route& r) {
  return json{{"service", r.service},
              {"path", r.path_prefix},
              {"idempotent", r.idempotent},
              {"open", r.open},
              {"priority", name_of(r.rank)},
              {"wait", name_of(r.wait)},
              {"timeout_ms", r.timeout.count()},
              {"min_share_percent", r.min_share_percent}};
}

} // namespace

bool is_valid_name(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !name.empty() && name.size() <= max_name_length &&
         std::all_of(name.begin(), name.end(), allowed);
}

contract_result parse_contract(std::string_view json_text) {
  document_errors errors;
  const json object = json::parse(json_text, nullptr, false);
  if (!object.is_object()) {
    errors.push_back({"", "a JSON object"});
    return errors;
  }
  contract out;
  object_reader in(object, "", errors);
  out.team = in.string_field("team", "", true);
  if (!is_valid_name(out.team)) {
    in.add_error("team", "1 to 63 of a-z, 0-9 and -");
  }
  out.rate_per_s = in.number_field("rate_per_s", 1, 0.1, max_rate_per_s, true);
  out.burst = in.number_field("burst", 1, 1, max_rate_per_s, true);
  out.weight = static_cast<std::uint32_t>(
      in.number_field("weight", 1, 1, max_weight, false));
  out.retries = static_cast<std::uint32_t>(
      in.number_field("retries", 2, 0, max_retries, false));
  if (const json* routes = in.array_field("routes")) {
    for (std::size_t i = 0; i < routes->size(); ++i) {
      const std::string location = "routes[" + std::to_string(i) + "]";
      out.routes.push_back(read_route((*routes)[i], location, errors));
    }
  }
  in.reject_unknown_keys();
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

std::string to_json(const contract& c) {
  json routes = json::array();
  for (const contract_route& it : c.routes) {
    routes.push_back(route_to_json(it));
  }
  return json{{"team", c.team},       {"rate_per_s", c.rate_per_s},
              {"burst", c.burst},     {"weight", c.weight},
              {"retries", c.retries}, {"routes", routes}}
      .dump();
}

} // namespace kingcupslip
