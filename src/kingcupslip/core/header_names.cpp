// Lookup of header fields, and the rules for forwarding them.
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <array>

namespace kingcupslip {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers{
    "Connection", "Keep-Alive",          "Proxy-Authenticate",
    "TE",         "Proxy-Authorization", "Trailer",
    "Upgrade",    "Transfer-Encoding",   "Content-Length",
    "Host"};

constexpr std::string_view product_prefix = "kingcupslip-";

bool is_product_header(std::string_view name) {
  return same_header_name(name.substr(0, product_prefix.size()),
                          product_prefix);
}

} // namespace

bool same_header_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ascii_lower(x) == ascii_lower(y);
         });
}

const header* find_header(const std::vector<header>& headers,
                          std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [name](const header& h) {
        return same_header_name(h.name, name);
      });
  return it == headers.end() ? nullptr : &*it;
}

std::string_view header_value(const std::vector<header>& headers,
                              std::string_view name) {
  const header* h = find_header(headers, name);
  return h == nullptr ? std::string_view() : std::string_view(h->value);
}

void remove_header(std::vector<header>& headers, std::string_view name) {
  const auto named = [name](const header& h) {
    return same_header_name(h.name, name);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), named),
                headers.end());
}

bool is_hop_by_hop(std::string_view name) {
  return std::any_of(
      hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
      [name](std::string_view it) { return same_header_name(it, name); });
}

bool is_forwarded_to_target(std::string_view name) {
  return !is_hop_by_hop(name) && !is_product_header(name) &&
         !same_header_name(name, header_names::authorization) &&
         !same_header_name(name, header_names::idempotency_key) &&
         !same_header_name(name, "Cookie");
}

bool is_forwarded_to_caller(std::string_view name) {
  return !is_hop_by_hop(name) && !is_product_header(name);
}

} // namespace kingcupslip
