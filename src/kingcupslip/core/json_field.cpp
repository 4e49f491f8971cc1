// Typed access to fields of JSON objects.
#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace kingcupslip {

namespace {

using nlohmann::json;

/// Larger ones are not exact in a double.
constexpr double max_exact_integer = 9007199254740992.0;

const json* find_field(const json& from, const char* name) {
  if (!from.is_object()) {
    return nullptr;
  }
  const json::const_iterator it = from.find(name);
  return it == from.end() ? nullptr : &*it;
}

} // namespace

std::string text_field(const json& from, const char* name) {
  const json* it = find_field(from, name);
  return it != nullptr && it->is_string() ? it->get<std::string>()
                                          : std::string();
}

std::uint64_t unsigned_field(const json& from, const char* name) {
  const json* it = find_field(from, name);
  if (it == nullptr || !it->is_number()) {
    return 0;
  }
  if (it->is_number_unsigned()) {
    return it->get<std::uint64_t>();
  }
  const double value = it->get<double>();
  const bool is_exact =
      value >= 0 && value <= max_exact_integer && value == std::floor(value);
  return is_exact ? static_cast<std::uint64_t>(value) : 0;
}

bool bool_field(const json& from, const char* name) {
  const json* it = find_field(from, name);
  return it != nullptr && it->is_boolean() && it->get<bool>();
}

} // namespace kingcupslip
