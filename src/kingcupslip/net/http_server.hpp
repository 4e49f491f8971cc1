// An HTTP/1.1 server with bounded heads, bodies, connections and times.
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

struct server_limits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  std::size_t max_connections = 4096;
  /// For a whole request to arrive once its first byte has.
  std::chrono::milliseconds request_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
};

/// Answers one request; must be called exactly once, on the loop's thread.
using response_sender = std::function<void(outcome)>;
using request_handler = std::function<void(caller_request, response_sender)>;
/// The connection closed while its request was being answered.
using disconnect_handler = std::function<void(std::uint64_t connection)>;

/// What a caller gets for an outcome.
using response_encoder = std::function<outcome(outcome)>;

class http_session;

/// What a server does with requests. Without an encoder of their own,
/// refusals become problem documents.
struct server_hooks {
  request_handler on_request;
  disconnect_handler on_disconnect;
  response_encoder encode;
};

/// Runs on the loop. Faulty requests are answered with a problem document;
/// the connection then closes.
class http_server {
public:
  /// Throws `boost::system::system_error` where the address cannot be used.
  http_server(io_loop& loop, const std::string& address, std::uint16_t port,
              server_limits limits, server_hooks hooks);
  ~http_server();

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
  std::size_t connections() const { return *m_open_connections; }

  /// Open connections close after their next answer; new ones still come.
  void disable_keep_alive() { *m_keep_alive_disabled = true; }

  /// Stops listening; open connections close after their next answer.
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
