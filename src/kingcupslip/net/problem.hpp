// Refusals as HTTP: application/problem+json (RFC 9457).
#ifndef KINGCUPSLIP_NET_PROBLEM_HPP
#define KINGCUPSLIP_NET_PROBLEM_HPP

#include "kingcupslip/core/outcome.hpp"

namespace kingcupslip {

/// What the caller gets for an outcome: the target's answer with a verdict
/// header, or a problem document with reason, verdict and Retry-After.
outcome to_http(outcome o);

} // namespace kingcupslip

#endif
