// The verdict: whether a request ran, did not run or may have run.
#ifndef KINGCUPSLIP_CORE_VERDICT_HPP
#define KINGCUPSLIP_CORE_VERDICT_HPP

#include <cstdint>
#include <string_view>

namespace kingcupslip {

/// What is known about the execution of a request at a target. `not_run` is a
/// guarantee: no target has started the request, and none will.
/// `may_have_run` means that neither can be proven.
enum class verdict : std::uint8_t { not_run, ran, may_have_run };

/// The value of the `Kingcupslip-Verdict` header for `v`.
std::string_view name_of(verdict v);

} // namespace kingcupslip

#endif
