// Tests table services that send bytes without end: the memory and the time
// that a call takes are bounded, and its caller gets a result.
#include "kingcupslip/net/table_client.hpp"

#include "support/endless_server.hpp"
#include "support/heap_bytes.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <string>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

/// A call to the table takes two seconds at most.
constexpr milliseconds max_call_time{2500};
/// Beside what else a node of 160 MB holds.
constexpr std::size_t max_memory_growth = 32UL * 1024 * 1024;

void check_ends(const std::string& first, const std::string& repeated) {
  io_loop loop;
  endless_server server(loop, first, repeated);
  table_client client(loop, server.endpoint());
  const table_hooks hooks = client.hooks();
  std::optional<table_status> read;
  std::optional<table_status> written;
  const std::size_t heap_before = heap_bytes();
  hooks.read(
      {"", "", 10},
      [&read](table_status s, const std::vector<table_row>&) { read = s; });
  hooks.commit({{"key", 0, "value", false}},
               [&written](table_status s, std::uint64_t) { written = s; });
  std::size_t growth = 0;
  const instant end = read_clocks().now + max_call_time;
  while ((!read || !written) && read_clocks().now < end) {
    loop.run_one_for(milliseconds(10));
    const std::size_t now_used = heap_bytes();
    growth = std::max(growth, now_used - std::min(now_used, heap_before));
  }
  CHECK(read == table_status::unavailable);
  CHECK(written == table_status::unknown);
  CHECK_COMPARE(growth, <=, max_memory_growth);
}

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = ok_line + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// The library that read them kept heads, chunk extensions and bodies of any
// size.
// clang-format off
TEST_GROUP(endless_table){
};
// clang-format on

TEST(endless_table, a_head_without_end_ends_its_call) {
  check_ends(ok_line + "A: ", "a");
  check_ends(ok_line, "A: b\r\n");
}

TEST(endless_table, a_body_without_end_ends_its_call) {
  check_ends(ok_line + "\r\n", "body");
  check_ends(ok_line + "Content-Length: 99999999999\r\n\r\n", "body");
}

TEST(endless_table, chunks_without_end_end_their_call) {
  check_ends(chunked_head, "4\r\nbody\r\n");
  check_ends(chunked_head + "4;a=", "b");
  check_ends(chunked_head + "0\r\n", "A: b\r\n");
}

TEST(endless_table, interim_answers_without_end_end_their_call) {
  check_ends("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
}
