// The instances of a target that have deregistered.
#ifndef KINGCUPSLIP_CORE_DEPARTED_INSTANCES_HPP
#define KINGCUPSLIP_CORE_DEPARTED_INSTANCES_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace kingcupslip {

/// Remembers which instances have left, so that their delayed announcements are
/// recognized. Beyond a number of them the one that left longest ago is
/// forgotten, an instance that never announced itself here before any other:
/// its goodbye may come from another writer.
///
/// Invariant: each instance is contained at most once.
class departed_instances {
public:
  /// `announced`: the instance had announced itself to this node.
  void add(const std::string& instance, std::uint64_t start_time_ms,
           bool announced);

  /// Whether this instance, or a later one of the same name, has left.
  bool contains(const std::string& instance, std::uint64_t start_time_ms) const;

private:
  struct departure {
    std::string instance;
    std::uint64_t start_time_ms = 0;
    bool announced = false;
  };

  void forget_one();

  std::list<departure> m_departures; ///< the last one last
};

} // namespace kingcupslip

#endif
