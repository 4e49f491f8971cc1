// The result of a request: its verdict and the answer for the caller.
#ifndef KINGCUPSLIP_CORE_OUTCOME_HPP
#define KINGCUPSLIP_CORE_OUTCOME_HPP

#include "kingcupslip/core/reason.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcupslip {

/// One HTTP header field.
struct header {
  std::string name;
  std::string value;
};

/// The body of a request or an answer.
using body_bytes = std::vector<std::uint8_t>;

/// The result of a request or of one attempt: either the target's answer or
/// a refusal.
///
/// Invariant: `refusal_reason` is `none` exactly when this holds the target's
/// own answer.
struct outcome {
  verdict execution = verdict::not_run;
  reason refusal_reason = reason::none;
  std::uint16_t status = 0;
  std::chrono::milliseconds retry_after{0};
  std::uint32_t retries_used = 0;
  /// The run failed, and while it was in progress a nested call of the
  /// target was refused because of overload.
  bool nested_overload = false;
  /// On the target, or on what its nested calls need, relative to what these
  /// can take; 0: unknown.
  double pressure = 0;
  /// How much load the target, or what its nested calls need, asks its callers
  /// to shed.
  double overload_level = 0;
  /// Whether the node beside the target has said how the run ended.
  bool reported = false;
  std::vector<header> headers;
  body_bytes body;
};

/// A refusal with the HTTP status of its reason.
inline outcome
refusal(reason refusal_reason, verdict execution = verdict::not_run,
        std::chrono::milliseconds retry_after = std::chrono::milliseconds(0)) {
  outcome out;
  out.execution = execution;
  out.refusal_reason = refusal_reason;
  out.status = info_of(refusal_reason).http_status;
  out.retry_after = retry_after;
  return out;
}

} // namespace kingcupslip

#endif
