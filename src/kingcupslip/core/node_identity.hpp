// The identity of a node, from its settings.
#ifndef KINGCUPSLIP_CORE_NODE_IDENTITY_HPP
#define KINGCUPSLIP_CORE_NODE_IDENTITY_HPP

#include <cstdint>
#include <string>

namespace kingcupslip {

/// Names one run of a node and how to reach it.
struct node_identity {
  std::string node; ///< unique in the fleet
  std::string data_centre;
  std::string address;   ///< IP:PORT at which other nodes connect
  std::string admin_url; ///< of the administration API
  std::string service;   ///< of the target that this node serves
  /// Increases with each start, even if the name moves to another host.
  std::uint64_t incarnation = 0;
};

} // namespace kingcupslip

#endif
