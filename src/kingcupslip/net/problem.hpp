// Encodes refusals as application/problem+json (RFC 9457).
#ifndef KINGCUPSLIP_NET_PROBLEM_HPP
#define KINGCUPSLIP_NET_PROBLEM_HPP

#include "kingcupslip/core/outcome.hpp"

namespace kingcupslip {

/// Encodes an outcome as the response to the caller: the target's response
/// with a verdict header, or a problem document with reason and verdict, and
/// with Retry-After if waiting helps.
outcome to_http(outcome o);

} // namespace kingcupslip

#endif
