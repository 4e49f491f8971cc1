// An HTTP server that answers with given texts, also more than once.
#ifndef KINGCUPSLIP_TESTS_SCRIPTED_SERVER_HPP
#define KINGCUPSLIP_TESTS_SCRIPTED_SERVER_HPP

#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// Answers the requests in the order in which they arrive, over all
/// connections, with these texts; the texts of one answer are sent with a pause
/// between them. A request without texts gets no answer.
class scripted_server {
public:
  using texts = std::vector<std::string>;
  static constexpr std::chrono::milliseconds pause{50};

  scripted_server(io_loop& loop, std::vector<texts> answers)
      : m_loop(loop), m_answers(std::move(answers)),
        m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return m_acceptor.local_endpoint();
  }

  /// Whether the last answer is written once more, where it went, before the
  /// next request is answered.
  bool repeats_answers = false;

private:
  using error_code = boost::system::error_code;
  struct connection {
    explicit connection(io_loop& loop) : socket(loop), timer(loop) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf request;
  };

  void accept() {
    const std::shared_ptr<connection> c = std::make_shared<connection>(m_loop);
    m_acceptor.async_accept(c->socket, [this, c](const error_code& ec) {
      if (!ec) {
        read(c);
        accept();
      }
    });
  }

  void read(const std::shared_ptr<connection>& c) {
    boost::asio::async_read_until(
        c->socket, c->request, "\r\n\r\n",
        [this, c](const error_code& ec, std::size_t n) {
          if (ec || m_answered == m_answers.size()) {
            return;
          }
          c->request.consume(n);
          repeat_last_answer();
          m_last_connection = c;
          write(c, m_answered++, 0);
        });
  }

  void repeat_last_answer() {
    if (repeats_answers && m_last_connection) {
      error_code ignored;
      boost::asio::write(m_last_connection->socket,
                         boost::asio::buffer(m_answers[m_answered - 1].back()),
                         ignored);
    }
  }

  void write(const std::shared_ptr<connection>& c, std::size_t request,
             std::size_t part) {
    if (part == m_answers[request].size()) {
      read(c);
      return;
    }
    boost::asio::async_write(
        c->socket, boost::asio::buffer(m_answers[request][part]),
        [this, c, request, part](const error_code& ec, std::size_t) {
          if (ec) {
            return;
          }
          c->timer.expires_after(pause);
          c->timer.async_wait([this, c, request, part](const error_code& e) {
            if (!e) {
              write(c, request, part + 1);
            }
          });
        });
  }

  io_loop& m_loop;
  std::vector<texts> m_answers;
  std::size_t m_answered = 0;
  std::shared_ptr<connection> m_last_connection;
  boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace kingcupslip

#endif
