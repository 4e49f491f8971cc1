// Tests that a caller's request on a kept connection gets its answer, and that
// a caller that has gone is noticed.
#include "support/heap_bytes.hpp"
#include "support/http_caller.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

/// A limit of the server that passes while the loop is held up.
constexpr milliseconds short_limit{50};
constexpr milliseconds held_up{200};
/// A client's disconnect must have taken effect by then.
constexpr milliseconds notice_limit{500};

/// Many more than a few connections and timers need.
constexpr std::size_t max_handlers_without_work = 100;

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

const std::string ok_status = "HTTP/1.1 200 OK";

std::string status_line(const std::string& received) {
  return received.substr(0, received.find('\r'));
}

server_limits with_short_idle_timeout() {
  server_limits l;
  l.idle_timeout = short_limit;
  return l;
}

server_limits with_short_request_timeout() {
  server_limits l;
  l.request_timeout = held_up / 2;
  return l;
}

/// Completes a request while the loop is held up past the limit on its time.
void send_request_past_its_limit(served& s, raw_caller& caller) {
  caller.send(request.substr(0, 5));
  s.run_for(milliseconds(20));
  caller.send(request.substr(5));
  std::this_thread::sleep_for(held_up);
}

} // namespace

// clang-format off
TEST_GROUP(http_server){
};
// clang-format on

// The expired idle timer closed the connection of a request that was read.
TEST(http_server, a_request_that_met_the_idle_timeout_is_answered) {
  served s(with_short_idle_timeout());
  raw_caller caller(s);
  s.run_for(milliseconds(10));
  caller.send(request);
  std::this_thread::sleep_for(held_up);
  STRCMP_EQUAL(ok_status.c_str(), status_line(caller.read_answer()).c_str());
  LONGS_EQUAL(1, s.requests);
  LONGS_EQUAL(0, s.causes.size());
  LONGS_EQUAL(0, s.server.unanswered_requests());
}

// The expired timer of a request refused the next request with 408.
TEST(http_server, the_timer_of_a_request_does_not_refuse_the_next_one) {
  served s(with_short_request_timeout());
  raw_caller caller(s);
  send_request_past_its_limit(s, caller);
  STRCMP_EQUAL(ok_status.c_str(), status_line(caller.read_answer()).c_str());
  caller.send(request);
  STRCMP_EQUAL(ok_status.c_str(), status_line(caller.read_answer()).c_str());
}

// The expired timer of a request ended the watch for its caller's disconnect.
TEST(http_server, the_timer_of_a_request_does_not_end_the_watch) {
  served s(with_short_request_timeout());
  s.answers_at_once = false;
  raw_caller caller(s);
  send_request_past_its_limit(s, caller);
  s.run_for(milliseconds(50));
  LONGS_EQUAL(1, s.requests);
  caller.close();
  CHECK(s.run_until(patience_of_test, [&s] { return s.disconnects == 1; }));
}

// A caller too slow with its request kept its connection, or got no answer.
TEST(http_server, a_request_that_takes_too_long_is_refused) {
  served s(with_short_request_timeout());
  raw_caller caller(s);
  caller.send(request.substr(0, 5));
  STRCMP_EQUAL("HTTP/1.1 408 Request Timeout",
               status_line(caller.read_until("never")).c_str());
  LONGS_EQUAL(0, s.requests);
}

// A connection without requests was kept for ever.
TEST(http_server, an_idle_connection_is_closed) {
  served s(with_short_idle_timeout());
  raw_caller caller(s);
  STRCMP_EQUAL("", caller.read_until("never").c_str());
  CHECK(caller.ended);
  LONGS_EQUAL(0, s.causes.size());
}

// The refusal that followed a HEAD request on its connection had no body.
TEST(http_server, a_refusal_after_a_head_request_is_whole) {
  served s({});
  raw_caller caller(s);
  caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.read_until("\r\n\r\n");
  caller.send("no request\r\n\r\n");
  const std::string refusal = caller.read_until("never");
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request", status_line(refusal).c_str());
  CHECK(refusal.substr(refusal.find("\r\n\r\n")).size() > 4);
}

// A disconnect after the bytes of a next request went unnoticed.
TEST(http_server, a_disconnect_behind_a_next_request_is_noticed) {
  served s({});
  s.answers_at_once = false;
  raw_caller caller(s);
  caller.send(request);
  CHECK(s.run_until(patience_of_test, [&s] { return s.requests == 1; }));
  caller.send(request);
  s.run_for(milliseconds(50));
  caller.close();
  CHECK(s.run_until(notice_limit, [&s] { return s.disconnects == 1; }));
  s.run_for(milliseconds(50));
  LONGS_EQUAL(1, s.disconnects);
}

// Each request on a kept connection left a wait behind, and each of these
// reported the disconnect.
TEST(http_server, a_disconnect_is_reported_once_on_a_kept_connection) {
  served s({});
  s.answers_at_once = false;
  raw_caller caller(s);
  caller.send(request + request);
  CHECK(s.run_until(patience_of_test, [&s] { return s.requests == 1; }));
  s.answer(s.held[0]);
  CHECK(s.run_until(patience_of_test, [&s] { return s.requests == 2; }));
  caller.close();
  s.run_for(notice_limit);
  LONGS_EQUAL(1, s.disconnects);
}

// The bytes of a next request, unread when the connection was closed, reset it
// before the caller had read the answer.
TEST(http_server, an_answer_survives_a_close_with_unread_bytes) {
  served s({});
  s.answers_at_once = false;
  s.answer_bytes = 1024UL * 1024;
  raw_caller caller(s, 4096);
  caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(s.run_until(patience_of_test, [&s] { return s.requests == 1; }));
  caller.send(request);
  s.answer(s.held.front());
  s.run_for(milliseconds(200));
  const std::string received = caller.read_until("never");
  CHECK(received.size() > s.answer_bytes);
}

// The rest of a refused body reset the connection of a caller that sends it
// all before it reads.
TEST(http_server, a_refused_body_can_be_sent_to_its_end) {
  server_limits limits;
  limits.max_body_bytes = 1024;
  served s(limits);
  raw_caller caller(s);
  const std::size_t n = 4UL * 1024 * 1024;
  caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(n) + "\r\n\r\n" + std::string(n, 'b'));
  s.run_until(patience_of_test, [&caller] {
    caller.send_some();
    return caller.all_sent() || caller.send_failed;
  });
  CHECK_FALSE(caller.send_failed || caller.reset);
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large",
               status_line(caller.read_until("never")).c_str());
}

// The unread request of a connection beyond the limit reset it.
TEST(http_server, a_connection_beyond_the_limit_gets_its_refusal) {
  server_limits limits;
  limits.max_connections = 1;
  served s(limits);
  raw_caller first(s);
  s.run_for(milliseconds(20));
  raw_caller second(s);
  second.send(request);
  s.run_for(milliseconds(50));
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
               status_line(second.read_until("never")).c_str());
  CHECK_FALSE(second.send_failed || second.reset);
}

// The kernel cut the answer of a caller that did not read for four seconds.
TEST(http_server, a_caller_may_pause_while_it_reads_its_answer) {
  served s({});
  s.answer_bytes = 16UL * 1024 * 1024;
  raw_caller caller(s, 4096);
  caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  s.run_for(milliseconds(6000));
  LONGS_EQUAL(0, s.causes.size());
  LONGS_EQUAL(1, s.server.unanswered_requests());
  const std::string received = caller.read_until("never");
  CHECK(received.size() > s.answer_bytes);
  LONGS_EQUAL(0, s.server.unanswered_requests());
}

// A caller that took nothing of its answer held its memory for ever.
TEST(http_server, a_caller_that_reads_nothing_is_cut) {
  server_limits limits;
  limits.answer_stall_timeout = short_limit;
  served s(limits);
  s.answer_bytes = 16UL * 1024 * 1024;
  raw_caller caller(s, 4096);
  caller.send(request);
  CHECK(s.run_until(patience_of_test, [&s] { return !s.causes.empty(); }));
  STRCMP_EQUAL("answer_stalled", s.causes.front().c_str());
  LONGS_EQUAL(0, s.server.unanswered_requests());
}

// The bound on a stalled answer must not cut a caller that reads slowly.
TEST(http_server, a_caller_that_reads_slowly_is_not_cut) {
  server_limits limits;
  limits.answer_stall_timeout = milliseconds(1000);
  served s(limits);
  s.answer_bytes = 16UL * 1024 * 1024;
  raw_caller caller(s, 4096);
  caller.send(request);
  std::size_t received = 0;
  // Less than what makes the kernel report room for more.
  const instant end = read_clocks().now + 5 * limits.answer_stall_timeout / 2;
  while (read_clocks().now < end) {
    s.run_for(milliseconds(50));
    received += caller.read_some(4096);
  }
  CHECK(received > 4096);
  LONGS_EQUAL(0, s.causes.size());
  LONGS_EQUAL(1, s.server.unanswered_requests());
}

// The server tried without a pause to accept when no descriptor was free.
TEST(http_server, no_free_descriptor_does_not_occupy_the_loop) {
  served s({});
  raw_caller caller(s);
  caller.send(request);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit none = before;
  none.rlim_cur = 0;
  setrlimit(RLIMIT_NOFILE, &none);
  const std::size_t handlers = s.run_for(held_up);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(handlers <= max_handlers_without_work);
  LONGS_EQUAL(0, s.requests);
  STRCMP_EQUAL(ok_status.c_str(), status_line(caller.read_answer()).c_str());
}

// A connection accepted when the server stopped listening made it try without
// a pause to accept again.
TEST(http_server, a_stop_between_accepts_does_not_occupy_the_loop) {
  served s({});
  raw_caller first(s);
  raw_caller second(s);
  s.loop.run_one();
  s.server.stop_accepting();
  CHECK(s.run_for(held_up) <= max_handlers_without_work);
}

// Stopping must not cut the request of a kept connection.
TEST(http_server, a_kept_connection_gets_its_answer_after_a_stop) {
  served s({});
  raw_caller caller(s);
  caller.send(request);
  caller.read_answer();
  raw_caller reading(s);
  reading.send(request.substr(0, 5));
  s.run_for(milliseconds(50));
  s.server.stop_accepting();
  s.run_for(milliseconds(50));
  caller.send(request);
  reading.send(request.substr(5));
  for (raw_caller* it : {&caller, &reading}) {
    const std::string received = it->read_until("never");
    STRCMP_EQUAL(ok_status.c_str(), status_line(received).c_str());
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK_FALSE(it->reset);
  }
}

// Answers that callers did not read filled the memory of the node.
TEST(http_server, callers_that_read_nothing_hold_a_bounded_amount_of_memory) {
  constexpr std::size_t slow_callers = 40;
  constexpr std::size_t max_memory_growth = 64UL * 1024 * 1024;
  served s{server_limits{}};
  s.answer_bytes = 6UL * 1024 * 1024;
  const std::size_t before = heap_bytes();
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (std::size_t i = 0; i < slow_callers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(s, 4096));
    callers.back()->send(request);
  }
  CHECK(s.run_until(patience_of_test,
                    [&s] { return s.requests == slow_callers; }));
  CHECK(heap_bytes() <= before + max_memory_growth);
  CHECK(!s.causes.empty());
  for (const std::string& it : s.causes) {
    CHECK(it == "answer_memory");
  }
  s.answer_bytes = 2;
  raw_caller quick(s);
  quick.send(request);
  CHECK(!quick.read_until("aa").empty());
}

// Idle connections filled the descriptors of the process, which then reached
// neither new callers nor its target.
TEST(http_server, idle_connections_give_way_to_new_ones) {
  server_limits limits;
  limits.max_connections = 20;
  served s{limits};
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (std::size_t i = 0; i < 100; ++i) {
    callers.push_back(std::make_unique<raw_caller>(s));
    callers.back()->send(request);
    CHECK(!callers.back()->read_until("aa").empty());
    CHECK_COMPARE(s.server.connections(), <=, limits.max_connections);
  }
  LONGS_EQUAL(100, s.requests);
}

TEST(http_server, connections_with_a_request_do_not_give_way) {
  server_limits limits;
  limits.max_connections = 10;
  served s{limits};
  s.answers_at_once = false;
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (std::size_t i = 0; i < limits.max_connections; ++i) {
    callers.push_back(std::make_unique<raw_caller>(s));
    callers.back()->send(request);
    CHECK(s.run_until(patience_of_test,
                      [&s, i] { return s.held.size() == i + 1; }));
  }
  raw_caller one_more(s);
  one_more.send(request);
  CHECK(one_more.read_until("too_many_connections").find(" 503 ") !=
        std::string::npos);
  s.run_for(milliseconds(100));
  LONGS_EQUAL(0, s.disconnects);
  LONGS_EQUAL(limits.max_connections, s.held.size());
}
