// An HTTP/1.1 server with limits on headers, bodies, connections and times.
#ifndef KINGCUPSLIP_NET_HTTP_SERVER_HPP
#define KINGCUPSLIP_NET_HTTP_SERVER_HPP

#include "kingcupslip/core/entry_stage.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace kingcupslip {

/// Limits that a server enforces on connections and requests.
struct server_limits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  /// Beyond this, connections are refused. From nine tenths of it on, a new one
  /// closes the one that has been idle longest.
  std::size_t max_connections = 4096;
  /// Time for a whole request to arrive after its first byte.
  std::chrono::milliseconds request_timeout{10'000};
  /// Time without a request after which a connection is closed.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time in which a caller takes no byte of its answer, after which the
  /// connection is closed.
  std::chrono::milliseconds answer_stall_timeout{30'000};
  /// Memory for the bodies of answers that callers have not taken yet. Beyond
  /// it, the connections whose answers have waited longest are closed.
  std::size_t max_answer_bytes = 32UL * 1024 * 1024;
  /// Memory for requests that are being read or handled, heads included. Beyond
  /// it, the largest one that has not arrived in full is refused. A quarter is
  /// left to requests of up to `large_request_bytes`.
  std::size_t max_request_bytes = 32UL * 1024 * 1024;
  std::size_t large_request_bytes = 64UL * 1024;
  /// Requests of one connection that are handled at a time, if `may_overlap`
  /// allows it; 1: each is read after the answer to the one before.
  std::size_t max_pipelined = 1;
  /// Requests that are handled beside an earlier one of their connection, over
  /// all connections.
  std::size_t max_overlapping = 1024;
};

/// Sends the response to one request. Must be called exactly once, on the
/// loop's thread.
using response_sender = std::function<void(outcome)>;
using request_handler = std::function<void(caller_request, response_sender)>;
/// Called when a connection closes while its request is being handled.
using disconnect_handler = std::function<void(std::uint64_t connection)>;

/// Whether a request may be handled beside others of its connection: it may run
/// more than once, so that its caller sends it again if the connection ends.
using overlap_check = std::function<bool(const caller_request&)>;

/// Converts an outcome to the response that the caller gets.
using response_encoder = std::function<outcome(outcome)>;

class http_session;

/// Callbacks of a server. `on_disconnect`, `log` and `may_overlap` may be null.
/// A null `encode` stands for `to_http`, which encodes refusals as problem
/// documents.
struct server_hooks {
  request_handler on_request;
  disconnect_handler on_disconnect;
  response_encoder encode;
  event_sink log = nullptr;
  overlap_check may_overlap = nullptr;
};

/// Accepts connections, reads requests and sends their responses, in the order
/// of the requests on a connection. Runs on the loop. A request that cannot be
/// read is refused, with the refusal encoded as any other, and its connection
/// is closed.
class http_server {
public:
  /// Throws `boost::system::system_error` if it cannot listen on the address.
  http_server(io_loop& loop, const std::string& address, std::uint16_t port,
              server_limits limits, server_hooks hooks);
  ~http_server();

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  /// Number of open connections.
  std::size_t connections() const { return m_state->open_connections; }
  /// Number of requests whose answers are not completely written yet. A
  /// request counts from when it has been read, or could not be read, until
  /// the kernel has taken its answer or its connection has closed.
  std::size_t unanswered_requests() const {
    return m_state->unanswered_requests;
  }

  /// Each connection closes after the responses to the requests that have been
  /// passed on. New connections are still accepted.
  void disable_keep_alive() { m_state->keep_alive_disabled = true; }

  /// Stops listening. Open connections close after their next response. Those
  /// that have not been accepted yet are closed.
  void stop_accepting();

private:
  friend class http_session;
  /// What the connections share; it outlives the server.
  struct shared_state {
    std::size_t open_connections = 0;
    std::size_t unanswered_requests = 0;
    std::size_t answer_bytes = 0; ///< of `answering`
    std::size_t overlapping = 0;  ///< see `server_limits::max_overlapping`
    /// Of requests that are being read or handled.
    std::size_t request_bytes = 0;
    /// Sessions that are reading a request.
    std::list<http_session*> reading;
    /// Sessions without a request, the one that has been idle longest first.
    std::list<http_session*> idle;
    /// Sessions that hold answers, the one that began to hold some first in
    /// front.
    std::list<http_session*> answering;
    bool keep_alive_disabled = false;
    bool accepting = true;
  };

  void accept();
  void accept_later();

  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_retry_timer;
  server_limits m_limits;
  std::shared_ptr<const server_hooks> m_hooks;
  std::shared_ptr<shared_state> m_state;
  std::uint64_t m_last_connection_id = 0;
};

} // namespace kingcupslip

#endif
