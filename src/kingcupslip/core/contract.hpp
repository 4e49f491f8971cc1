// A team's contract: its request rate and the settings of its routes.
#ifndef KINGCUPSLIP_CORE_CONTRACT_HPP
#define KINGCUPSLIP_CORE_CONTRACT_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

/// Shedding order: under overload, lower values are shed later.
enum class priority : std::uint8_t { critical, high, normal, low };
constexpr std::size_t priority_count = 4;

std::string_view name_of(priority p);

/// Whether callers of a route wait in the queue or give up early.
enum class patience : std::uint8_t { patient, impatient };

std::string_view name_of(patience p);

/// One route of a contract, matched by service and longest path prefix.
struct contract_route {
  std::string service;
  std::string path_prefix = "/";
  bool idempotent = true;
  bool open = false; ///< needs no key
  priority rank = priority::normal;
  patience wait = patience::patient;
  /// Used if the caller sends no `Kingcupslip-Timeout-Ms`.
  std::chrono::milliseconds timeout{5000};
  /// Share of a target's request starts reserved for this priority while
  /// requests of higher priorities wait.
  std::uint32_t min_share_percent = 0;
};

/// The terms on which a team sends requests.
///
/// Invariants, checked by `parse_contract`: the team's name has 1 to 63
/// characters of [a-z0-9-]; rate and burst are positive; the weight is at least
/// 1.
struct contract {
  std::string team;
  double rate_per_s = 0;
  double burst = 0;
  std::uint32_t weight = 1;
  std::uint32_t retries = 2; ///< of one request, nested calls included
  std::vector<contract_route> routes;

  /// The route that serves the path; null if there is none.
  const contract_route* find_route(std::string_view service,
                                   std::string_view path) const;
};

} // namespace kingcupslip

#endif
