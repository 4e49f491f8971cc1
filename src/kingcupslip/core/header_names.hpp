// The HTTP header fields that nodes give a meaning to.
#ifndef KINGCUPSLIP_CORE_HEADER_NAMES_HPP
#define KINGCUPSLIP_CORE_HEADER_NAMES_HPP

#include "kingcupslip/core/outcome.hpp"

#include <string_view>
#include <vector>

namespace kingcupslip {

namespace header_names {

constexpr std::string_view authorization = "Authorization";
constexpr std::string_view idempotency_key = "Idempotency-Key";
constexpr std::string_view timeout_ms = "Kingcupslip-Timeout-Ms";
constexpr std::string_view context = "Kingcupslip-Context";
constexpr std::string_view verdict = "Kingcupslip-Verdict";
constexpr std::string_view request_id = "Kingcupslip-Request-Id";

} // namespace header_names

/// Compares header names, which ignore case.
bool same_header_name(std::string_view a, std::string_view b);

/// The first field of a name; null where there is none.
const header* find_header(const std::vector<header>& headers,
                          std::string_view name);

/// Its value; empty where there is none.
std::string_view header_value(const std::vector<header>& headers,
                              std::string_view name);

/// Whether a field concerns one connection only.
bool is_hop_by_hop(std::string_view name);

/// Whether a caller's field may go on to a target: hop-by-hop fields, keys
/// and the fields that nodes set themselves may not.
bool is_forwarded_to_target(std::string_view name);

/// Whether a target's field may go back to the caller.
bool is_forwarded_to_caller(std::string_view name);

} // namespace kingcupslip

#endif
