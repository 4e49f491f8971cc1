// Builds the keys of configuration rows and converts their values to and from
// JSON.
#include "kingcupslip/core/config_rows.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::size_t sequence_digits = 12;

} // namespace

std::string to_json(const config_change& c) {
  return json{{"key", c.item.key},
              {"value", c.item.value},
              {"sequence", c.item.sequence},
              {"operation", c.operation}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

config_change parse_change(std::string_view json_text) {
  config_change out;
  const json value = json::parse(json_text, nullptr, false);
  out.item.key = text_field(value, "key");
  out.item.value = text_field(value, "value");
  out.item.sequence = unsigned_field(value, "sequence");
  out.operation = text_field(value, "operation");
  return out;
}

std::string config_log_key(std::uint64_t sequence) {
  const std::string digits = std::to_string(sequence);
  const std::size_t zeros =
      digits.size() < sequence_digits ? sequence_digits - digits.size() : 0;
  return std::string(config_log_prefix) + std::string(zeros, '0') + digits;
}

std::string config_operation_key(const std::string& operation) {
  return std::string(config_operation_prefix) + operation;
}

std::string config_item_key(const std::string& key) {
  return std::string(config_item_prefix) + key;
}

std::string head_to_json(std::uint64_t sequence) {
  return json{{"sequence", sequence}}.dump();
}

std::uint64_t parse_head(std::string_view json_text) {
  const json value = json::parse(json_text, nullptr, false);
  return unsigned_field(value, "sequence");
}

} // namespace kingcupslip
