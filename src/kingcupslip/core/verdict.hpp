// Says whether a request may have run at a target.
#ifndef KINGCUPSLIP_CORE_VERDICT_HPP
#define KINGCUPSLIP_CORE_VERDICT_HPP

#include <cstdint>
#include <string_view>

namespace kingcupslip {

/// What is known about a request's execution.
/// `not_run` is a promise: no target has begun the request, nor will one.
enum class verdict : std::uint8_t { not_run, ran, may_have_run };

/// The verdict's name as the `Kingcupslip-Verdict` header carries it.
std::string_view name_of(verdict v);

} // namespace kingcupslip

#endif
