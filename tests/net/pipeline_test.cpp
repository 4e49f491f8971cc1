// Tests callers that send requests before the earlier ones on their connection
// are answered.
#include "support/http_caller.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t bound = 8;
constexpr milliseconds notice_limit{500};
constexpr milliseconds settling_time{50};

server_limits with_pipelines() {
  server_limits l;
  l.max_pipelined = bound;
  return l;
}

std::string request(const std::string& target,
                    const std::string& method = "GET") {
  return method + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// Requests for /0, /1 and so on.
std::string requests(std::size_t n) {
  std::string out;
  for (std::size_t i = 0; i < n; ++i) {
    out += request("/" + std::to_string(i));
  }
  return out;
}

struct pipelined {
  /// GET may run more than once.
  explicit pipelined(const server_limits& l = with_pipelines())
      : server(l, [](const caller_request& r) { return r.method == "GET"; }),
        caller(server) {
    server.answers_at_once = false;
  }
  /// Answers a request that was passed on with its target.
  void answer(std::size_t i) {
    served::answer(server.held[i], server.targets[i]);
  }
  std::size_t passed_on() const { return server.held.size(); }
  void send(const std::string& text) {
    caller.send(text);
    server.run_for(settling_time);
  }

  served server;
  raw_caller caller;
};

/// Where each text ends in `received`; fails unless they come in this order.
void check_order(const std::string& received,
                 const std::vector<std::string>& texts) {
  std::size_t at = 0;
  for (const std::string& it : texts) {
    at = received.find(it, at);
    CHECK_TRUE_TEXT(at != std::string::npos, it.c_str());
    at += it.size();
  }
}

} // namespace

// clang-format off
TEST_GROUP(pipeline){
};
// clang-format on

// Eight requests of 0.2 s on one connection took 1.6 s, one after the other.
TEST(pipeline, requests_are_handled_side_by_side_and_answered_in_order) {
  pipelined p;
  p.send(requests(bound));
  LONGS_EQUAL(bound, p.passed_on());
  for (std::size_t i = bound; i > 0; --i) {
    p.answer(i - 1);
  }
  const std::string received = p.caller.read_until("\r\n\r\n/7");
  check_order(received, {"\r\n/0", "\r\n/1", "\r\n/2", "\r\n/3", "\r\n/4",
                         "\r\n/5", "\r\n/6", "\r\n/7"});
  LONGS_EQUAL(0, p.server.server.unanswered_requests());
}

// Guards against an answer that waits for those behind it.
TEST(pipeline, an_answer_is_written_once_those_before_it_are_out) {
  pipelined p;
  p.send(requests(3));
  p.answer(0);
  check_order(p.caller.read_until("/0"), {"\r\n/0"});
  p.answer(1);
  check_order(p.caller.read_until("/1"), {"\r\n/1"});
}

// Guards against a caller that takes all places of a node with one connection.
TEST(pipeline, requests_beyond_the_bound_wait_and_are_served_later) {
  pipelined p;
  p.send(requests(3 * bound));
  LONGS_EQUAL(bound, p.passed_on());
  for (std::size_t i = 0; i < 3 * bound; ++i) {
    CHECK(p.server.run_until(patience_of_test,
                             [&p, i] { return p.passed_on() > i; }));
    CHECK(p.passed_on() <= i + bound);
    p.answer(i);
  }
  check_order(p.caller.read_until("/23"), {"\r\n/0", "\r\n/22", "\r\n/23"});
}

// Guards against a node-wide flood through many connections.
TEST(pipeline, requests_beyond_the_bound_of_the_node_wait) {
  server_limits l = with_pipelines();
  l.max_overlapping = 3;
  pipelined p(l);
  p.send(requests(bound));
  LONGS_EQUAL(4, p.passed_on());
}

// A request that may run once could run, and be sent again by its caller, if
// the connection ended with an earlier answer.
TEST(pipeline, a_request_that_may_run_once_runs_alone) {
  pipelined p;
  p.send(request("/a") + request("/b") + request("/c", "POST") + request("/d"));
  LONGS_EQUAL(2, p.passed_on());
  p.answer(0);
  p.answer(1);
  p.server.run_for(settling_time);
  LONGS_EQUAL(3, p.passed_on());
  STRCMP_EQUAL("/c", p.server.targets[2].c_str());
  p.answer(2);
  p.server.run_for(settling_time);
  LONGS_EQUAL(4, p.passed_on());
  p.answer(3);
  check_order(p.caller.read_until("/d"),
              {"\r\n/a", "\r\n/b", "\r\n/c", "\r\n/d"});
}

// Guards against answers that are lost because bytes behind them are no
// request.
TEST(pipeline, a_malformed_request_spoils_none_before_it) {
  pipelined p;
  p.send(requests(2) + "no request\r\n\r\n" + request("/late"));
  LONGS_EQUAL(2, p.passed_on());
  p.answer(1);
  p.answer(0);
  const std::string received = p.caller.read_until("never");
  check_order(received, {"\r\n/0", "\r\n/1", "HTTP/1.1 400", "close"});
  CHECK(p.caller.ended);
  CHECK_FALSE(p.caller.reset);
  LONGS_EQUAL(2, p.passed_on());
}

// What is sent behind an answer that closes the connection is not read, and the
// caller sends it again.
TEST(pipeline, a_stop_answers_what_was_passed_on_and_nothing_behind_it) {
  pipelined p;
  p.send(requests(3));
  p.server.server.disable_keep_alive();
  p.send(request("/late"));
  LONGS_EQUAL(3, p.passed_on());
  for (std::size_t i = 0; i < 3; ++i) {
    p.answer(i);
  }
  const std::string received = p.caller.read_until("never");
  check_order(received, {"\r\n/0", "\r\n/1", "close", "\r\n/2"});
  LONGS_EQUAL(std::string::npos, received.find("/late"));
  CHECK(received.find("close") > received.find("\r\n/1"));
  LONGS_EQUAL(3, p.passed_on());
}

// Guards against targets that work on for a caller that has left.
TEST(pipeline, a_caller_that_leaves_ends_all_of_its_requests) {
  pipelined p;
  p.send(requests(5));
  p.caller.close();
  CHECK(p.server.run_until(notice_limit,
                           [&p] { return p.server.disconnects == 1; }));
  for (std::size_t i = 0; i < 5; ++i) {
    p.answer(i);
  }
  p.server.held.clear();
  p.server.run_for(settling_time);
  LONGS_EQUAL(0, p.server.server.unanswered_requests());
  LONGS_EQUAL(0, p.server.server.connections());
}

// Half a request behind whole ones held up their answers.
TEST(pipeline, half_a_request_holds_up_no_answer) {
  pipelined p;
  p.send(requests(2) + "GET /half HT");
  p.answer(0);
  p.answer(1);
  check_order(p.caller.read_until("/1"), {"\r\n/0", "\r\n/1"});
  p.send("TP/1.1\r\nHost: h\r\n\r\n");
  LONGS_EQUAL(3, p.passed_on());
  p.answer(2);
  check_order(p.caller.read_until("/half"), {"\r\n/half"});
}

// Answers that wait for their turn are bounded like those that are written.
TEST(pipeline, answers_that_wait_count_as_memory) {
  server_limits l = with_pipelines();
  l.max_answer_bytes = 64UL * 1024;
  pipelined p(l);
  p.send(requests(3));
  const std::string large(48UL * 1024, 'x');
  served::answer(p.server.held[2], large);
  raw_caller other(p.server);
  other.send(request("/other"));
  CHECK(p.server.run_until(patience_of_test,
                           [&p] { return p.passed_on() == 4; }));
  served::answer(p.server.held[3], large);
  p.server.run_for(settling_time);
  STRCMP_EQUAL("answer_memory", p.server.causes.at(0).c_str());
  LONGS_EQUAL(1, p.server.disconnects);
  CHECK(other.read_until("xx").size() > large.size());
}
