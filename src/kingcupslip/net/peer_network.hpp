// TCP connections between nodes: who they are, and what goes over them.
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

struct peer_hooks {
  std::function<void(const std::string& from, wire::payloadUnion& body)>
      on_message;
  /// The call's frame was surely never written.
  std::function<void(std::uint64_t correlation)> on_unsent;
  std::function<void(const std::string& peer)> on_connection_lost;
  /// Nothing comes back from a peer at the moment, or something does again;
  /// may be null.
  std::function<void(const std::string& peer, bool unresponsive)>
      on_unresponsive;
  std::function<std::string(const std::string& peer)> address_of;
  event_sink log;
};

/// Counters of what was dropped and why, and of bytes.
struct peer_counters {
  std::uint64_t bad_frames = 0;
  std::uint64_t refused_peers = 0;
  std::uint64_t silent_peers = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Runs on the loop. Connects when there is something to send; both ends
/// prove that they know the fleet's secret before any other frame counts.
/// A connection that stays silent for 2 s after something was sent on it is
/// dropped, and one that was idle for minutes is closed.
class peer_network {
public:
  peer_network(io_loop& loop, node_identity self, std::string fleet_secret,
               const std::string& address, std::uint16_t port,
               peer_hooks hooks);
  ~peer_network();

  void send(const std::string& node, const wire::payloadUnion& body);
  const peer_counters& counters() const { return m_counters; }
  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

  /// Checks for silence; call several times a second.
  void tick();

private:
  friend class peer_session;
  void accept();
  std::shared_ptr<peer_session> dial(const std::string& node);
  void on_established(const std::shared_ptr<peer_session>& s);
  void on_closed(peer_session& s);

  io_loop& m_loop;
  node_identity m_self;
  std::string m_fleet_secret;
  boost::asio::ip::tcp::acceptor m_acceptor;
  peer_hooks m_hooks;
  peer_counters m_counters;
  std::map<std::string, std::shared_ptr<peer_session>> m_session_by_node;
  std::map<peer_session*, std::shared_ptr<peer_session>> m_sessions;
  std::uint64_t m_next_nonce = 0;
};

} // namespace kingcupslip

#endif
