// The end of a request: what is known of its run, and what the caller gets.
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

/// Bytes of a request's or an answer's body.
using body_bytes = std::vector<std::uint8_t>;

/// Invariant: `why` is `none` exactly when the target's own answer is held.
struct outcome {
  verdict execution = verdict::not_run;
  reason refusal_reason = reason::none;
  std::uint16_t status = 0;
  std::chrono::milliseconds retry_after{0};
  std::uint32_t retries_used = 0;
  /// The run failed after a nested call of it was refused for overload.
  bool nested_overload = false;
  std::vector<header> headers;
  body_bytes body;
};

/// A refusal with the reason's own status.
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
