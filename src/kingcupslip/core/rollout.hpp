// Orders to move a service's traffic to a new version, and their progress.
#ifndef KINGCUPSLIP_CORE_ROLLOUT_HPP
#define KINGCUPSLIP_CORE_ROLLOUT_HPP

#include "kingcupslip/core/store_position.hpp"
#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// Phases are merged by their order: of one roll-out, a node keeps the later.
/// The last two are final; they are in the store before any node has them.
enum class rollout_phase : std::uint8_t {
  testing,   ///< a part of the requests goes to the new version
  switching, ///< all new requests go to it, the others run to their end
  halted,    ///< none go to it; to be rolled back
  completed,
  rolled_back
};

inline std::string_view name_of(rollout_phase p) {
  constexpr std::array<std::string_view, 5> names{
      "testing", "switching", "halted", "completed", "rolled_back"};
  return names[static_cast<std::size_t>(p) % names.size()];
}

inline bool is_final(rollout_phase p) { return p >= rollout_phase::completed; }

/// An operator's order.
struct rollout_order {
  std::string service;
  std::string version; ///< of the targets that the traffic is moved to
  /// From the order to its end; 0 or less: the order is invalid.
  std::chrono::milliseconds time_limit{0};
  store_position written_at;
};

/// A restored store gives out positions again, so an order is known by its
/// version in the store and by what it asks for.
inline bool same_order(const rollout_order& a, const rollout_order& b) {
  return a.service == b.service && a.version == b.version &&
         a.written_at.version == b.written_at.version;
}

/// The state of a roll-out as operators read it.
struct rollout_status {
  std::string service;
  std::string version;
  rollout_phase phase = rollout_phase::testing;
};

} // namespace kingcupslip

#endif
