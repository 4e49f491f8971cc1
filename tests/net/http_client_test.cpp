// Tests HTTP connections that go silent while new ones work.
#include "kingcupslip/net/http_client.hpp"

#include "kingcupslip/net/http_server.hpp"
#include "support/silent_relay.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <optional>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

/// A server, and a client that reaches it through a relay.
struct relayed_server {
  io_loop loop;
  /// Requests that must arrive before any of them is answered.
  std::size_t batch_size = 1;
  std::vector<response_sender> held_answers;
  http_server server{
      loop,
      "127.0.0.1",
      0,
      {},
      {[this](const caller_request& r, const response_sender& send) {
         held_answers.push_back(send);
         if (held_answers.size() < batch_size) {
           return;
         }
         for (const response_sender& it : held_answers) {
           outcome o;
           o.execution = verdict::ran;
           o.status = 200;
           o.body = r.body;
           it(std::move(o));
         }
         held_answers.clear();
       },
       nullptr, nullptr}};
  silent_relay relay{loop, server.port()};
  http_client client{loop,
                     {boost::asio::ip::address_v4::loopback(), relay.port()}};
  std::uint64_t last_request_id = 0;
  std::vector<exchange_end> results;

  void send(milliseconds time_left) {
    target_request r;
    r.method = "GET";
    r.path = "/";
    r.time_left = time_left;
    client.send(++last_request_id, std::move(r),
                [this](const target_result& t) { results.push_back(t.end); });
  }

  void run_for(milliseconds span) {
    const instant end = read_clocks().now + span;
    while (read_clocks().now < end) {
      loop.run_for(milliseconds(10));
    }
  }
};

} // namespace

// clang-format off
TEST_GROUP(http_client){
};
// clang-format on

TEST(http_client, one_silent_connection_fails_one_request) {
  relayed_server s;
  s.batch_size = 4;
  for (int i = 0; i < 4; ++i) {
    s.send(milliseconds(1000));
  }
  s.run_for(milliseconds(200));
  LONGS_EQUAL(4, s.results.size());
  LONGS_EQUAL(4, s.client.connections_opened());
  s.results.clear();
  s.batch_size = 1;
  s.relay.silence_open_connections();
  s.send(milliseconds(200));
  s.run_for(milliseconds(300));
  LONGS_EQUAL(1, s.results.size());
  CHECK(exchange_end::lost == s.results.front());
  for (int i = 0; i < 3; ++i) {
    s.send(milliseconds(200));
    s.run_for(milliseconds(100));
    LONGS_EQUAL(2 + i, s.results.size());
    CHECK(exchange_end::answered == s.results.back());
  }
}

TEST(http_client, a_slow_answer_does_not_close_later_connections) {
  relayed_server s;
  s.batch_size = 2;
  s.send(milliseconds(1000));
  s.send(milliseconds(1000));
  s.run_for(milliseconds(100));
  s.held_answers.clear();
  s.batch_size = 3;
  s.send(milliseconds(150));
  s.run_for(milliseconds(250));
  CHECK(exchange_end::lost == s.results.back());
  s.batch_size = 1;
  s.held_answers.clear();
  s.send(milliseconds(200));
  s.run_for(milliseconds(100));
  CHECK(exchange_end::answered == s.results.back());
  const std::uint64_t connects = s.client.connections_opened();
  s.send(milliseconds(200));
  s.run_for(milliseconds(100));
  LONGS_EQUAL(connects, s.client.connections_opened());
}

// A limit on bodies refused every body.
TEST(http_client, a_body_passes_whole_in_both_directions) {
  relayed_server s;
  body_bytes sent(100'000, 'a');
  sent.back() = 'z';
  body_bytes received;
  target_request r;
  r.method = "POST";
  r.path = "/";
  r.time_left = milliseconds(1000);
  r.body = sent;
  s.client.send(1, std::move(r),
                [&received](target_result t) { received = std::move(t.body); });
  s.run_for(milliseconds(300));
  CHECK(sent == received);
}

// A TRACE request with a body ended the process.
TEST(http_client, a_request_of_any_method_may_have_a_body) {
  for (const char* method : {"TRACE", "GET", "CUSTOM"}) {
    relayed_server s;
    target_request r;
    r.method = method;
    r.path = "/";
    r.time_left = milliseconds(1000);
    r.body.assign(5, 'a');
    target_result got;
    s.client.send(1, std::move(r),
                  [&got](target_result t) { got = std::move(t); });
    s.run_for(milliseconds(200));
    LONGS_EQUAL(200, got.status);
    LONGS_EQUAL(5, got.body.size());
  }
}

// An exchange that outlived its client wrote to the client's memory.
TEST(http_client, an_exchange_may_outlive_its_client) {
  relayed_server s;
  std::unique_ptr<http_client> client = std::make_unique<http_client>(
      s.loop, boost::asio::ip::tcp::endpoint(
                  boost::asio::ip::address_v4::loopback(), s.relay.port()));
  s.batch_size = 2;
  bool completed = false;
  target_request r;
  r.method = "GET";
  r.path = "/";
  r.time_left = milliseconds(300);
  client->send(1, std::move(r),
               [&completed](const target_result&) { completed = true; });
  s.run_for(milliseconds(100));
  client.reset();
  s.run_for(milliseconds(400));
  CHECK_FALSE(completed);
}

// A target that took nothing of a long request for some seconds, and then all
// of it, lost the request.
TEST(http_client, a_long_request_outlasts_a_target_that_reads_nothing_for_5_s) {
  namespace asio = boost::asio;
  using tcp = asio::ip::tcp;
  io_loop loop;
  tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket socket(loop);
  asio::steady_timer timer(loop);
  const std::size_t body_size = 8'000'000;
  body_bytes buf(65'536);
  std::size_t received = 0;
  const std::string answer = "HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n";
  std::function<void()> read_all;
  read_all = [&] {
    socket.async_read_some(
        asio::buffer(buf),
        [&](const boost::system::error_code& ec, std::size_t n) {
          received += n;
          if (!ec && received < body_size) {
            read_all();
          } else if (!ec) {
            asio::write(socket, asio::buffer(answer));
          }
        });
  };
  acceptor.async_accept(socket, [&](const boost::system::error_code&) {
    timer.expires_after(milliseconds(5500));
    timer.async_wait([&](const boost::system::error_code&) { read_all(); });
  });
  http_client client{
      loop,
      {asio::ip::address_v4::loopback(), acceptor.local_endpoint().port()}};
  target_request r;
  r.method = "POST";
  r.path = "/";
  r.time_left = milliseconds(9000);
  r.body.assign(body_size, 'a');
  std::optional<exchange_end> end;
  client.send(1, std::move(r), [&end](const target_result& t) { end = t.end; });
  const instant give_up = read_clocks().now + milliseconds(9500);
  while (!end && read_clocks().now < give_up) {
    loop.run_for(milliseconds(10));
  }
  CHECK(end && *end == exchange_end::answered);
}
