// A server whose answers do not end.
#ifndef KINGCUPSLIP_TESTS_ENDLESS_SERVER_HPP
#define KINGCUPSLIP_TESTS_ENDLESS_SERVER_HPP

#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// Answers each request with a text, followed by a repeated text until the
/// client closes the connection. Without a repeated text the answer stops
/// there, and the connection stays open.
class endless_server {
public:
  endless_server(io_loop& loop, std::string first, const std::string& repeated)
      : m_loop(loop), m_first(std::move(first)),
        m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    while (!repeated.empty() && m_block.size() < block_bytes) {
      m_block += repeated;
    }
    accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return m_acceptor.local_endpoint();
  }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  static constexpr std::size_t block_bytes = 64UL * 1024;
  struct connection {
    explicit connection(io_loop& loop) : socket(loop) {}
    tcp::socket socket;
    boost::asio::streambuf request;
  };

  void accept() {
    const std::shared_ptr<connection> c = std::make_shared<connection>(m_loop);
    m_acceptor.async_accept(c->socket, [this, c](const error_code& ec) {
      if (ec) {
        return;
      }
      boost::asio::async_read_until(
          c->socket, c->request, "\r\n\r\n",
          [this, c](const error_code& error, std::size_t) {
            if (!error) {
              write(c, m_first);
            }
          });
      accept();
    });
  }

  void write(const std::shared_ptr<connection>& c, const std::string& text) {
    boost::asio::async_write(c->socket, boost::asio::buffer(text),
                             [this, c](const error_code& ec, std::size_t) {
                               if (!ec && !m_block.empty()) {
                                 write(c, m_block);
                               } else if (!ec) {
                                 m_stopped.push_back(c);
                               }
                             });
  }

  io_loop& m_loop;
  std::string m_first;
  std::string m_block;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<connection>> m_stopped;
};

} // namespace kingcupslip

#endif
