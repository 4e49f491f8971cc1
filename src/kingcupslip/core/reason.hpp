// The reasons for refusing a request, and what follows from each of them.
#ifndef KINGCUPSLIP_CORE_REASON_HPP
#define KINGCUPSLIP_CORE_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kingcupslip {

/// Every reason for which a node refuses a request. Nodes send the numeric
/// value to each other, so new reasons are appended before `count_`.
enum class reason : std::uint8_t {
  none,
  starting,
  no_key,
  unknown_key,
  withdrawn_key,
  unconfirmed_key,
  route_not_in_contract,
  bad_context,
  unknown_service,
  malformed,
  body_too_large,
  head_too_large,
  over_rate,
  shed,
  queue_full,
  deadline,
  draining,
  no_target,
  target_unreachable,
  target_refused,
  connection_lost,
  duplicate_running,
  key_reused,
  outcome_unknown,
  owner_unreachable,
  memory_full,
  quarantined,
  too_deep,
  cancelled,
  node_unreachable,
  too_slow,
  too_many_connections,
  overloaded_below,
  target_rate_limited,
  target_silent,
  version_not_released,
  count_
};

constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count_);

/// The properties of one reason.
struct reason_info {
  std::string_view name;      ///< in events, metrics and reports
  std::string_view title;     ///< in the problem document for the caller
  std::uint16_t http_status;  ///< of the refusal
  bool sends_retry_after;     ///< the refusal has a `Retry-After` field
  bool retry_on_other_target; ///< another target may accept the request
  bool counts_as_overload;    ///< the retry budget counts it as overload
};

/// The properties of `r`; those of `none` for an unknown value.
const reason_info& info_of(reason r);

} // namespace kingcupslip

#endif
