// Conversion of YAML to JSON. The form of a plain scalar determines its type,
// as in YAML's core schema.
#include "kingcupslip/cli/yaml_to_json.hpp"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace kingcupslip {

namespace {

using nlohmann::json;

json scalar_to_json(const YAML::Node& n) {
  const std::string& text = n.Scalar();
  if (n.Tag() == "!") {
    // A quoted scalar is a string, whatever its form.
    return text;
  }
  if (text == "true" || text == "false") {
    return text == "true";
  }
  const json parsed = json::parse(text, nullptr, false);
  return parsed.is_number() ? parsed : json(text);
}

json node_to_json(const YAML::Node& n) {
  if (n.IsMap()) {
    json out = json::object();
    for (auto it = n.begin(); it != n.end(); ++it) {
      out[it->first.Scalar()] = node_to_json(it->second);
    }
    return out;
  }
  if (n.IsSequence()) {
    json out = json::array();
    for (const YAML::Node& it : n) {
      out.push_back(node_to_json(it));
    }
    return out;
  }
  return n.IsScalar() ? scalar_to_json(n) : json();
}

} // namespace

std::optional<std::string> yaml_to_json(const std::string& yaml_text,
                                        std::string& error_message) {
  try {
    return node_to_json(YAML::Load(yaml_text)).dump();
  } catch (const YAML::Exception& e) {
    error_message = "line " + std::to_string(e.mark.line + 1) + ": " + e.msg;
    return std::nullopt;
  }
}

} // namespace kingcupslip
