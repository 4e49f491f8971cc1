// The signed context that travels down a call chain in place of the key.
#ifndef KINGCUPSLIP_CORE_CALL_CONTEXT_HPP
#define KINGCUPSLIP_CORE_CALL_CONTEXT_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupslip {

constexpr std::uint32_t max_call_depth = 16;

/// What a nested call inherits. Only nodes can mint one: it is signed with
/// the fleet's secret, so no caller can forge or stretch it.
struct call_context {
  std::string team;
  std::string api_key_id; ///< so that withdrawal also stops nested calls
  wall_time deadline{0};
  priority rank = priority::normal;
  std::uint32_t retries = 0; ///< the most this branch may spend
  std::uint32_t depth = 0;
  std::uint64_t span_id = 0; ///< names the run that may use this context
};

/// `Kingcupslip-Context` for `c`, signed with `secret`.
std::string sign_context(const call_context& c, std::string_view secret);

/// The context, or nothing where the text or its signature is not valid.
std::optional<call_context> verify_context(std::string_view text,
                                           std::string_view secret);

} // namespace kingcupslip

#endif
