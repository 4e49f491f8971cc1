// Text helpers.
#ifndef KINGCUPSLIP_CORE_TEXT_HPP
#define KINGCUPSLIP_CORE_TEXT_HPP

#include <string>
#include <string_view>

namespace kingcupslip {

inline bool starts_with(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

/// Converts ASCII letters to lower case, regardless of the locale; other
/// characters are unchanged.
inline char ascii_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Joins names with commas, without spaces.
template <class Names> std::string join_with_commas(const Names& names) {
  std::string out;
  for (const std::string& it : names) {
    out += (out.empty() ? "" : ",") + it;
  }
  return out;
}

} // namespace kingcupslip

#endif
