// The signed context that nested calls carry instead of an API key.
#ifndef KINGCUPSLIP_CORE_CALL_CONTEXT_HPP
#define KINGCUPSLIP_CORE_CALL_CONTEXT_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupslip {

/// Calls nested more deeply are refused.
constexpr std::uint32_t max_call_depth = 16;

/// What a nested call inherits from the run that makes it. Only nodes can
/// issue a context: it is signed with the fleet secret, so a caller can
/// neither forge one nor extend its deadline or retries.
struct call_context {
  std::string team;
  std::string api_key_id; ///< withdrawing it also stops nested calls
  wall_time deadline{0};
  priority rank = priority::normal;
  std::uint32_t retries = 0; ///< maximum for this call and those below
  std::uint32_t depth = 0;
  std::uint64_t span_id = 0; ///< of the run that may use this context
};

/// The value of the `Kingcupslip-Context` header, signed with `secret`.
std::string sign_context(const call_context& c, std::string_view secret);

/// Decodes a header value. Returns nothing if the text or its signature is
/// not valid.
std::optional<call_context> verify_context(std::string_view text,
                                           std::string_view secret);

} // namespace kingcupslip

#endif
