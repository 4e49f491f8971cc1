// Route lookup and the names of the enumerators in contracts.
#include "kingcupslip/core/contract.hpp"

#include <array>

namespace kingcupslip {

namespace {

constexpr std::array<std::string_view, priority_count> priority_names{
    "critical", "high", "normal", "low"};

/// "/a" matches "/a", "/a/b" and "/a?b", but not "/ab".
bool matches_prefix(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  return path.size() == prefix.size() || prefix.back() == '/' ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

std::string_view name_of(priority p) {
  const std::size_t n = static_cast<std::size_t>(p);
  return n < priority_names.size() ? priority_names[n] : "low";
}

std::string_view name_of(patience p) {
  return p == patience::patient ? "patient" : "impatient";
}

const contract_route* contract::find_route(std::string_view service,
                                           std::string_view path) const {
  const contract_route* best = nullptr;
  for (const contract_route& it : routes) {
    if (it.service != service || !matches_prefix(it.path_prefix, path)) {
      continue;
    }
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size()) {
      best = &it;
    }
  }
  return best;
}

} // namespace kingcupslip
