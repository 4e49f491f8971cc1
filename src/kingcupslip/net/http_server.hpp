// An HTTP/1.1 server with limits on headers, bodies, connections and times.
#ifndef KINGCUPSLIP_NET_HTTP_SERVER_HPP
#define KINGCUPSLIP_NET_HTTP_SERVER_HPP

#include "kingcupslip/core/entry_stage.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kingcupslip {

/// Limits that a server enforces on connections and requests.
struct server_limits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  std::size_t max_connections = 4096;
  /// Time for a whole request to arrive after its first byte.
  std::chrono::milliseconds request_timeout{10'000};
  /// Time without a request after which a connection is closed.
  std::chrono::milliseconds idle_timeout{60'000};
};

/// Sends the response to one request. Must be called exactly once, on the
/// loop's thread.
using response_sender = std::function<void(outcome)>;
using request_handler = std::function<void(caller_request, response_sender)>;
/// Called when a connection closes while its request is being handled.
using disconnect_handler = std::function<void(std::uint64_t connection)>;

/// Converts an outcome to the response that the caller gets.
using response_encoder = std::function<outcome(outcome)>;

class http_session;

/// Callbacks of a server. `on_disconnect` may be null. A null `encode` stands
/// for `to_http`, which encodes refusals as problem documents.
struct server_hooks {
  request_handler on_request;
  disconnect_handler on_disconnect;
  response_encoder encode;
};

/// Accepts connections, reads requests and sends their responses. Runs on
/// the loop. A request that cannot be read is refused, with the refusal
/// encoded as any other, and its connection is closed.
class http_server {
public:
  /// Throws `boost::system::system_error` if it cannot listen on the address.
  http_server(io_loop& loop, const std::string& address, std::uint16_t port,
              server_limits limits, server_hooks hooks);
  ~http_server();

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  /// Number of open connections.
  std::size_t connections() const { return *m_open_connections; }

  /// Each connection closes after its next response. New connections are
  /// still accepted.
  void disable_keep_alive() { *m_keep_alive_disabled = true; }

  /// Stops listening. Open connections close after their next response.
  void stop_accepting();

private:
  friend class http_session;
  void accept();

  io_loop& m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  server_limits m_limits;
  std::shared_ptr<const server_hooks> m_hooks;
  std::shared_ptr<std::size_t> m_open_connections;
  std::shared_ptr<bool> m_keep_alive_disabled;
  std::uint64_t m_last_connection_id = 0;
};

} // namespace kingcupslip

#endif
