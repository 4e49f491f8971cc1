// Tests servers that send bytes without end: the memory and the time that an
// exchange takes are bounded, and its caller gets a result.
#include "kingcupslip/net/http_client.hpp"

#include "support/endless_server.hpp"
#include "support/heap_bytes.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

struct endless_case {
  const char* name;
  std::string first;
  std::string repeated;
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

const std::string chunked_head = ok_line + "Transfer-Encoding: chunked\r\n\r\n";
const std::string other_answer =
    ok_line + "Request-Id: other\r\nContent-Length: 2\r\n\r\nab";

constexpr milliseconds time_left{2000};
constexpr milliseconds scheduling_slack{500};
constexpr std::size_t concurrent_requests = 40;
/// A node has 160 MB or more, of which answers may take a part.
constexpr std::size_t max_memory_growth = 64UL * 1024 * 1024;
constexpr std::size_t max_answer_bytes = 1024UL * 1024;
/// Of a body while its memory grows, with the buffers of both ends.
constexpr std::size_t max_body_growth = 4 * max_answer_bytes;
/// Of a head of 64 KB, likewise.
constexpr std::size_t max_head_growth = 1024UL * 1024;

/// Sends requests to a server and returns how much memory they took until the
/// last of them ended, or until they should have.
std::size_t memory_growth(io_loop& loop, http_client& client, std::size_t n,
                          std::vector<target_result>& results) {
  const std::size_t heap_before = heap_bytes();
  const instant started_at = read_clocks().now;
  for (std::size_t i = 0; i < n; ++i) {
    target_request r;
    r.method = "GET";
    r.path = "/";
    r.time_left = time_left;
    r.echoed_header = {"Request-Id", "own"};
    client.send(i + 1, std::move(r), [&results](target_result t) {
      results.push_back(std::move(t));
    });
  }
  std::size_t growth = 0;
  const instant end = started_at + time_left + scheduling_slack;
  while (results.size() < n && read_clocks().now < end) {
    loop.run_one_for(milliseconds(10));
    const std::size_t now_used = heap_bytes();
    growth = std::max(growth, now_used - std::min(now_used, heap_before));
  }
  return growth;
}

/// Sends requests to a server of this kind and checks that each of them ends
/// in time, that no answer is made of the bytes, and how much memory they took.
void check_ends(const endless_case& c) {
  io_loop loop;
  endless_server server(loop, c.first, c.repeated);
  http_client client(loop, server.endpoint());
  std::vector<target_result> results;
  const std::size_t growth =
      memory_growth(loop, client, concurrent_requests, results);
  LONGS_EQUAL_TEXT(concurrent_requests, results.size(), c.name);
  CHECK_TEXT(growth <= max_memory_growth, c.name);
  for (const target_result& r : results) {
    CHECK_TEXT(exchange_end::lost == r.end, c.name);
  }
}

/// Sends one request to a server of this kind and checks that its answer takes
/// no more memory than one may, whatever all of them may take.
void check_one(const endless_case& c, std::size_t max_growth) {
  io_loop loop;
  endless_server server(loop, c.first, c.repeated);
  http_client client(loop, server.endpoint(), nullptr, max_answer_bytes);
  std::vector<target_result> results;
  const std::size_t growth = memory_growth(loop, client, 1, results);
  LONGS_EQUAL_TEXT(1, results.size(), c.name);
  CHECK_TRUE_TEXT(growth <= max_growth, c.name);
  CHECK_TEXT(exchange_end::lost == results.front().end, c.name);
}

} // namespace

// Answers without end filled the memory of the node.
// clang-format off
TEST_GROUP(endless_response){
};
// clang-format on

TEST(endless_response, a_head_without_end_ends_its_request) {
  check_ends({"no status line", "xxxx", "x"});
  check_ends({"one header line", ok_line + "A: ", "a"});
  check_ends({"header lines", ok_line, "A: b\r\n"});
}

// Heads that were not complete counted for nothing: a thousand of them took 64
// MB, each within its own bound.
TEST(endless_response, heads_without_end_are_bounded_in_their_sum) {
  constexpr std::size_t requests = 200;
  constexpr std::size_t max_buffered_bytes = 2UL * 1024 * 1024;
  /// Sockets, timers and the request itself.
  constexpr std::size_t exchange_bytes = 16UL * 1024;
  io_loop loop;
  endless_server server(loop, ok_line + "A: " + std::string(60'000, 'a'), "");
  http_client client(loop, server.endpoint(), nullptr, max_buffered_bytes,
                     max_buffered_bytes);
  std::vector<target_result> results;
  const std::size_t growth = memory_growth(loop, client, requests, results);
  LONGS_EQUAL(requests, results.size());
  CHECK_COMPARE(growth, <=, max_buffered_bytes + requests * exchange_bytes);
}

TEST(endless_response, one_head_is_bounded) {
  check_one({"no status line", "xxxx", "x"}, max_head_growth);
  check_one({"one header line", ok_line + "A: ", "a"}, max_head_growth);
  check_one({"header lines", ok_line, "A: b\r\n"}, max_head_growth);
}

TEST(endless_response, one_body_is_bounded) {
  check_one({"no length", ok_line + "\r\n", "body"}, max_body_growth);
  check_one(
      {"huge length", ok_line + "Content-Length: 99999999999\r\n\r\n", "body"},
      max_body_growth);
  check_one({"chunks", chunked_head, "4\r\nbody\r\n"}, max_body_growth);
}

TEST(endless_response, one_chunk_line_or_trailer_is_bounded) {
  check_one({"chunk extension", chunked_head + "4;a=", "b"}, max_head_growth);
  check_one({"chunk size", chunked_head, "0"}, max_head_growth);
  check_one({"trailers", chunked_head + "0\r\n", "A: b\r\n"}, max_head_growth);
}

TEST(endless_response, a_body_without_a_length_and_end_ends_its_request) {
  check_ends({"no length", ok_line + "\r\n", "body"});
}

TEST(endless_response, a_body_of_huge_length_ends_its_request) {
  check_ends(
      {"huge length", ok_line + "Content-Length: 99999999999\r\n\r\n", "body"});
}

TEST(endless_response, chunks_without_end_end_their_request) {
  check_ends({"chunks", chunked_head, "4\r\nbody\r\n"});
}

TEST(endless_response, a_chunk_extension_without_end_ends_its_request) {
  check_ends({"chunk extension", chunked_head + "4;a=", "b"});
}

TEST(endless_response, a_chunk_size_without_end_ends_its_request) {
  check_ends({"chunk size", chunked_head, "0"});
}

TEST(endless_response, trailers_without_end_end_their_request) {
  check_ends({"trailers", chunked_head + "0\r\n", "A: b\r\n"});
}

// A trailer field of 64 KiB made the parser throw, which ended the process.
TEST(endless_response, a_long_trailer_field_ends_its_request) {
  const std::string long_text(100'000, 'a');
  check_ends(
      {"long value", chunked_head + "0\r\nA: " + long_text + "\r\n\r\n", "x"});
  check_ends(
      {"long name", chunked_head + "0\r\n" + long_text + ": a\r\n\r\n", "x"});
}

// A head with a field of 64 KiB must not make the parser throw either.
TEST(endless_response, a_long_header_field_ends_its_request) {
  const std::string long_text(100'000, 'a');
  check_ends({"long value", ok_line + "A: " + long_text + "\r\n\r\n", "x"});
  check_ends({"long name", ok_line + long_text + ": a\r\n\r\n", "x"});
}

TEST(endless_response, interim_answers_without_end_end_their_request) {
  check_ends({"interim answers", "HTTP/1.1 100 Continue\r\n\r\n",
              "HTTP/1.1 100 Continue\r\n\r\n"});
}

// Skipped answers take no memory, but the time of their node.
TEST(endless_response, skipped_answers_end_their_request_before_its_deadline) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const instant started_at = read_clocks().now;
  check_one({"interim answers", interim, interim}, max_head_growth);
  check_one({"other answers", other_answer, other_answer}, max_head_growth);
  CHECK(read_clocks().now - started_at < time_left / 2);
}

TEST(endless_response, answers_to_other_requests_end_their_request) {
  check_ends({"other answers", other_answer, other_answer});
}
