// Tests that no answer of the store is taken for that to another call. Its
// answers repeat no request id.
#include "platform/store.hpp"

#include "support/scripted_server.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

/// The answer with these rows of the operators.
std::string rows_answer(const std::string& rows) {
  const std::string body = R"({"record-version": 7, "rows": [)" + rows + "]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string evacuation_row =
    R"({"table": "op", "key": "evacuate/dc-b", "record-version": 6,)"
    R"( "value": ""})";

} // namespace

// clang-format off
TEST_GROUP(store){
};
// clang-format on

// A read of other rows was answered once more, late, and the data centres that
// were out of service counted as back.
TEST(store, a_copy_of_an_earlier_answer_is_no_desired_state) {
  io_loop loop;
  scripted_server server(loop,
                         {{rows_answer("")}, {rows_answer(evacuation_row)}});
  server.repeats_answers = true;
  http_client client(loop, server.endpoint());
  bool read = false;
  platform::make_table_hooks(client).read(
      {"member/", "", 10},
      [&read](table_status s, const std::vector<table_row>&) {
        read = s == table_status::ok;
      });
  loop.run_for(milliseconds(200));
  CHECK(read);
  std::optional<std::size_t> items;
  platform::make_operator_watch_hooks(client).read_all(
      [&items](watch_status s, const std::vector<desired_state_item>& got,
               store_position) {
        CHECK(watch_status::ok == s);
        items = got.size();
      });
  loop.restart();
  loop.run_for(milliseconds(200));
  CHECK(items.has_value());
  LONGS_EQUAL(1, *items);
}
