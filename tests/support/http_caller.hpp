// A server whose requests a test answers, and a caller that sends bytes to it.
#ifndef KINGCUPSLIP_TESTS_HTTP_CALLER_HPP
#define KINGCUPSLIP_TESTS_HTTP_CALLER_HPP

#include "kingcupslip/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace kingcupslip {

constexpr std::chrono::milliseconds patience_of_test{5000};

/// A server whose requests are answered at once, or held.
struct served {
  explicit served(server_limits l, overlap_check may_overlap = nullptr)
      : limits(l),
        server(loop, "127.0.0.1", 0, limits,
               {[this](const caller_request& r, const response_sender& s) {
                  ++requests;
                  targets.push_back(r.request_target);
                  answers_at_once ? answer(s) : held.push_back(s);
                },
                [this](std::uint64_t) { ++disconnects; }, nullptr,
                [this](event_id, const event_fields& f) {
                  causes.push_back(f.front().second);
                },
                std::move(may_overlap)}) {}

  io_loop loop;
  server_limits limits;
  bool answers_at_once = true;
  std::size_t answer_bytes = 2;
  std::vector<response_sender> held;
  std::size_t requests = 0;
  std::size_t disconnects = 0;
  std::vector<std::string> causes;
  std::vector<std::string> targets; ///< of the requests, as they came
  http_server server;

  void answer(const response_sender& send) const {
    answer(send, std::string(answer_bytes, 'a'));
  }
  static void answer(const response_sender& send, const std::string& body) {
    outcome o;
    o.execution = verdict::ran;
    o.status = 200;
    o.body.assign(body.begin(), body.end());
    send(std::move(o));
  }
  /// Returns the number of handlers that ran.
  std::size_t run_for(std::chrono::milliseconds span) {
    loop.restart();
    return loop.run_for(span);
  }
  template <class Condition>
  bool run_until(std::chrono::milliseconds span, Condition condition) {
    const instant end = read_clocks().now + span;
    while (!condition() && read_clocks().now < end) {
      run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }
};

struct raw_caller {
  explicit raw_caller(served& s, int receive_buffer_bytes = 0)
      : m_served(s), m_socket(m_own_loop) {
    m_socket.open(boost::asio::ip::tcp::v4());
    if (receive_buffer_bytes > 0) {
      m_socket.set_option(
          boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    }
    m_socket.connect(
        {boost::asio::ip::address_v4::loopback(), s.server.port()});
    m_socket.non_blocking(true);
  }

  /// Sends what the buffers take; the rest is sent as the server reads.
  void send(const std::string& text) {
    m_unsent += text;
    send_some();
  }
  void send_some() {
    while (!m_unsent.empty() && !send_failed) {
      boost::system::error_code ec;
      const std::size_t n =
          m_socket.write_some(boost::asio::buffer(m_unsent), ec);
      m_unsent.erase(0, n);
      if (ec == boost::asio::error::would_block) {
        return;
      }
      send_failed = static_cast<bool>(ec);
    }
  }
  bool all_sent() const { return m_unsent.empty(); }
  /// Reads while the server runs, until `end` has been received at the end, or
  /// the connection has ended.
  std::string read_until(const std::string& end) {
    std::string received;
    m_served.run_until(patience_of_test, [this, &received, &end] {
      send_some();
      std::string block(64UL * 1024, ' ');
      boost::system::error_code ec;
      while (!ec) {
        const std::size_t n =
            m_socket.read_some(boost::asio::buffer(block), ec);
        received.append(block, 0, n);
      }
      ended = ec != boost::asio::error::would_block;
      reset = ended && ec != boost::asio::error::eof;
      return ended || (received.size() >= end.size() &&
                       received.substr(received.size() - end.size()) == end);
    });
    return received;
  }
  /// Reads what has arrived, at most `max_bytes`.
  std::size_t read_some(std::size_t max_bytes) {
    std::string block(max_bytes, ' ');
    boost::system::error_code ignored;
    return m_socket.read_some(boost::asio::buffer(block), ignored);
  }
  std::string read_answer() { return read_until("\r\n\r\naa"); }
  void close() { m_socket.close(); }

  bool send_failed = false;
  bool ended = false;
  bool reset = false;

private:
  served& m_served;
  io_loop m_own_loop;
  boost::asio::ip::tcp::socket m_socket;
  std::string m_unsent;
};

} // namespace kingcupslip

#endif
