// The HTTP header fields that nodes interpret, and which are forwarded.
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

/// Whether two header names are equal; they are case-insensitive.
bool same_header_name(std::string_view a, std::string_view b);

/// The first header field with this name, or null if there is none.
const header* find_header(const std::vector<header>& headers,
                          std::string_view name);

/// The value of the first header field with this name; empty if there is
/// none.
std::string_view header_value(const std::vector<header>& headers,
                              std::string_view name);
/// Removes all headers with the name.
void remove_header(std::vector<header>& headers, std::string_view name);

/// Whether a field applies to a single connection only. This includes
/// `Host` and `Content-Length`, which are set anew for each connection.
bool is_hop_by_hop(std::string_view name);

/// Whether a caller's header field is forwarded to the target. Hop-by-hop
/// fields, credentials (`Authorization`, `Cookie`), `Idempotency-Key` and the
/// product's own fields are not.
bool is_forwarded_to_target(std::string_view name);

/// Whether a target's header field is forwarded to the caller. Hop-by-hop
/// fields and the product's own fields are not.
bool is_forwarded_to_caller(std::string_view name);

} // namespace kingcupslip

#endif
