// Tests servers that send answers which belong to no request, or to another
// one: no request ends with them, and no later one meets them.
#include "kingcupslip/net/http_client.hpp"

#include "support/scripted_server.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

const std::string id_field = "Request-Id";
const std::string not_run_field = "Not-Run";
constexpr milliseconds time_left{400};
constexpr milliseconds scheduling_slack{500};
/// Between a stray answer and the answer to the request on the connection.
constexpr milliseconds pause = scripted_server::pause;

std::string answer(int status, const std::vector<std::string>& ids,
                   const std::string& body, const std::string& fields = "") {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields;
  for (const std::string& it : ids) {
    out += id_field + ": " + it + "\r\n";
  }
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// A refusal that states that its request has not run.
std::string refusal_answer(const std::vector<std::string>& ids) {
  return answer(503, ids, "", not_run_field + ": 1\r\n");
}

/// A client of a scripted server.
struct scripted_exchanges {
  explicit scripted_exchanges(std::vector<scripted_server::texts> answers)
      : server(loop, std::move(answers)),
        client(loop, server.endpoint(),
               [this](event_id id, const event_fields& f) {
                 CHECK(event_id::answer_skipped == id);
                 skipped.push_back(f);
               }) {}

  /// Sends a request and returns its result. Without an id, the server is
  /// not expected to repeat one.
  target_result send(const std::string& id, const std::string& body = "") {
    return send(id, body, [](target_request&) {});
  }

  target_result send(const std::string& id, const std::string& body,
                     const std::function<void(target_request&)>& change) {
    std::vector<target_result> results;
    target_request r;
    r.method = body.empty() ? "GET" : "POST";
    r.path = "/";
    r.time_left = time_left;
    r.body.assign(body.begin(), body.end());
    if (!id.empty()) {
      r.echoed_header = {id_field, id};
    }
    change(r);
    client.send(++last_exchange, std::move(r), [&results](target_result t) {
      results.push_back(std::move(t));
    });
    const instant end = read_clocks().now + time_left + scheduling_slack;
    while (results.empty() && read_clocks().now < end) {
      loop.run_one_for(milliseconds(10));
    }
    LONGS_EQUAL(1, results.size());
    // Whatever follows the answer arrives.
    loop.run_for(2 * pause);
    return results.front();
  }

  io_loop loop;
  std::vector<event_fields> skipped; ///< logged
  scripted_server server;
  http_client client;
  std::uint64_t last_exchange = 0;
};

void check_own_answer(const target_result& r, const std::string& body) {
  CHECK(exchange_end::answered == r.end);
  LONGS_EQUAL(200, r.status);
  CHECK(body == std::string(r.body.begin(), r.body.end()));
}

} // namespace

// clang-format off
TEST_GROUP(stray_response){
};
// clang-format on

// A request that ran ended with the repeated refusal of an earlier one.
TEST(stray_response, an_earlier_refusal_with_its_id_ends_no_later_request) {
  scripted_exchanges x({{refusal_answer({"q1"})},
                        {refusal_answer({"q1"}), answer(200, {"q2"}, "two")}});
  LONGS_EQUAL(503, x.send("q1").status);
  check_own_answer(x.send("q2"), "two");
}

// A request that ran ended with a refusal that names no request.
TEST(stray_response, a_refusal_without_an_id_ends_no_request) {
  scripted_exchanges x({{refusal_answer({"q1"})},
                        {refusal_answer({}), answer(200, {"q2"}, "two")}});
  LONGS_EQUAL(503, x.send("q1").status);
  check_own_answer(x.send("q2"), "two");
}

// A request that may be running ended as not run, on a refusal that names no
// request.
TEST(stray_response, a_refusal_without_an_id_proves_nothing) {
  scripted_exchanges x({{refusal_answer({"q1"})}, {refusal_answer({})}});
  LONGS_EQUAL(503, x.send("q1").status);
  CHECK(exchange_end::lost == x.send("q2").end);
}

// A caller got the answer to another request, which named no request.
TEST(stray_response, a_success_without_an_id_is_not_passed_on) {
  scripted_exchanges x(
      {{answer(200, {}, "other"), answer(200, {"q1"}, "one")}});
  check_own_answer(x.send("q1"), "one");
}

// An answer that names two requests was taken for that to the first one.
TEST(stray_response, an_answer_with_two_ids_ends_no_request) {
  scripted_exchanges x(
      {{refusal_answer({"q1", "q0"}), answer(200, {"q1"}, "one")},
       {refusal_answer({"q0", "q2"}), answer(200, {"q2", "q2"}, "two")}});
  check_own_answer(x.send("q1"), "one");
  check_own_answer(x.send("q2"), "two");
}

// A refusal that arrives while the body is still being sent was believed.
TEST(stray_response, a_refusal_without_an_id_during_a_long_body_is_skipped) {
  const std::string body(200'000, 'a');
  scripted_exchanges x({{refusal_answer({}), answer(200, {"q1"}, "one")}});
  check_own_answer(x.send("q1", body), "one");
}

// A connection on which a foreign answer had arrived was used again.
TEST(stray_response, a_connection_with_a_stray_answer_is_not_reused) {
  for (const scripted_server::texts& ids :
       {scripted_server::texts{"q0"}, scripted_server::texts{}}) {
    scripted_exchanges x({{refusal_answer(ids), answer(200, {"q1"}, "one")},
                          {answer(200, {"q2"}, "two")},
                          {answer(200, {"q3"}, "three")}});
    check_own_answer(x.send("q1"), "one");
    check_own_answer(x.send("q2"), "two");
    check_own_answer(x.send("q3"), "three");
    LONGS_EQUAL(2, x.client.connections_opened());
  }
}

// A request was sent on a connection on which an answer already waited.
TEST(stray_response, a_connection_with_unread_bytes_is_not_reused) {
  scripted_exchanges x({{answer(200, {"q1"}, "one"), refusal_answer({"q1"})},
                        {answer(200, {"q2"}, "two")}});
  check_own_answer(x.send("q1"), "one");
  check_own_answer(x.send("q2"), "two");
  LONGS_EQUAL(2, x.client.connections_opened());
}

// Servers of the product's own protocol need not repeat an id.
TEST(stray_response, an_answer_needs_no_id_if_none_is_expected) {
  scripted_exchanges x({{answer(200, {}, "one")}, {answer(200, {}, "two")}});
  check_own_answer(x.send(""), "one");
  check_own_answer(x.send(""), "two");
  LONGS_EQUAL(1, x.client.connections_opened());
}

// A server that repeats no id wrote an earlier answer again, on a connection
// that was in use again: a commit that had failed counted as done.
TEST(stray_response, an_earlier_answer_without_ids_ends_no_later_request) {
  scripted_exchanges x({{answer(200, {}, "one")}, {answer(412, {}, "")}});
  x.server.repeats_answers = true;
  const auto commit = [](target_request& r) { r.exclusive_connection = true; };
  check_own_answer(x.send("", "", commit), "one");
  LONGS_EQUAL(412, x.send("", "", commit).status);
}

// The same after a call that leaves its connection to others.
TEST(stray_response, an_exclusive_request_takes_no_connection_in_use) {
  scripted_exchanges x({{answer(200, {}, "one")},
                        {answer(412, {}, "")},
                        {answer(200, {}, "three")}});
  x.server.repeats_answers = true;
  check_own_answer(x.send(""), "one");
  LONGS_EQUAL(412, x.send("", "", [](target_request& r) {
                      r.exclusive_connection = true;
                    }).status);
}

// A target that may leave out the id got its connection used again, and a copy
// of an earlier answer ended a later request.
TEST(stray_response, a_target_without_ids_answers_once_on_a_connection) {
  scripted_exchanges x({{answer(200, {}, "one")}, {answer(200, {}, "two")}});
  x.server.repeats_answers = true;
  const auto optional = [](target_request& r) { r.echo_required = false; };
  check_own_answer(x.send("q1", "", optional), "one");
  check_own_answer(x.send("q2", "", optional), "two");
  LONGS_EQUAL(2, x.client.connections_opened());
}

TEST(stray_response, a_target_that_may_omit_the_id_keeps_connections_with_it) {
  scripted_exchanges x(
      {{answer(200, {"q1"}, "one")}, {answer(200, {"q2"}, "two")}});
  x.server.repeats_answers = true;
  const auto optional = [](target_request& r) { r.echo_required = false; };
  check_own_answer(x.send("q1", "", optional), "one");
  check_own_answer(x.send("q2", "", optional), "two");
  LONGS_EQUAL(1, x.client.connections_opened());
}

// Nothing in the logs told that an answer had been skipped.
TEST(stray_response, a_skipped_answer_is_logged) {
  scripted_exchanges x(
      {{refusal_answer({"q0"}), refusal_answer({}),
        "HTTP/1.1 100 Continue\r\n\r\n", answer(200, {"q1"}, "one")}});
  check_own_answer(x.send("q1"), "one");
  LONGS_EQUAL(2, x.skipped.size());
  const event_fields with_id{
      {"request", "q1"}, {"status", "503"}, {"answer_id", "q0"}};
  const event_fields without_id{
      {"request", "q1"}, {"status", "503"}, {"answer_id", ""}};
  CHECK(with_id == x.skipped.front());
  CHECK(without_id == x.skipped.back());
}

// An id of any length reached the log.
TEST(stray_response, the_logged_id_is_bounded) {
  scripted_exchanges x(
      {{refusal_answer({std::string(5000, 'q')}), answer(200, {"q1"}, "one")}});
  check_own_answer(x.send("q1"), "one");
  LONGS_EQUAL(1, x.skipped.size());
  CHECK(x.skipped.front().back().second.size() <= 100);
}
