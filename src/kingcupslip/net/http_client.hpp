// An HTTP/1.1 client for one endpoint that never sends a request twice.
#ifndef KINGCUPSLIP_NET_HTTP_CLIENT_HPP
#define KINGCUPSLIP_NET_HTTP_CLIENT_HPP

#include "kingcupslip/core/target_stage.hpp"
#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace kingcupslip {

class http_exchange;

/// Runs on the loop. Connections are kept and used again, newest first; one
/// that the peer has closed, or that was idle for long, is not used. A
/// request is written at most once: what goes wrong afterwards is reported
/// as `exchange_end::lost`, never tried again here.
class http_client {
public:
  using result_handler = std::function<void(target_result)>;

  http_client(io_loop& loop, boost::asio::ip::tcp::endpoint endpoint,
              std::size_t max_response_bytes = 8UL * 1024 * 1024);
  ~http_client();

  /// Sends a request; its `time_left` bounds the whole exchange. `id` names
  /// it for `cancel`.
  void send(std::uint64_t id, target_request request,
            result_handler on_complete);

  /// Closes the exchange's connection; it ends as `lost`.
  void cancel(std::uint64_t id);

  std::uint64_t connections_opened() const { return m_connections_opened; }

private:
  friend class http_exchange;
  struct idle_connection {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    instant idle_since{0};
    instant expires_at{0};
  };

  std::shared_ptr<boost::asio::ip::tcp::socket> take_idle_connection();
  void add_idle_connection(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                           duration idle_timeout);
  /// A request that began then got no answer: connections that have been
  /// idle for longer may have gone silent just the same.
  void discard_idle_before(instant cutoff);

  io_loop& m_loop;
  boost::asio::ip::tcp::endpoint m_endpoint;
  std::size_t m_max_response_bytes;
  std::uint64_t m_connections_opened = 0;
  std::list<idle_connection> m_idle;
  std::map<std::uint64_t, std::weak_ptr<http_exchange>> m_exchanges;
};

} // namespace kingcupslip

#endif
