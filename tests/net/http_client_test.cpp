// Connections to a target or the store that go silent while new ones work.
#include "kingcupslip/net/http_client.hpp"

#include "kingcupslip/net/http_server.hpp"
#include "support/silent_relay.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

/// A client that reaches a server through a relay.
struct relayed_server {
  io_loop loop;
  /// Answers are held back until this many requests are there.
  std::size_t together = 1;
  std::vector<answer_sender> held;
  http_server server{loop,
                     "127.0.0.1",
                     0,
                     {},
                     {[this](const caller_request&, const answer_sender& send) {
                        held.push_back(send);
                        if (held.size() < together) {
                          return;
                        }
                        for (const answer_sender& it : held) {
                          outcome o;
                          o.execution = verdict::ran;
                          o.status = 200;
                          it(std::move(o));
                        }
                        held.clear();
                      },
                      nullptr, nullptr}};
  silent_relay relay{loop, server.port()};
  http_client client{loop,
                     {boost::asio::ip::address_v4::loopback(), relay.port()}};
  std::uint64_t sent = 0;
  std::vector<exchange_end> ends;

  void send(milliseconds time_left) {
    target_request r;
    r.method = "GET";
    r.path = "/";
    r.time_left = time_left;
    client.send(++sent, std::move(r),
                [this](const target_result& t) { ends.push_back(t.end); });
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

TEST(http_client, one_silent_connection_costs_one_request) {
  relayed_server s;
  s.together = 4;
  for (int i = 0; i < 4; ++i) {
    s.send(milliseconds(1000));
  }
  s.run_for(milliseconds(200));
  LONGS_EQUAL(4, s.ends.size());
  LONGS_EQUAL(4, s.client.connects());
  s.ends.clear();
  s.together = 1;
  s.relay.silence_open_connections();
  s.send(milliseconds(200));
  s.run_for(milliseconds(300));
  LONGS_EQUAL(1, s.ends.size());
  CHECK(exchange_end::lost == s.ends.front());
  for (int i = 0; i < 3; ++i) {
    s.send(milliseconds(200));
    s.run_for(milliseconds(100));
    LONGS_EQUAL(2 + i, s.ends.size());
    CHECK(exchange_end::answered == s.ends.back());
  }
}

TEST(http_client, a_slow_answer_leaves_later_connections_alone) {
  relayed_server s;
  s.together = 2;
  s.send(milliseconds(1000));
  s.send(milliseconds(1000));
  s.run_for(milliseconds(100));
  s.held.clear();
  s.together = 3;
  s.send(milliseconds(150));
  s.run_for(milliseconds(250));
  CHECK(exchange_end::lost == s.ends.back());
  s.together = 1;
  s.held.clear();
  s.send(milliseconds(200));
  s.run_for(milliseconds(100));
  CHECK(exchange_end::answered == s.ends.back());
  const std::uint64_t connects = s.client.connects();
  s.send(milliseconds(200));
  s.run_for(milliseconds(100));
  LONGS_EQUAL(connects, s.client.connects());
}
