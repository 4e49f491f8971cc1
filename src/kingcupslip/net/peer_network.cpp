// Dialling, accepting and selection of connections between nodes.
#include "kingcupslip/net/peer_network.hpp"

#include "kingcupslip/core/reply_codec.hpp"
#include "kingcupslip/net/peer_session.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace kingcupslip {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t max_sessions = 4096;
/// Of the frames that are queued for all peers. A peer that reads slowly must
/// not use up the memory of the node.
constexpr std::size_t max_queued_bytes = 32UL * 1024 * 1024;
/// Of the frames that are being received from all peers.
constexpr std::size_t max_received_bytes = 32UL * 1024 * 1024;
/// Between an attempt to accept a connection that failed and the next one.
constexpr std::chrono::milliseconds accept_pause{50};

std::optional<tcp::endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  error_code ec;
  const asio::ip::address ip =
      asio::ip::make_address(text.substr(0, colon), ec);
  std::uint16_t port = 0;
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (ec || port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

/// The reply to a call whose answer cannot be sent.
wire::payloadUnion lost_answer(std::uint64_t correlation) {
  wire::payloadUnion out;
  out.Set(to_reply(correlation,
                   refusal(reason::connection_lost, verdict::may_have_run)));
  return out;
}

std::uint64_t call_correlation(const wire::payloadUnion& body) {
  const bool is_call = body.type == wire::payload::call;
  return is_call ? body.Ascall()->correlation : 0;
}

duration call_time_left(const wire::payloadUnion& body) {
  const bool is_call = body.type == wire::payload::call;
  return duration(is_call ? body.Ascall()->time_left_us : 0);
}

bool expects_response(const wire::payloadUnion& body) {
  return body.type == wire::payload::call ||
         (body.type == wire::payload::gossip && body.Asgossip()->answer_wanted);
}

} // namespace

peer_network::peer_network(io_loop& loop, node_identity self,
                           std::string fleet_secret, const std::string& address,
                           std::uint16_t port, peer_hooks hooks)
    : m_loop(loop), m_self(std::move(self)),
      m_fleet_secret(std::move(fleet_secret)),
      m_acceptor(loop, tcp::endpoint(asio::ip::make_address(address), port)),
      m_accept_timer(loop), m_hooks(std::move(hooks)) {
  accept();
}

peer_network::~peer_network() {
  error_code ignored;
  m_acceptor.close(ignored);
  m_accept_timer.cancel(ignored);
  const std::map<peer_session*, std::shared_ptr<peer_session>> sessions =
      std::move(m_sessions);
  for (const std::pair<peer_session* const, std::shared_ptr<peer_session>>& it :
       sessions) {
    it.second->close(false);
  }
}

void peer_network::send(const std::string& node,
                        const wire::payloadUnion& body) {
  const std::uint64_t correlation = call_correlation(body);
  const std::shared_ptr<peer_session> s = session_for(node, body);
  if (!s) {
    if (correlation != 0) {
      // Posted, not called from here: the sender may not have registered the
      // call yet.
      const std::function<void(std::uint64_t)> unsent = m_hooks.on_unsent;
      asio::post(m_loop, [unsent, correlation] { unsent(correlation); });
    }
    return;
  }
  frame_bytes frame = encode_frame(body);
  const bool is_reply = body.type == wire::payload::reply;
  if (is_reply && !has_room_for(frame.size())) {
    m_hooks.log(event_id::frame_dropped,
                {{"peer", node}, {"why", "answers take too much memory"}});
    frame = encode_frame(lost_answer(body.Asreply()->correlation));
  }
  s->send({std::move(frame), correlation, call_time_left(body),
           expects_response(body)});
}

std::shared_ptr<peer_session>
peer_network::session_for(const std::string& node,
                          const wire::payloadUnion& body) {
  const auto preferred = m_session_by_node.find(node);
  if (body.type == wire::payload::reply) {
    const std::uint64_t correlation = body.Asreply()->correlation;
    if (preferred != m_session_by_node.end() &&
        preferred->second->take_unanswered(correlation)) {
      return preferred->second;
    }
    for (const std::pair<peer_session* const, std::shared_ptr<peer_session>>&
             it : m_sessions) {
      if (it.second->peer() == node &&
          it.second->take_unanswered(correlation)) {
        return it.second;
      }
    }
  }
  return preferred == m_session_by_node.end() ? dial(node) : preferred->second;
}

bool peer_network::has_room_for(std::size_t n) const {
  return m_queued_bytes + n <= max_queued_bytes;
}

bool peer_network::has_established_session(const std::string& node) const {
  return std::any_of(
      m_sessions.begin(), m_sessions.end(),
      [&node](const std::pair<peer_session* const,
                              std::shared_ptr<peer_session>>& it) {
        return it.second->established() && it.second->peer() == node;
      });
}

void peer_network::tick() {
  const instant now = read_clocks().now;
  const std::map<peer_session*, std::shared_ptr<peer_session>> sessions =
      m_sessions;
  for (const std::pair<peer_session* const, std::shared_ptr<peer_session>>& it :
       sessions) {
    it.second->check_timeouts(now);
  }
}

void peer_network::accept() {
  m_acceptor.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) {
      return;
    }
    if (ec) {
      accept_later();
      return;
    }
    if (m_sessions.size() < max_sessions) {
      const std::shared_ptr<peer_session> s =
          std::make_shared<peer_session>(*this, std::move(socket), "");
      m_sessions[s.get()] = s;
      s->start();
    }
    accept();
  });
}

void peer_network::accept_later() {
  m_accept_timer.expires_after(accept_pause);
  m_accept_timer.async_wait([this](const error_code& ec) {
    if (!ec && m_acceptor.is_open()) {
      accept();
    }
  });
}

std::shared_ptr<peer_session> peer_network::dial(const std::string& node) {
  const std::optional<tcp::endpoint> remote =
      parse_endpoint(m_hooks.address_of(node));
  if (!remote) {
    return nullptr;
  }
  std::shared_ptr<peer_session> s =
      std::make_shared<peer_session>(*this, tcp::socket(m_loop), node);
  m_sessions[s.get()] = s;
  m_session_by_node[node] = s;
  s->connect(*remote);
  return s;
}

void peer_network::on_established(const std::shared_ptr<peer_session>& s) {
  std::shared_ptr<peer_session>& preferred = m_session_by_node[s->peer()];
  if (!preferred) {
    preferred = s;
  }
}

void peer_network::limit_received_bytes() {
  while (m_received_bytes > max_received_bytes) {
    const auto largest = std::max_element(
        m_sessions.begin(), m_sessions.end(),
        [](const std::pair<peer_session* const, std::shared_ptr<peer_session>>&
               a,
           const std::pair<peer_session* const, std::shared_ptr<peer_session>>&
               b) {
          return a.second->received_bytes() < b.second->received_bytes();
        });
    if (largest == m_sessions.end()) {
      return;
    }
    const std::shared_ptr<peer_session> s = largest->second;
    s->drop_frame();
  }
}

void peer_network::on_closed(peer_session& s) {
  m_sessions.erase(&s);
  const auto it = m_session_by_node.find(s.peer());
  if (it != m_session_by_node.end() && it->second.get() == &s) {
    m_session_by_node.erase(it);
  }
}

} // namespace kingcupslip
