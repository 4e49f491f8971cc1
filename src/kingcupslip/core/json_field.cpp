// Typed access to fields of JSON objects.
#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstddef>

namespace kingcupslip {

namespace {

using nlohmann::json;

/// Larger ones are not exact in a double.
constexpr double max_exact_integer = 9007199254740992.0;

constexpr std::size_t max_depth = 64;
/// Far above a page of rows or the rows of a whole fleet.
constexpr std::size_t max_values = 500'000;

/// Reads text without keeping it, as far as it is JSON and within the bounds.
class bounds_check : public nlohmann::json_sax<json> {
public:
  bool null() override { return add_value(); }
  bool boolean(bool) override { return add_value(); }
  bool number_integer(number_integer_t) override { return add_value(); }
  bool number_unsigned(number_unsigned_t) override { return add_value(); }
  bool number_float(number_float_t, const string_t&) override {
    return add_value();
  }
  bool string(string_t&) override { return add_value(); }
  bool binary(binary_t&) override { return add_value(); }
  bool key(string_t&) override { return add_value(); }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

private:
  bool add_value() { return ++m_values <= max_values; }
  bool enter() { return ++m_depth <= max_depth && add_value(); }
  bool leave() {
    --m_depth;
    return true;
  }

  std::size_t m_values = 0;
  std::size_t m_depth = 0;
};

const json* find_field(const json& from, const char* name) {
  if (!from.is_object()) {
    return nullptr;
  }
  const json::const_iterator it = from.find(name);
  return it == from.end() ? nullptr : &*it;
}

} // namespace

json parse_foreign_json(std::string_view text) {
  bounds_check check;
  const bool within_bounds = json::sax_parse(text.begin(), text.end(), &check);
  return within_bounds ? json::parse(text.begin(), text.end(), nullptr, false)
                       : json(json::value_t::discarded);
}

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
