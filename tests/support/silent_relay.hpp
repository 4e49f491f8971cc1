// A relay between two ends that can lose track of open connections.
#ifndef KINGCUPSLIP_TESTS_SILENT_RELAY_HPP
#define KINGCUPSLIP_TESTS_SILENT_RELAY_HPP

#include "kingcupslip/net/loop.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace kingcupslip {

class silent_relay {
public:
  silent_relay(io_loop& loop, std::uint16_t to)
      : m_loop(loop), m_to(boost::asio::ip::address_v4::loopback(), to),
        m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

  /// Bytes on connections that are open now vanish, without a reset; new
  /// connections work.
  void silence_open_connections() {
    for (const std::shared_ptr<pair>& it : m_pairs) {
      it->silent = true;
    }
  }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  struct pair {
    explicit pair(io_loop& loop) : near(loop), far(loop) {}
    tcp::socket near;
    tcp::socket far;
    bool silent = false;
  };

  void accept() {
    const std::shared_ptr<pair> p = std::make_shared<pair>(m_loop);
    m_acceptor.async_accept(p->near, [this, p](const error_code& ec) {
      if (ec) {
        return;
      }
      m_pairs.push_back(p);
      p->far.connect(m_to);
      pump(p, p->near, p->far);
      pump(p, p->far, p->near);
      accept();
    });
  }

  static void pump(const std::shared_ptr<pair>& p, tcp::socket& from,
                   tcp::socket& to) {
    const std::shared_ptr<std::array<char, 4096>> buf =
        std::make_shared<std::array<char, 4096>>();
    from.async_read_some(
        boost::asio::buffer(*buf),
        [p, buf, &from, &to](const error_code& ec, std::size_t n) {
          if (ec) {
            return;
          }
          error_code ignored;
          if (!p->silent) {
            boost::asio::write(to, boost::asio::buffer(*buf, n), ignored);
          }
          pump(p, from, to);
        });
  }

  io_loop& m_loop;
  tcp::endpoint m_to;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<pair>> m_pairs;
};

} // namespace kingcupslip

#endif
