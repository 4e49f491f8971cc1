// Tests replies between nodes that no node of this release sends.
#include "kingcupslip/core/reply_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

namespace {

wire::replyT answer_with(std::uint16_t status) {
  wire::replyT out;
  out.verdict = static_cast<std::uint8_t>(verdict::ran);
  out.status = status;
  return out;
}

} // namespace

// clang-format off
TEST_GROUP(reply_codec){
};
// clang-format on

// Guards against MIXED: a reply without a status, or with one that HTTP does
// not have, was passed on to the caller as an answer with status 000.
TEST(reply_codec, an_answer_without_a_status_of_http_is_no_answer) {
  for (const std::uint16_t status : {0, 99, 100, 199, 600, 999}) {
    wire::replyT reply = answer_with(status);
    const outcome o = from_reply(reply);
    CHECK(o.refusal_reason == reason::connection_lost);
    CHECK(o.execution == verdict::may_have_run);
  }
}

TEST(reply_codec, an_answer_with_a_status_of_http_is_passed_on) {
  for (const std::uint16_t status : {200, 404, 500, 599}) {
    wire::replyT reply = answer_with(status);
    const outcome o = from_reply(reply);
    CHECK(o.refusal_reason == reason::none);
    LONGS_EQUAL(status, o.status);
  }
}
