// TCP connections between nodes, which carry their messages.
#ifndef KINGCUPSLIP_NET_PEER_NETWORK_HPP
#define KINGCUPSLIP_NET_PEER_NETWORK_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/net/frame.hpp"
#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupslip {

class peer_session;

/// Callbacks of a peer network.
struct peer_hooks {
  std::function<void(const std::string& from, wire::payloadUnion& body)>
      on_message;
  /// Called when a call's frame has definitely not been written.
  std::function<void(std::uint64_t correlation)> on_unsent;
  /// Called when the last established connection to a peer has closed.
  std::function<void(const std::string& peer)> on_connection_lost;
  /// Called when the connection on which a call was sent has closed before a
  /// reply, while others to the peer remain; may be null.
  std::function<void(std::uint64_t correlation)> on_call_lost;
  /// Called when a peer stops responding, and when it responds again or its
  /// connection closes; may be null.
  std::function<void(const std::string& peer, bool unresponsive)>
      on_unresponsive;
  /// Returns a peer's address as IP:PORT, or an empty text if it is unknown.
  std::function<std::string(const std::string& peer)> address_of;
  event_sink log;
};

/// Counters of dropped frames and connections by cause, and of bytes.
struct peer_counters {
  std::uint64_t bad_frames = 0;
  std::uint64_t refused_peers = 0;
  std::uint64_t silent_peers = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Keeps the connections to other nodes and sends messages over them. Runs on
/// the loop. Connects when there is something to send. Both ends prove that
/// they know the fleet's secret before any other frame is accepted. A reply is
/// sent on the connection on which its call arrived, so that calls are lost
/// with their own connection only. A connection on which nothing arrives for
/// 2 s although a response is pending is dropped, and one that was idle for 5
/// minutes is closed. The memory of all queued messages is bounded: beyond the
/// bound calls are reported as unsent, and replies lose their answers.
class peer_network {
public:
  /// Throws `boost::system::system_error` if it cannot listen on the address.
  peer_network(io_loop& loop, node_identity self, std::string fleet_secret,
               const std::string& address, std::uint16_t port,
               peer_hooks hooks);
  ~peer_network();

  /// Sends a message, over a new connection if there is none to the node. A
  /// call to a node without a usable address is reported as unsent.
  void send(const std::string& node, const wire::payloadUnion& body);
  const peer_counters& counters() const { return m_counters; }
  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

  /// Checks the timeouts of all connections; call several times a second.
  void tick();

private:
  friend class peer_session;
  void accept();
  /// Accepts again after a pause, without which a process that has no
  /// descriptor left would spin.
  void accept_later();
  std::shared_ptr<peer_session> dial(const std::string& node);
  /// The connection for a message: for a reply that on which its call arrived;
  /// otherwise, or if that has closed, the preferred one. Null if there is none
  /// and the node cannot be dialled.
  std::shared_ptr<peer_session> session_for(const std::string& node,
                                            const wire::payloadUnion& body);
  bool has_established_session(const std::string& node) const;
  bool has_room_for(std::size_t n) const;
  void on_established(const std::shared_ptr<peer_session>& s);
  void on_closed(peer_session& s);
  /// Closes the connections with the largest frames, as long as frames that
  /// have not arrived in full take too much memory.
  void limit_received_bytes();

  io_loop& m_loop;
  node_identity m_self;
  std::string m_fleet_secret;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_timer;
  peer_hooks m_hooks;
  peer_counters m_counters;
  std::map<std::string, std::shared_ptr<peer_session>> m_session_by_node;
  std::map<peer_session*, std::shared_ptr<peer_session>> m_sessions;
  std::uint64_t m_next_nonce = 0;
  /// Of all sessions, in their queues and of the frames that they write.
  std::size_t m_queued_bytes = 0;
  /// Of frames that have not arrived in full, of all sessions.
  std::size_t m_received_bytes = 0;
};

} // namespace kingcupslip

#endif
