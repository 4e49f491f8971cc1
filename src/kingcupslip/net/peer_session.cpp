// Handshake, framing and timeouts of one connection between nodes.
#include "kingcupslip/net/peer_session.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/net/socket_options.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace kingcupslip {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds handshake_timeout{1000};
constexpr duration ping_interval = std::chrono::milliseconds(250);
/// Longer than it takes to retransmit a lost packet twice.
constexpr duration unresponsive_after = std::chrono::milliseconds(700);
constexpr duration silence_timeout = std::chrono::seconds(2);
constexpr duration idle_timeout = std::chrono::minutes(5);
constexpr std::size_t max_handshake_frame_bytes = 4096;
constexpr std::size_t max_queued_frames = 20'000;
/// Memory for a frame grows with what has arrived of it.
constexpr std::size_t max_frame_part_bytes = 64UL * 1024;

} // namespace

peer_session::peer_session(peer_network& network, tcp::socket socket,
                           std::string dialled_node)
    : m_network(&network), m_socket(std::move(socket)),
      m_timer(m_socket.get_executor()), m_dialled(!dialled_node.empty()),
      m_peer(std::move(dialled_node)) {
  const std::uint64_t n = ++network.m_next_nonce;
  const clock_reading t = read_clocks();
  m_nonce = hmac_hex(network.m_fleet_secret,
                     network.m_self.node + "/" + std::to_string(n) + "/" +
                         std::to_string(t.now.count()) + "/" +
                         std::to_string(t.wall.count()));
  m_last_received_at = t.now;
}

void peer_session::connect(const tcp::endpoint& to) {
  const std::shared_ptr<peer_session> self = shared_from_this();
  m_timer.expires_after(handshake_timeout);
  m_timer.async_wait([self](const error_code& ec) {
    if (!ec && !self->m_established) {
      self->close(true);
    }
  });
  m_socket.async_connect(to, [self](const error_code& ec) {
    if (ec) {
      self->close(true);
      return;
    }
    self->start();
  });
}

void peer_session::start() {
  set_socket_options(m_socket);
  const std::shared_ptr<peer_session> self = shared_from_this();
  if (!m_dialled) {
    m_timer.expires_after(handshake_timeout);
    m_timer.async_wait([self](const error_code& ec) {
      if (!ec && !self->m_established) {
        self->fail(event_id::peer_refused, "handshake timed out");
      }
    });
  }
  send_hello();
  read_frame_header();
}

void peer_session::send(outgoing_frame frame) {
  const bool has_room = m_send_queue.size() < max_queued_frames &&
                        (frame.call_correlation == 0 ||
                         m_network->has_room_for(frame.bytes.size()));
  if (m_closed || !has_room) {
    if (frame.call_correlation != 0) {
      m_network->m_hooks.on_unsent(frame.call_correlation);
    }
    return;
  }
  m_network->m_queued_bytes += frame.bytes.size();
  m_send_queue.push_back(std::move(frame));
  write_next();
}

void peer_session::check_timeouts(instant now) {
  if (!m_established || m_closed) {
    return;
  }
  for (auto it = m_open_calls.begin(); it != m_open_calls.end();) {
    it = it->second < now ? m_open_calls.erase(it) : std::next(it);
  }
  const duration since_received = now - m_last_received_at;
  const duration since_sent = now - m_last_sent_at;
  if (!m_response_pending && since_received > idle_timeout &&
      since_sent > idle_timeout) {
    close(true);
    return;
  }
  if (!m_response_pending || now - m_pending_since < ping_interval) {
    return;
  }
  const duration waiting = now - m_pending_since;
  if (waiting > silence_timeout) {
    ++m_network->m_counters.silent_peers;
    fail(event_id::peer_silent, "no response in time");
    return;
  }
  set_unresponsive(waiting > unresponsive_after);
  if (now - m_last_ping_at > ping_interval) {
    m_last_ping_at = now;
    wire::payloadUnion ping;
    ping.Set(wire::pingT{});
    send({encode_frame(ping), 0, duration(0), false});
  }
}

void peer_session::set_unresponsive(bool unresponsive) {
  if (m_unresponsive == unresponsive) {
    return;
  }
  m_unresponsive = unresponsive;
  if (m_network->m_hooks.on_unresponsive) {
    m_network->m_hooks.on_unresponsive(m_peer, unresponsive);
  }
}

void peer_session::close(bool notify) {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_frame_body = frame_bytes();
  set_received_bytes(0);
  set_unresponsive(false);
  m_timer.cancel();
  error_code ignored;
  m_socket.close(ignored);
  const std::deque<outgoing_frame> unsent = std::move(m_send_queue);
  m_send_queue.clear();
  for (const outgoing_frame& it : unsent) {
    m_network->m_queued_bytes -= it.bytes.size();
  }
  if (m_writing) {
    m_network->m_queued_bytes -= m_current_write.bytes.size();
  }
  if (!notify) {
    return;
  }
  m_network->on_closed(*this);
  for (const outgoing_frame& it : unsent) {
    if (it.call_correlation != 0) {
      m_network->m_hooks.on_unsent(it.call_correlation);
    }
  }
  if (m_established) {
    report_lost();
  }
}

void peer_session::report_lost() {
  const peer_hooks& hooks = m_network->m_hooks;
  if (!m_network->has_established_session(m_peer)) {
    hooks.on_connection_lost(m_peer);
    return;
  }
  if (!hooks.on_call_lost) {
    return;
  }
  const std::unordered_map<std::uint64_t, instant> lost =
      std::move(m_open_calls);
  for (const std::pair<const std::uint64_t, instant>& it : lost) {
    hooks.on_call_lost(it.first);
  }
}

void peer_session::send_hello() {
  wire::helloT hello;
  hello.node = m_network->m_self.node;
  hello.data_centre = m_network->m_self.data_centre;
  hello.incarnation = m_network->m_self.incarnation;
  hello.nonce = m_nonce;
  wire::payloadUnion body;
  body.Set(std::move(hello));
  write_handshake_frame(encode_frame(body));
}

void peer_session::read_frame_header() {
  const std::shared_ptr<peer_session> self = shared_from_this();
  asio::async_read(m_socket, asio::buffer(m_frame_header),
                   [self](const error_code& ec, std::size_t) {
                     if (ec) {
                       self->close(true);
                       return;
                     }
                     const std::optional<std::size_t> n =
                         frame_length(self->m_frame_header.data());
                     const bool is_allowed_size =
                         n && (self->m_established ||
                               *n <= max_handshake_frame_bytes);
                     if (!is_allowed_size) {
                       self->fail(event_id::frame_dropped, "invalid length");
                       return;
                     }
                     self->read_frame_body(*n);
                   });
}

void peer_session::read_frame_body(std::size_t n) {
  m_frame_bytes = n;
  m_frame_body.clear();
  read_frame_part();
}

void peer_session::read_frame_part() {
  m_frame_part.resize(
      std::min(m_frame_bytes - m_frame_body.size(), max_frame_part_bytes));
  set_received_bytes(m_frame_body.capacity() + m_frame_part.capacity());
  m_network->limit_received_bytes();
  if (m_closed) {
    return;
  }
  const std::shared_ptr<peer_session> self = shared_from_this();
  asio::async_read(m_socket, asio::buffer(m_frame_part),
                   [self](const error_code& ec, std::size_t) {
                     if (ec) {
                       self->close(true);
                       return;
                     }
                     if (!self->m_closed) {
                       self->on_frame_part();
                     }
                   });
}

void peer_session::on_frame_part() {
  const std::size_t n = m_frame_body.size() + m_frame_part.size();
  if (m_frame_body.empty()) {
    m_frame_body.swap(m_frame_part);
  } else {
    if (n > m_frame_body.capacity()) {
      m_frame_body.reserve(std::min(m_frame_bytes, 2 * n));
    }
    m_frame_body.insert(m_frame_body.end(), m_frame_part.begin(),
                        m_frame_part.end());
  }
  n < m_frame_bytes ? read_frame_part() : on_frame();
}

void peer_session::on_frame() {
  m_network->m_counters.bytes_received +=
      frame_header_bytes + m_frame_body.size();
  std::optional<wire::payloadUnion> body = decode_frame(m_frame_body);
  if (m_frame_body.capacity() > max_frame_part_bytes) {
    // The assignment of {} would keep the memory.
    m_frame_body = frame_bytes();
    m_frame_part = frame_bytes();
  }
  set_received_bytes(0);
  if (!body) {
    fail(event_id::frame_dropped, "invalid message");
    return;
  }
  m_last_received_at = read_clocks().now;
  m_response_pending = false;
  set_unresponsive(false);
  handle_message(*body);
  if (!m_closed) {
    read_frame_header();
  }
}

void peer_session::drop_frame() {
  fail(event_id::frame_dropped, "frames take too much memory");
}

void peer_session::set_received_bytes(std::size_t n) {
  m_network->m_received_bytes += n;
  m_network->m_received_bytes -= std::exchange(m_received_bytes, n);
}

void peer_session::handle_message(wire::payloadUnion& body) {
  if (body.type == wire::payload::hello) {
    handle_hello(*body.Ashello());
    return;
  }
  if (body.type == wire::payload::hello_proof) {
    handle_proof(*body.Ashello_proof());
    return;
  }
  if (!m_established) {
    fail(event_id::peer_refused, "no proof of the fleet's secret");
    return;
  }
  const bool is_keepalive_ping =
      body.type == wire::payload::ping && body.Asping()->lease.empty();
  if (is_keepalive_ping) {
    wire::payloadUnion pong;
    pong.Set(wire::pongT{});
    send({encode_frame(pong), 0, duration(0), false});
    return;
  }
  if (body.type == wire::payload::call) {
    m_unanswered_calls.insert(body.Ascall()->correlation);
  } else if (body.type == wire::payload::reply) {
    m_open_calls.erase(body.Asreply()->correlation);
  }
  m_network->m_hooks.on_message(m_peer, body);
}

void peer_session::handle_hello(const wire::helloT& m) {
  const bool is_expected_node = !m_dialled || m.node == m_peer;
  if (!m_peer_nonce.empty() || !is_expected_node || m.node.empty() ||
      m.node == m_network->m_self.node) {
    fail(event_id::peer_refused, "unexpected hello");
    return;
  }
  m_peer = m.node;
  m_peer_nonce = m.nonce;
  wire::hello_proofT proof;
  proof.proof = compute_proof(m_network->m_self.node, m_dialled);
  wire::payloadUnion body;
  body.Set(std::move(proof));
  write_handshake_frame(encode_frame(body));
}

void peer_session::handle_proof(const wire::hello_proofT& m) {
  const bool is_valid_proof =
      !m_peer_nonce.empty() &&
      equal_in_constant_time(m.proof, compute_proof(m_peer, !m_dialled));
  if (!is_valid_proof) {
    fail(event_id::peer_refused, "invalid proof of the fleet's secret");
    return;
  }
  m_established = true;
  m_timer.cancel();
  m_network->on_established(shared_from_this());
  write_next();
}

std::string peer_session::compute_proof(const std::string& node,
                                        bool by_dialler) const {
  // The proof covers both nonces and the role, so that it can be neither
  // replayed nor reflected.
  const std::string& dialler_nonce = m_dialled ? m_nonce : m_peer_nonce;
  const std::string& other_nonce = m_dialled ? m_peer_nonce : m_nonce;
  return hmac_hex(m_network->m_fleet_secret,
                  "peer/" + node + (by_dialler ? "/dial/" : "/accept/") +
                      dialler_nonce + "/" + other_nonce);
}

void peer_session::write_handshake_frame(frame_bytes frame) {
  m_handshake_queue.push_back(std::move(frame));
  write_next();
}

void peer_session::write_next() {
  if (m_writing || m_closed) {
    return;
  }
  const bool in_handshake = !m_handshake_queue.empty();
  if (in_handshake) {
    m_current_write = {std::move(m_handshake_queue.front()), 0, duration(0),
                       false};
    m_handshake_queue.pop_front();
    m_network->m_queued_bytes += m_current_write.bytes.size();
  } else if (m_established && !m_send_queue.empty()) {
    m_current_write = std::move(m_send_queue.front());
    m_send_queue.pop_front();
    if (!m_response_pending && m_current_write.expects_response) {
      m_response_pending = true;
      m_pending_since = read_clocks().now;
    }
    if (m_current_write.call_correlation != 0) {
      m_open_calls[m_current_write.call_correlation] =
          read_clocks().now + m_current_write.call_time_left;
    }
  } else {
    return;
  }
  m_writing = true;
  m_last_sent_at = read_clocks().now;
  m_network->m_counters.bytes_sent += m_current_write.bytes.size();
  const std::shared_ptr<peer_session> self = shared_from_this();
  asio::async_write(m_socket, asio::buffer(m_current_write.bytes),
                    [self](const error_code& ec, std::size_t) {
                      self->end_write();
                      if (ec) {
                        self->close(true);
                        return;
                      }
                      self->write_next();
                    });
}

void peer_session::end_write() {
  if (!m_closed) {
    m_network->m_queued_bytes -= m_current_write.bytes.size();
  }
  m_writing = false;
  m_current_write.bytes = frame_bytes();
}

void peer_session::fail(event_id id, const std::string& why) {
  if (m_closed) {
    return;
  }
  peer_counters& counters = m_network->m_counters;
  if (id == event_id::frame_dropped) {
    ++counters.bad_frames;
  } else if (id == event_id::peer_refused) {
    ++counters.refused_peers;
  }
  m_network->m_hooks.log(id, {{"peer", m_peer}, {"why", why}});
  close(true);
}

} // namespace kingcupslip
