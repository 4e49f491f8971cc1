// Tests the memory that the requests of all callers take together, and that a
// caller with a small request is served beside others that fill it.
#include "kingcupslip/net/http_server.hpp"

#include "support/heap_bytes.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t max_body_bytes = 1024UL * 1024;
constexpr std::size_t max_request_bytes = 4UL * 1024 * 1024;
constexpr milliseconds patience_of_test{3000};

/// Sends some bytes and keeps the connection open.
struct caller {
  caller(io_loop& loop, std::uint16_t port, std::string text)
      : socket(loop), m_text(std::move(text)) {
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::async_write(socket, asio::buffer(m_text),
                      [](const error_code&, std::size_t) {});
    read();
  }

  bool has_status(const std::string& status) const {
    return received.rfind("HTTP/1.1 " + status, 0) == 0;
  }

  tcp::socket socket;
  std::string received;

private:
  void read() {
    socket.async_read_some(asio::buffer(m_block),
                           [this](const error_code& ec, std::size_t n) {
                             if (!ec) {
                               received.append(m_block.data(), n);
                               read();
                             }
                           });
  }

  std::string m_text;
  std::array<char, 4096> m_block{};
};

std::string post(std::size_t length, std::size_t sent) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(sent, 'b');
}

} // namespace

TEST_GROUP(request_memory) {
  io_loop loop;
  bool answers = true;
  std::vector<response_sender> held; ///< of requests without an answer
  std::unique_ptr<http_server> server;
  std::vector<std::unique_ptr<caller>> callers;

  void setup() override {
    server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.max_request_bytes = max_request_bytes;
    server = std::make_unique<http_server>(
        loop, "127.0.0.1", 0, limits,
        server_hooks{
            [this](const caller_request&, const response_sender& send) {
              answers ? send(ok()) : held.push_back(send);
            },
            nullptr, nullptr});
  }

  static outcome ok() {
    outcome o;
    o.execution = verdict::ran;
    o.status = 200;
    return o;
  }

  caller& add_caller(const std::string& text) {
    callers.push_back(std::make_unique<caller>(loop, server->port(), text));
    return *callers.back();
  }

  /// Runs until the condition holds; returns the largest growth of the heap.
  template <class Condition> std::size_t run_until(Condition condition) {
    const std::size_t heap_before = heap_bytes();
    std::size_t growth = 0;
    const instant end = read_clocks().now + patience_of_test;
    while (!condition() && read_clocks().now < end) {
      loop.run_one_for(milliseconds(10));
      const std::size_t now_used = heap_bytes();
      growth = std::max(growth, now_used - std::min(now_used, heap_before));
    }
    return growth;
  }

  std::size_t count(const std::string& status) const {
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(),
                      [&status](const std::unique_ptr<caller>& it) {
                        return it->has_status(status);
                      }));
  }
};

// Each body was within its bound, and all of them together had none.
TEST(request_memory, bodies_that_do_not_end_are_bounded_in_their_sum) {
  constexpr std::size_t n = 40;
  for (std::size_t i = 0; i < n; ++i) {
    add_caller(post(max_body_bytes, max_body_bytes - 1));
  }
  const std::size_t growth = run_until([this] { return count("503") >= 36; });
  CHECK_COMPARE(count("503"), >=, 36U);
  CHECK_COMPARE(growth, <=, 2 * max_request_bytes);
  const caller& sound = add_caller(post(3, 3));
  run_until([&sound] { return !sound.received.empty(); });
  CHECK(sound.has_status("200"));
}

TEST(request_memory, heads_that_do_not_end_are_bounded_in_their_sum) {
  constexpr std::size_t n = 500;
  for (std::size_t i = 0; i < n; ++i) {
    add_caller("POST / HTTP/1.1\r\nA: " + std::string(15UL * 1024, 'a'));
  }
  // Callers and server share the process.
  constexpr std::size_t caller_bytes = 8UL * 1024;
  const std::size_t growth = run_until([this] { return count("503") >= 200; });
  CHECK_COMPARE(count("503"), >=, 200U);
  CHECK_COMPARE(growth, <=, 2 * max_request_bytes + n * caller_bytes);
  const caller& sound = add_caller(post(3, 3));
  run_until([&sound] { return !sound.received.empty(); });
  CHECK(sound.has_status("200"));
}

// Requests that wait or run were held without a bound on their sum.
TEST(request_memory, requests_without_an_answer_are_bounded_in_their_sum) {
  answers = false;
  for (std::size_t i = 0; i < 10; ++i) {
    add_caller(post(max_body_bytes, max_body_bytes));
  }
  run_until([this] { return count("503") + held.size() == 10; });
  CHECK_COMPARE(held.size(), <=, 4U);
  CHECK_COMPARE(count("503"), >=, 6U);
  const std::size_t held_before = held.size();
  add_caller(post(3, 3));
  run_until([this, held_before] { return held.size() > held_before; });
  LONGS_EQUAL(held_before + 1, held.size());
  for (const response_sender& it : held) {
    it(ok());
  }
  const std::size_t served = held.size();
  run_until([this, served] { return count("200") == served; });
  LONGS_EQUAL(served, count("200"));
  // There is room again.
  answers = true;
  const caller& later = add_caller(post(max_body_bytes, max_body_bytes));
  run_until([&later] { return !later.received.empty(); });
  CHECK(later.has_status("200"));
}

// A caller that is told that its request has not run is told when to return.
TEST(request_memory, a_refusal_says_that_the_request_has_not_run) {
  answers = false;
  for (std::size_t i = 0; i < 4; ++i) {
    add_caller(post(max_body_bytes, max_body_bytes));
  }
  run_until([this] { return count("503") > 0; });
  CHECK_COMPARE(count("503"), >, 0U);
  for (const std::unique_ptr<caller>& it : callers) {
    const bool refused = it->has_status("503");
    CHECK(!refused || it->received.find("Retry-After: ") != std::string::npos);
  }
}
