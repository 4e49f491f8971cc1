// Who a node is, as its settings say.
#ifndef KINGCUPSLIP_CORE_NODE_IDENTITY_HPP
#define KINGCUPSLIP_CORE_NODE_IDENTITY_HPP

#include <cstdint>
#include <string>

namespace kingcupslip {

struct node_identity {
  std::string node; ///< unique in the fleet
  std::string data_centre;
  std::string address;   ///< IP:PORT for other nodes
  std::string admin_url; ///< where operators reach this node
  std::string service;   ///< of the target beside it
  /// Differs at each start and grows, even across hosts of the same name.
  std::uint64_t incarnation = 0;
};

} // namespace kingcupslip

#endif
