// Tests which answers of a target are taken for the statement that a request
// has not run.
#include "kingcupslip/core/target_stage.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

constexpr std::uint16_t moved_status = 421;
constexpr std::uint16_t refused_status = 503;
const header not_run_field{"Not-Run", "1"};

/// A target stage with one request that its target answers.
struct answered_request {
  explicit answered_request(bool idempotent) {
    target_options options;
    options.service = "svc";
    options.protocol.encode = [](const wire::callT&, const std::string&,
                                 duration) { return target_request{}; };
    options.protocol.is_not_run_answer = [](const target_result& r) {
      return !r.headers.empty() && r.headers.front().name == not_run_field.name;
    };
    options.protocol.is_moved_answer = [](const target_result& r) {
      return r.status == moved_status;
    };
    target_hooks hooks;
    hooks.run = [this](std::uint64_t run, const target_request&) {
      started = run;
    };
    hooks.cancel = [](std::uint64_t) {};
    hooks.log = [](event_id, const event_fields&) {};
    hooks.withdraw = [this](std::uint64_t run) { withdrawn.push_back(run); };
    stage = std::make_unique<target_stage>(options, hooks, clock, condemned);
    target_announcement a;
    a.instance = "i";
    a.sequence = 1;
    stage->on_announce(a);
    wire::callT call;
    call.service = "svc";
    call.idempotent = idempotent;
    ticket = stage->submit(std::move(call), clock.now + std::chrono::seconds(1),
                           [this](outcome o) { result = std::move(o); });
  }

  outcome answer(std::uint16_t status, const std::vector<header>& headers) {
    stage->on_result(started, {exchange_end::answered, status, headers, {}});
    return result;
  }

  clock_reading clock;
  quarantine condemned;
  std::unique_ptr<target_stage> stage;
  std::uint64_t started = 0;
  std::uint64_t ticket = 0;
  outcome result;
  std::vector<std::uint64_t> withdrawn;
};

} // namespace

// clang-format off
TEST_GROUP(not_run_answer){
};
// clang-format on

// A request was taken as not run without the target's statement, sent to
// another target and answered as not run.
TEST(not_run_answer, an_answer_of_another_target_alone_proves_nothing) {
  for (const bool idempotent : {false, true}) {
    answered_request r(idempotent);
    const outcome o = r.answer(moved_status, {});
    CHECK(reason::no_target == o.refusal_reason);
    CHECK(verdict::may_have_run == o.execution);
    CHECK_FALSE(r.stage->ready());
  }
}

TEST(not_run_answer, another_target_states_that_a_request_has_not_run) {
  answered_request r(false);
  const outcome o = r.answer(moved_status, {not_run_field});
  CHECK(reason::no_target == o.refusal_reason);
  CHECK(verdict::not_run == o.execution);
  CHECK_FALSE(r.stage->ready());
}

// One caller that left while its connection was being opened took the target
// out of use.
TEST(not_run_answer, a_cancelled_connect_says_nothing_about_the_target) {
  answered_request r(true);
  r.stage->cancel(r.ticket);
  r.stage->on_result(r.started, {exchange_end::not_connected, 0, {}, {}});
  CHECK(r.stage->ready());
}

// A request whose connection to the target was opened late was sent after the
// target's leaving had been acknowledged, and cut by its end.
TEST(not_run_answer, an_unsent_request_is_withdrawn_from_a_leaving_target) {
  answered_request r(false);
  r.stage->tick();
  target_announcement a;
  a.instance = "i";
  a.sequence = 2;
  a.draining = true;
  r.stage->on_announce(a);
  r.clock.now += std::chrono::milliseconds(900);
  r.stage->tick();
  CHECK(r.withdrawn.empty());
  r.clock.now += std::chrono::milliseconds(200);
  r.stage->tick();
  r.stage->tick();
  LONGS_EQUAL(1, r.withdrawn.size());
  LONGS_EQUAL(r.started, r.withdrawn.front());
  r.stage->on_result(r.started, {exchange_end::not_connected, 0, {}, {}});
  CHECK(verdict::not_run == r.result.execution);
  CHECK(reason::target_unreachable == r.result.refusal_reason);
}

TEST(not_run_answer, a_refusal_needs_the_statement_of_its_target) {
  answered_request stated(false);
  CHECK(verdict::not_run ==
        stated.answer(refused_status, {not_run_field}).execution);
  answered_request alone(false);
  CHECK(verdict::ran == alone.answer(refused_status, {}).execution);
  answered_request repeatable(true);
  CHECK(verdict::may_have_run ==
        repeatable.answer(refused_status, {}).execution);
}
