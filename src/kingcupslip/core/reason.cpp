// The properties of every refusal reason, and the names of the verdicts.
#include "kingcupslip/core/reason.hpp"

#include "kingcupslip/core/verdict.hpp"

#include <array>

namespace kingcupslip {

namespace {

constexpr std::array<reason_info, reason_count> reason_table{{
    {"none", "no refusal", 200, false, false, false},
    {"starting",
     "the node has no configuration yet, or does not know yet whether its "
     "target has left",
     503, true, true, false},
    {"no_key", "the route needs a key", 401, false, false, false},
    {"unknown_key", "the key is not known", 401, false, false, false},
    {"withdrawn_key", "the key was withdrawn", 403, false, false, false},
    {"unconfirmed_key", "the key cannot be confirmed now", 503, true, false,
     false},
    {"route_not_in_contract", "the contract does not name the route", 403,
     false, false, false},
    {"bad_context", "the call context is not valid", 403, false, false, false},
    {"unknown_service", "no such service", 404, false, false, false},
    {"malformed", "the request is malformed", 400, false, false, false},
    {"body_too_large", "the body is too large", 413, false, false, false},
    {"head_too_large", "the header section is too large", 431, false, false,
     false},
    {"over_rate", "the team is over its rate", 429, true, false, false},
    {"shed", "shed in favour of other work", 503, true, true, true},
    {"queue_full", "too much work is waiting", 503, true, true, true},
    {"deadline", "the request cannot finish in its time", 504, false, false,
     true},
    {"draining", "the node is shutting down", 503, true, true, false},
    {"no_target", "no target is in service", 503, true, true, false},
    {"target_unreachable", "the target accepts no connection", 503, true, true,
     false},
    {"target_refused", "the target shed the request", 503, true, true, true},
    {"connection_lost", "the connection to the target was lost", 502, false,
     true, false},
    {"duplicate_running", "the same request is still running", 409, true, false,
     false},
    {"key_reused", "the idempotency key came with another body", 422, false,
     false, false},
    {"outcome_unknown", "an earlier attempt may have run", 409, false, false,
     false},
    {"owner_unreachable", "the record of this key is out of reach", 503, true,
     false, false},
    {"memory_full", "no room to remember the request", 503, true, false, true},
    {"quarantined", "the request crashed targets before", 503, false, false,
     false},
    {"too_deep", "the call chain is too deep", 508, false, false, false},
    {"cancelled", "the caller went away", 499, false, false, false},
    {"node_unreachable", "the other node cannot be reached", 503, true, true,
     false},
    {"too_slow", "the request did not arrive in time", 408, false, false,
     false},
    {"too_many_connections", "too many connections are open", 503, true, false,
     false},
    {"overloaded_below", "services that the request needs are overloaded", 503,
     true, false, true},
    {"target_rate_limited", "the target asks for fewer requests", 503, true,
     true, true},
    {"target_silent", "the target does not answer this request", 504, false,
     true, false},
    {"version_not_released", "the target's version gets no such requests", 503,
     true, true, false},
}};

} // namespace

const reason_info& info_of(reason r) {
  const std::size_t n = static_cast<std::size_t>(r);
  return reason_table[n < reason_table.size() ? n : 0];
}

std::string_view name_of(verdict v) {
  switch (v) {
  case verdict::not_run:
    return "not-run";
  case verdict::ran:
    return "ran";
  case verdict::may_have_run:
    break;
  }
  return "may-have-run";
}

} // namespace kingcupslip
