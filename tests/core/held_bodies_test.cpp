// Tests the memory that bodies take beside a target, while they wait or run.
#include "kingcupslip/core/target_stage.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace kingcupslip;
using std::chrono::seconds;

namespace {

constexpr std::size_t max_body_bytes = 1024UL * 1024;

} // namespace

TEST_GROUP(held_bodies) {
  clock_reading clock;
  quarantine crashes;
  std::vector<std::uint64_t> runs;
  std::vector<outcome> outcomes;
  std::unique_ptr<target_stage> stage;

  void setup() override {
    target_options options;
    options.service = "svc";
    options.max_body_bytes = max_body_bytes;
    target_hooks hooks;
    hooks.run = [this](std::uint64_t id, const target_request&) {
      runs.push_back(id);
    };
    hooks.cancel = [](std::uint64_t) {};
    hooks.log = [](event_id, const event_fields&) {};
    stage = std::make_unique<target_stage>(options, hooks, clock, crashes);
    target_announcement a;
    a.instance = "i";
    a.max_concurrency = 2;
    stage->on_announce(a);
  }

  void submit(std::size_t body_bytes) {
    wire::callT call;
    call.service = "svc";
    call.body.resize(body_bytes);
    stage->submit(std::move(call), clock.now + seconds(5),
                  [this](outcome o) { outcomes.push_back(std::move(o)); });
  }

  std::size_t in_progress() const {
    return stage->in_flight() + stage->queued();
  }
};

// Calls of all nodes wait at the node beside their target, which held bodies of
// any number of them.
TEST(held_bodies, of_waiting_and_running_requests_are_bounded_in_their_sum) {
  for (int n = 0; n < 8; ++n) {
    submit(max_body_bytes / 4);
  }
  LONGS_EQUAL(3, in_progress());
  LONGS_EQUAL(5, outcomes.size());
  for (const outcome& it : outcomes) {
    CHECK(reason::queue_full == it.refusal_reason);
    CHECK(verdict::not_run == it.execution);
  }
  submit(100);
  LONGS_EQUAL(4, in_progress());
}

TEST(held_bodies, of_requests_that_have_ended_leave_room_for_others) {
  for (int n = 0; n < 3; ++n) {
    submit(max_body_bytes / 4);
  }
  LONGS_EQUAL(2, runs.size());
  stage->on_result(runs[0], {exchange_end::answered, 200, {}, {}});
  stage->on_result(runs[1], {exchange_end::lost, 0, {}, {}});
  outcomes.clear();
  submit(max_body_bytes / 4);
  submit(max_body_bytes / 4);
  LONGS_EQUAL(0, outcomes.size());
  LONGS_EQUAL(3, in_progress());
}
