// Why a request was refused, and what each reason means to its caller.
#ifndef KINGCUPSLIP_CORE_REASON_HPP
#define KINGCUPSLIP_CORE_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kingcupslip {

/// Every reason for which a node refuses a request. The order is part of
/// the protocol between nodes: new reasons go to the end.
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
  count_
};

constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count_);

/// One row of the reason table.
struct reason_info {
  std::string_view name;
  std::string_view title;
  std::uint16_t http_status;
  bool sends_retry_after;     ///< the refusal carries `Retry-After`
  bool retry_on_other_target; ///< another target may accept the request
  bool counts_as_overload;    ///< counts towards closing the retry ratio
};

/// The table's row for `r`; the row of `none` for values outside the table.
const reason_info& info_of(reason r);

} // namespace kingcupslip

#endif
