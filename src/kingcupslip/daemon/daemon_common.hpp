// Functions that both daemons use.
#ifndef KINGCUPSLIP_DAEMON_DAEMON_COMMON_HPP
#define KINGCUPSLIP_DAEMON_DAEMON_COMMON_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/daemon/settings.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/peer_network.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace kingcupslip {

boost::asio::ip::tcp::endpoint to_endpoint(const listen_address& a);

/// A response that the daemon itself gives.
outcome plain_response(std::uint16_t status, const std::string& type,
                       const std::string& text);

/// The file's contents; null if it cannot be read.
std::optional<std::string> read_file(const std::string& file);

/// Returns hooks to the same table that run `refresh_clock` before each
/// handler: responses arrive through the loop, long after their requests.
table_hooks with_clock_refresh(const table_hooks& table,
                               const std::function<void()>& refresh_clock);

/// Hooks that pass the events of a peer network to a node. `get_node` sets
/// the node's clock and returns the node.
template <class NodeAccessor>
peer_hooks make_peer_hooks(const NodeAccessor& get_node,
                           const event_sink& log) {
  peer_hooks out;
  out.on_message = [get_node](const std::string& from,
                              wire::payloadUnion& body) {
    get_node().on_message(from, body);
  };
  out.on_unsent = [get_node](std::uint64_t correlation) {
    get_node().on_call_unsent(correlation);
  };
  out.on_connection_lost = [get_node](const std::string& peer) {
    get_node().on_peer_lost(peer);
  };
  out.on_call_lost = [get_node](std::uint64_t correlation) {
    get_node().on_call_lost(correlation);
  };
  out.address_of = [get_node](const std::string& peer) {
    return get_node().address_of(peer);
  };
  out.log = log;
  return out;
}

/// Hooks through which a node sends requests to its target and gets their
/// results. `get_node` sets the node's clock and returns the node.
template <class NodeAccessor>
target_hooks make_target_hooks(const NodeAccessor& get_node,
                               http_client& target, const event_sink& log) {
  target_hooks out;
  out.run = [get_node, &target](std::uint64_t run, target_request request) {
    target.send(run, std::move(request), [get_node, run](target_result r) {
      get_node().on_target_result(run, std::move(r));
    });
  };
  out.cancel = [&target](std::uint64_t run) { target.cancel(run); };
  out.log = log;
  out.withdraw = [&target](std::uint64_t run) { target.withdraw(run); };
  return out;
}

/// A generator that is seeded from the system's entropy.
member_table::random_source make_random_source();

} // namespace kingcupslip

#endif
