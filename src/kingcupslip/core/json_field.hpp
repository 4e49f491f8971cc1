// Fields of JSON objects that other processes have written.
#ifndef KINGCUPSLIP_CORE_JSON_FIELD_HPP
#define KINGCUPSLIP_CORE_JSON_FIELD_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// Parses text that another process has written, which may be no JSON, or JSON
/// whose values take far more memory than the text. The result is discarded if
/// it cannot be parsed, is nested deeply or has too many values.
nlohmann::json parse_foreign_json(std::string_view text);

/// Each of these returns an empty value if `from` is no object, or if the
/// field is absent or of another type. They do not throw, unlike
/// `json::value`, which does so for a field of another type.
std::string text_field(const nlohmann::json& from, const char* name);
std::uint64_t unsigned_field(const nlohmann::json& from, const char* name);
bool bool_field(const nlohmann::json& from, const char* name);

} // namespace kingcupslip

#endif
