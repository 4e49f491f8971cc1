// A TCP relay that can silently drop the traffic of open connections.
#ifndef KINGCUPSLIP_TESTS_SILENT_RELAY_HPP
#define KINGCUPSLIP_TESTS_SILENT_RELAY_HPP

#include "kingcupslip/net/loop.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace kingcupslip {

/// Forwards connections to a port on the loopback address.
class silent_relay {
public:
  silent_relay(io_loop& loop, std::uint16_t server_port)
      : m_loop(loop),
        m_server(boost::asio::ip::address_v4::loopback(), server_port),
        m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

  /// Drops all further bytes on the connections that are open now, without
  /// closing them. New connections are not affected.
  void silence_open_connections() {
    for (const std::shared_ptr<relayed_connection>& it : m_connections) {
      it->silent = true;
    }
  }

  /// Closes the connections that are open now after `n` further bytes of their
  /// clients.
  void close_open_connections_after(std::size_t n) {
    for (const std::shared_ptr<relayed_connection>& it : m_connections) {
      it->closes = true;
      it->client_bytes_left = n;
      close_if_due(*it);
    }
  }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  struct relayed_connection {
    explicit relayed_connection(io_loop& loop)
        : client_side(loop), server_side(loop) {}
    tcp::socket client_side;
    tcp::socket server_side;
    bool silent = false;
    bool closes = false;
    std::size_t client_bytes_left = 0;
  };

  static void close_if_due(relayed_connection& c) {
    if (c.closes && c.client_bytes_left == 0) {
      error_code ignored;
      c.server_side.close(ignored);
      c.client_side.close(ignored);
    }
  }

  void accept() {
    const std::shared_ptr<relayed_connection> p =
        std::make_shared<relayed_connection>(m_loop);
    m_acceptor.async_accept(p->client_side, [this, p](const error_code& ec) {
      if (ec) {
        return;
      }
      m_connections.push_back(p);
      p->server_side.connect(m_server);
      forward(p, p->client_side, p->server_side);
      forward(p, p->server_side, p->client_side);
      accept();
    });
  }

  static void forward(const std::shared_ptr<relayed_connection>& p,
                      tcp::socket& from, tcp::socket& to) {
    const std::shared_ptr<std::array<char, 4096>> buf =
        std::make_shared<std::array<char, 4096>>();
    from.async_read_some(
        boost::asio::buffer(*buf),
        [p, buf, &from, &to](const error_code& ec, std::size_t n) {
          if (ec) {
            return;
          }
          error_code ignored;
          const bool counted = p->closes && &from == &p->client_side;
          const std::size_t passed =
              counted ? std::min(n, p->client_bytes_left) : n;
          if (!p->silent) {
            boost::asio::write(to, boost::asio::buffer(*buf, passed), ignored);
          }
          if (counted) {
            p->client_bytes_left -= passed;
            close_if_due(*p);
          }
          forward(p, from, to);
        });
  }

  io_loop& m_loop;
  tcp::endpoint m_server;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<relayed_connection>> m_connections;
};

} // namespace kingcupslip

#endif
