// Reads of HTTP messages in parts. Beast's own reads report nothing until a
// head, or a line of a chunked body, is complete; what a peer makes a node hold
// until then has to be counted, too.
#ifndef KINGCUPSLIP_NET_MESSAGE_READ_HPP
#define KINGCUPSLIP_NET_MESSAGE_READ_HPP

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <utility>

namespace kingcupslip {

constexpr std::size_t max_read_bytes = 64UL * 1024;

/// Passes the buffer's bytes to the parser until the message is complete or
/// needs more of them. Returns how many the parser has taken.
template <class Parser>
std::size_t parse_buffered(boost::beast::flat_buffer& buffer, Parser& parser,
                           boost::system::error_code& ec) {
  std::size_t out = 0;
  ec = {};
  while (!ec && !parser.is_done() && buffer.size() > 0) {
    const std::size_t n = parser.put(buffer.data(), ec);
    buffer.consume(n);
    out += n;
  }
  if (ec == boost::beast::http::error::need_more) {
    ec = {};
  }
  return out;
}

/// Reads once from the socket and parses what has arrived. The handler gets the
/// error, if any, and the number of bytes that the parser has taken. Socket,
/// buffer and parser must outlive the read.
template <class Parser, class Handler>
void async_read_part(boost::asio::ip::tcp::socket& socket,
                     boost::beast::flat_buffer& buffer, Parser& parser,
                     Handler handler) {
  const std::size_t n = boost::beast::read_size(buffer, max_read_bytes);
  if (n == 0) {
    boost::asio::post(socket.get_executor(), [handler] {
      handler(boost::beast::http::error::buffer_overflow, 0);
    });
    return;
  }
  socket.async_read_some(
      buffer.prepare(n),
      [&buffer, &parser, handler = std::move(handler)](
          boost::system::error_code ec, std::size_t received) {
        buffer.commit(received);
        std::size_t parsed = 0;
        if (!ec) {
          parsed = parse_buffered(buffer, parser, ec);
        } else if (ec == boost::asio::error::eof && parser.got_some()) {
          parser.put_eof(ec);
        } else if (ec == boost::asio::error::eof) {
          ec = boost::beast::http::error::end_of_stream;
        }
        handler(ec, parsed);
      });
}

} // namespace kingcupslip

#endif
