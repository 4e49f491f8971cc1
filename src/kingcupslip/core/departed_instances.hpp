// The instances of a target that have left, or said that they are about to.
#ifndef KINGCUPSLIP_CORE_DEPARTED_INSTANCES_HPP
#define KINGCUPSLIP_CORE_DEPARTED_INSTANCES_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace kingcupslip {

/// Covers all announcements of an instance.
constexpr std::uint64_t every_sequence = UINT64_MAX;

/// An instance that gets no more requests.
struct departure {
  std::string instance;
  /// Also covers instances of the same name that started earlier.
  std::uint64_t start_time_ms = 0;
  /// The announcement in which the instance said that it drains. Later ones
  /// may report it in service again, unless this is `every_sequence`.
  std::uint64_t last_sequence = every_sequence;
  wall_time left_at{0};
  /// The instance had announced itself to this node.
  bool announced = false;
};

/// Remembers which instances have left, so that their delayed announcements are
/// recognized. Beyond a number of them the one that left longest ago is
/// forgotten, an instance that never announced itself here before any other:
/// its goodbye may come from another writer.
///
/// Invariant: each instance is contained at most once.
class departed_instances {
public:
  /// Ignores a departure that covers no more than what is known.
  void add(const departure& d);

  /// Whether the announcement was sent before its instance, or a later one of
  /// the same name, departed. A sequence of 0 is unknown.
  bool contains(const std::string& instance, std::uint64_t start_time_ms,
                std::uint64_t sequence) const;

  /// The last one last.
  const std::list<departure>& all() const { return m_departures; }

  /// Rises with each change.
  std::uint64_t revision() const { return m_revision; }

private:
  void forget_one();

  std::list<departure> m_departures;
  std::uint64_t m_revision = 0;
};

} // namespace kingcupslip

#endif
