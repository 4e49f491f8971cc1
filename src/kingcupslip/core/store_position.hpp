// Positions in the history of the store.
#ifndef KINGCUPSLIP_CORE_STORE_POSITION_HPP
#define KINGCUPSLIP_CORE_STORE_POSITION_HPP

#include <cstdint>
#include <tuple>

namespace kingcupslip {

/// A point in the history of the store. A store that is restored from an older
/// copy starts a new timeline, on which it gives out versions again.
struct store_position {
  std::uint64_t timeline = 0; ///< 0: the store does not number its timelines
  std::uint64_t version = 0;  ///< of the newest change
};

inline bool operator<(const store_position& a, const store_position& b) {
  return std::tie(a.timeline, a.version) < std::tie(b.timeline, b.version);
}

} // namespace kingcupslip

#endif
