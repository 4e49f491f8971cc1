// One connection between two nodes, from handshake to close.
#ifndef KINGCUPSLIP_NET_PEER_SESSION_HPP
#define KINGCUPSLIP_NET_PEER_SESSION_HPP

#include "kingcupslip/net/peer_network.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace kingcupslip {

/// Performs the handshake on one connection, reads and writes its frames and
/// enforces its timeouts. Its pending handlers keep it alive.
///
/// Invariant: until the peer has proved that it knows the fleet's secret, no
/// frames but those of the handshake are processed or written.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
  /// `dialled_node` is empty for an accepted connection.
  peer_session(peer_network& network, boost::asio::ip::tcp::socket socket,
               std::string dialled_node);

  /// Connects to the dialled node, then calls `start`.
  void connect(const boost::asio::ip::tcp::endpoint& to);
  /// Starts the handshake on the connected socket.
  void start();

  /// A frame in the send queue.
  struct outgoing_frame {
    frame_bytes bytes;
    std::uint64_t call_correlation = 0; ///< 0 unless the frame is a call
    duration call_time_left{0};
    bool expects_response = false;
  };

  /// Queues a frame until the handshake is complete and the frames before it
  /// are written. A frame that cannot be queued is dropped; a call is then
  /// reported as unsent.
  void send(outgoing_frame frame);
  /// Whether a call has arrived on this connection and not been answered; from
  /// now on it counts as answered.
  bool take_unanswered(std::uint64_t correlation) {
    return m_unanswered_calls.erase(correlation) != 0;
  }
  /// Sends a ping, reports an unresponsive peer or closes the connection, as
  /// the time without a received frame requires.
  void check_timeouts(instant now);
  /// Closes the connection. Without `notify`, the network is not told of the
  /// close, of unsent calls or of the lost connection.
  void close(bool notify);

  const std::string& peer() const { return m_peer; }
  /// Bytes held of a frame that has not arrived in full.
  std::size_t received_bytes() const { return m_received_bytes; }
  /// Closes the connection because of the frame that it is receiving.
  void drop_frame();
  bool established() const { return m_established; }

private:
  void send_hello();
  void read_frame_header();
  void read_frame_body(std::size_t n);
  void read_frame_part();
  void on_frame_part();
  void on_frame();
  void set_received_bytes(std::size_t n);
  void handle_message(wire::payloadUnion& body);
  void handle_hello(const wire::helloT& m);
  void handle_proof(const wire::hello_proofT& m);
  std::string compute_proof(const std::string& node, bool by_dialler) const;
  void write_handshake_frame(frame_bytes frame);
  void write_next();
  void end_write();
  void fail(event_id id, const std::string& why);
  void set_unresponsive(bool unresponsive);
  /// Reports what was lost with an established connection.
  void report_lost();

  peer_network* m_network;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  bool m_dialled;
  std::string m_peer;
  std::string m_nonce;
  std::string m_peer_nonce;
  bool m_established = false;
  bool m_closed = false;
  bool m_writing = false;
  std::deque<outgoing_frame> m_send_queue;
  outgoing_frame m_current_write;
  std::deque<frame_bytes> m_handshake_queue;
  /// Calls that were written and got no reply yet, with their deadlines.
  std::unordered_map<std::uint64_t, instant> m_open_calls;
  std::unordered_set<std::uint64_t> m_unanswered_calls; ///< of the peer
  std::array<std::uint8_t, frame_header_bytes> m_frame_header{};
  frame_bytes m_frame_body; ///< without the part that is being read
  /// The only memory that a pending read writes to, so that a closed connection
  /// releases the rest of its frame at once.
  frame_bytes m_frame_part;
  std::size_t m_frame_bytes = 0;    ///< of the frame that is being read
  std::size_t m_received_bytes = 0; ///< held of it; counted in the network
  instant m_last_received_at{0};
  instant m_last_sent_at{0};
  instant m_last_ping_at{0};
  instant m_pending_since{0}; ///< write time of the oldest pending request
  bool m_response_pending = false;
  bool m_unresponsive = false;
};

} // namespace kingcupslip

#endif
