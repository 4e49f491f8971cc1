// Tests requests that end before they are complete, at each of their bytes:
// only a whole request is handled.
#include "kingcupslip/net/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

enum class caller_end : std::uint8_t { closed, half_closed, reset };

const std::string whole_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Sends `first` and `text` on a connection and ends it.
void send_and_end(tcp::socket& socket, const std::string& text,
                  caller_end end) {
  asio::write(socket, asio::buffer(text));
  if (end == caller_end::half_closed) {
    socket.shutdown(tcp::socket::shutdown_send);
    return;
  }
  if (end == caller_end::reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
}

/// Cuts the request at each of its bytes, alone and behind a whole one.
void check_each_cut(const std::string& request) {
  io_loop loop;
  std::size_t handled = 0;
  http_server server(
      loop, "127.0.0.1", 0, {},
      {[&handled](const caller_request&, const response_sender& send) {
         ++handled;
         outcome o;
         o.execution = verdict::ran;
         o.status = 200;
         send(std::move(o));
       },
       nullptr, nullptr});
  for (std::size_t n = 0; n < request.size(); ++n) {
    for (const caller_end end :
         {caller_end::closed, caller_end::half_closed, caller_end::reset}) {
      for (const bool kept : {false, true}) {
        handled = 0;
        tcp::socket caller(loop);
        caller.connect({asio::ip::address_v4::loopback(), server.port()});
        while (server.connections() == 0) {
          loop.run_one_for(milliseconds(10));
        }
        if (kept) {
          asio::write(caller, asio::buffer(whole_request));
          while (handled == 0) {
            loop.run_one_for(milliseconds(10));
          }
        }
        send_and_end(caller, request.substr(0, n), end);
        const instant give_up = read_clocks().now + milliseconds(1000);
        while (server.connections() > 0 && read_clocks().now < give_up) {
          loop.run_one_for(milliseconds(10));
        }
        const std::string text = std::to_string(n) + " bytes of\n" + request;
        LONGS_EQUAL_TEXT(kept ? 1 : 0, handled, text.c_str());
        LONGS_EQUAL_TEXT(0, server.connections(), text.c_str());
      }
    }
  }
}

} // namespace

// clang-format off
TEST_GROUP(cut_request){
};
// clang-format on

// A request that its caller had not sent to the end was passed on.
TEST(cut_request, a_cut_request_with_a_length_is_not_handled) {
  check_each_cut("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n"
                 "twelve bytes");
}

TEST(cut_request, a_cut_chunked_request_is_not_handled) {
  check_each_cut("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "\r\n4\r\nfour\r\n0\r\nX-End: 1\r\n\r\n");
}

TEST(cut_request, a_cut_request_without_a_body_is_not_handled) {
  check_each_cut(whole_request);
}

// A request has no body that ends with its connection.
TEST(cut_request, a_request_of_http_1_0_is_not_handled_if_cut) {
  check_each_cut("POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nfour");
}
