// Tests callers that send bytes without end: the memory that a server uses is
// bounded, and the caller gets an answer or a closed connection.
#include "kingcupslip/net/http_server.hpp"

#include "support/heap_bytes.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t block_bytes = 64UL * 1024;
constexpr std::size_t max_body_bytes = 1024UL * 1024;
constexpr milliseconds patience_of_test{3000};
/// A head, a body and what the sockets' buffers bring at once.
constexpr std::size_t max_memory_growth = 4UL * 1024 * 1024;

/// Sends `first` and then `repeated` until the server closes the connection.
struct endless_caller {
  endless_caller(io_loop& loop, std::uint16_t port, std::string first,
                 const std::string& repeated)
      : socket(loop), m_first(std::move(first)) {
    while (m_block.size() < block_bytes) {
      m_block += repeated;
    }
    socket.connect({asio::ip::address_v4::loopback(), port});
    read();
    write(m_first);
  }

  tcp::socket socket;
  std::string received;
  bool closed = false;

private:
  void write(const std::string& text) {
    asio::async_write(socket, asio::buffer(text),
                      [this](const error_code& ec, std::size_t) {
                        if (!ec) {
                          write(m_block);
                        }
                      });
  }
  void read() {
    socket.async_read_some(asio::buffer(m_received_block),
                           [this](const error_code& ec, std::size_t n) {
                             if (ec) {
                               closed = true;
                               return;
                             }
                             received.append(m_received_block.data(), n);
                             read();
                           });
  }

  std::string m_first;
  std::string m_block;
  std::array<char, 4096> m_received_block{};
};

void check_ends(const std::string& first, const std::string& repeated) {
  io_loop loop;
  server_limits limits;
  limits.max_body_bytes = max_body_bytes;
  std::size_t requests = 0;
  http_server server(
      loop, "127.0.0.1", 0, limits,
      {[&requests](const caller_request&, const response_sender& send) {
         ++requests;
         outcome o;
         o.execution = verdict::ran;
         o.status = 200;
         send(std::move(o));
       },
       nullptr, nullptr});
  endless_caller caller(loop, server.port(), first, repeated);
  const std::size_t heap_before = heap_bytes();
  std::size_t growth = 0;
  const instant end = read_clocks().now + patience_of_test;
  while (!caller.closed && caller.received.empty() && read_clocks().now < end) {
    loop.run_one_for(milliseconds(10));
    const std::size_t now_used = heap_bytes();
    growth = std::max(growth, now_used - std::min(now_used, heap_before));
  }
  CHECK(caller.closed || !caller.received.empty());
  CHECK(growth <= max_memory_growth);
  LONGS_EQUAL(0, requests);
}

const std::string request_line = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string chunked_head =
    request_line + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Requests without end filled the memory of the node.
// clang-format off
TEST_GROUP(endless_request){
};
// clang-format on

TEST(endless_request, a_head_without_end_is_refused) {
  check_ends("POST / HTTP/1.1\r\nA: ", "a");
  check_ends("POST / HTTP/1.1\r\n", "A: b\r\n");
  check_ends("POST /", "a");
}

TEST(endless_request, a_body_of_huge_length_is_refused) {
  check_ends(request_line + "Content-Length: 99999999999\r\n\r\n", "body");
}

TEST(endless_request, chunks_without_end_are_refused) {
  check_ends(chunked_head, "4\r\nbody\r\n");
}

TEST(endless_request, a_chunk_extension_without_end_is_refused) {
  check_ends(chunked_head + "4;a=", "b");
}

TEST(endless_request, a_chunk_size_without_end_is_refused) {
  check_ends(chunked_head, "0");
}

TEST(endless_request, trailers_without_end_are_refused) {
  check_ends(chunked_head + "0\r\n", "A: b\r\n");
}
