// An HTTP/1.1 client for one endpoint. It never sends a request twice.
#ifndef KINGCUPSLIP_NET_HTTP_CLIENT_HPP
#define KINGCUPSLIP_NET_HTTP_CLIENT_HPP

#include "kingcupslip/core/log_event.hpp"
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

/// Sends requests to one endpoint over a pool of persistent connections.
/// Runs on the loop. The connection that became idle last is reused first; a
/// connection that the peer has closed, or that was idle for too long, is not
/// reused, and neither is one that brought an answer to no request or to
/// another one. A request is written at most once: a failure after that is
/// reported as `exchange_end::lost` and never retried here.
class http_client {
public:
  using result_handler = std::function<void(target_result)>;

  /// `max_response_bytes`: of the body of one response. `max_buffered_bytes`:
  /// of all responses that are being read, heads included.
  http_client(io_loop& loop, boost::asio::ip::tcp::endpoint endpoint,
              event_sink log = nullptr,
              std::size_t max_response_bytes = 8UL * 1024 * 1024,
              std::size_t max_buffered_bytes = 32UL * 1024 * 1024);
  ~http_client();

  /// Sends a request. Its `time_left` limits the whole exchange, response
  /// included. `id` identifies the exchange for `cancel`. `on_complete` runs
  /// once, unless the client is destroyed first.
  void send(std::uint64_t id, target_request request,
            result_handler on_complete);

  /// Closes the exchange's connection. The exchange ends as `lost`, or as
  /// `not_connected` if its request was not written yet. An unknown id is
  /// ignored.
  void cancel(std::uint64_t id);

  /// Ends the exchange as `not_connected` if its request was not written yet;
  /// changes nothing otherwise.
  void withdraw(std::uint64_t id);

  /// Number of connection attempts so far.
  std::uint64_t connections_opened() const { return m_connections_opened; }

private:
  friend class http_exchange;
  /// An open connection without a request, in the pool.
  struct idle_connection {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    instant idle_since{0};
    instant expires_at{0};
  };

  /// Returns the connection that became idle last and is still open; null if
  /// there is none.
  std::shared_ptr<boost::asio::ip::tcp::socket> take_idle_connection();
  void add_idle_connection(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                           duration idle_timeout);
  /// Discards the connections that have been idle since before `cutoff`, the
  /// start of a request that got no response on a reused connection: they may
  /// be dead in the same way.
  void discard_idle_before(instant cutoff);

  /// Ends the exchanges with the largest responses, as long as the responses
  /// that are being read take too much memory.
  void limit_buffered_bytes();

  io_loop& m_loop;
  boost::asio::ip::tcp::endpoint m_endpoint;
  event_sink m_log;
  std::size_t m_max_response_bytes;
  /// A server whose responses do not end must not use up the memory of the
  /// node.
  std::size_t m_max_buffered_bytes;
  std::uint64_t m_connections_opened = 0;
  std::size_t m_buffered_bytes = 0; ///< of responses that are being read
  std::list<idle_connection> m_idle;
  std::map<std::uint64_t, std::weak_ptr<http_exchange>> m_exchanges;
};

} // namespace kingcupslip

#endif
