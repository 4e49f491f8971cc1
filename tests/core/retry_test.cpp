// Tests that retries are bounded end to end, stop in overload, and are
// cancelled with the caller.
#include "support/golden.hpp"
#include "support/virtual_fleet.hpp"

#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

namespace {

std::string service_name(int level) { return "s" + std::to_string(level); }

/// Returns a contract with one route for each level of a call chain.
contract chain_contract(int levels, std::uint32_t retries) {
  contract c = simple_contract("team-a", 100'000, 100'000);
  c.retries = retries;
  for (int i = 0; i < levels; ++i) {
    contract_route r;
    r.service = service_name(i);
    r.timeout = 10s;
    c.routes.push_back(r);
  }
  return c;
}

} // namespace

TEST_GROUP(retry) {
  virtual_fleet f{11};

  /// Adds `levels` services with two targets each. Each service calls the next
  /// one; the last answers 503 if `last_fails`, otherwise 200.
  void build_chain(int levels, std::uint32_t retries, bool last_fails) {
    for (int i = 0; i < levels; ++i) {
      for (const char* replica : {"x", "y"}) {
        f.add(service_name(i) + replica, "dc-a", service_name(i),
              {10, 1ms, 1000});
      }
    }
    f.run_for(4s);
    f.apply_contract("s0x", chain_contract(levels, retries));
    f.issue_key("s0x", "key-a", "team-a", "secret-a");
    f.run_for(4s);
    for (int i = 0; i < levels; ++i) {
      for (const char* replica : {"x", "y"}) {
        const std::string name = service_name(i) + replica;
        const bool last = i + 1 == levels;
        f.target(name).request_handler =
            [this, name, i, last,
             last_fails](const target_request& r,
                         const std::function<void(std::uint16_t)>& done) {
              if (last) {
                done(last_fails ? 503 : 200);
                return;
              }
              nested_call(name, "/" + service_name(i + 1) + "/", r, done);
            };
      }
    }
  }

  void nested_call(const std::string& entry_node, const std::string& path,
                   const target_request& parent,
                   const std::function<void(std::uint16_t)>& done) {
    caller_request r;
    r.method = "POST";
    r.request_target = path;
    for (const header& it : parent.headers) {
      if (same_header_name(it.name, header_names::context)) {
        r.headers.push_back(it);
      }
    }
    f.at(entry_node).on_request(r, [done](const outcome& o) {
      done(o.execution == verdict::ran ? o.status : 503);
    });
  }
};

TEST(retry, a_chain_of_fifteen_failing_hops_uses_one_retry_budget) {
  constexpr int levels = 15;
  constexpr std::uint32_t retries = 3;
  build_chain(levels, retries, true);
  const outcome o =
      f.request_and_wait("s0x", "/s0/", "secret-a", "", "x", 10'000ms);
  CHECK_TRUE(o.refusal_reason != reason::none);
  // Each retry runs at most the chain below it again.
  CHECK_COMPARE(f.total_runs(), <=, levels * (1U + retries));
  CHECK_COMPARE(o.retries_used, <=, retries);
  CHECK_COMPARE(f.total_runs(), >=, std::uint64_t{levels});
}

TEST(retry, a_healthy_chain_runs_each_hop_once) {
  build_chain(15, 3, false);
  const outcome o =
      f.request_and_wait("s0x", "/s0/", "secret-a", "", "x", 10'000ms);
  LONGS_EQUAL(200, o.status);
  LONGS_EQUAL(15, f.total_runs());
}

TEST(retry, retries_stop_while_the_service_refuses_and_resume_afterwards) {
  retry_budget r;
  instant now = 1h;
  for (int i = 0; i < 100; ++i) {
    r.on_first_attempt();
    r.on_result(true, now);
  }
  CHECK_FALSE(r.spend(now));
  now += 10s;
  for (int i = 0; i < 100; ++i) {
    r.on_first_attempt();
    r.on_result(false, now);
  }
  CHECK_TRUE(r.spend(now));
}

TEST(retry, retries_stay_at_about_a_tenth_of_first_attempts) {
  retry_budget r;
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    r.on_first_attempt();
    r.on_result(false, 1h);
    spent += r.spend(1h) ? 1 : 0;
  }
  CHECK_COMPARE(spent, <=, 110);
}

TEST(retry, another_target_answers_when_one_refuses_connections) {
  build_two_data_centres(f, 2);
  f.target("a1").crash();
  int ran = 0;
  for (int i = 0; i < 50; ++i) {
    ran += f.request_and_wait("a2", "/svc/list", "secret-a").execution ==
                   verdict::ran
               ? 1
               : 0;
  }
  LONGS_EQUAL(50, ran);
}

TEST(retry, a_disconnected_caller_cancels_its_request) {
  build_two_data_centres(f, 1);
  for (const std::string& it : f.names()) {
    f.target(it).mutable_options().service_time = 1s;
  }
  const std::uint64_t before = f.total_runs();
  caller_request r;
  r.method = "GET";
  r.request_target = "/svc/list";
  r.headers.push_back({"Authorization", "Bearer secret-a"});
  r.connection = 77;
  outcome got;
  f.at("a1").on_request(r, [&got](outcome o) { got = std::move(o); });
  f.run_for(300ms);
  f.at("a1").on_caller_disconnected(77);
  f.run_for(50ms);
  STRCMP_EQUAL("499 cancelled may-have-run", text_of(got).c_str());
  LONGS_EQUAL(1, f.target("a1").cancel_count + f.target("b1").cancel_count);
  LONGS_EQUAL(before + 1, f.total_runs());
}

TEST(retry, duplicated_and_late_frames_never_misdeliver_an_answer) {
  build_two_data_centres(f, 3);
  f.duplicated_per_mille = 300;
  f.delayed_per_mille = 300;
  int misdelivered = 0;
  int answered = 0;
  for (int i = 0; i < 2000; ++i) {
    const std::string body = "request " + std::to_string(i);
    const std::string key = f.make_idempotency_key();
    f.request(i % 2 == 0 ? "a1" : "b2", i % 3 == 0 ? "/svc/book" : "/svc/list",
              "secret-a", key, body,
              [&misdelivered, &answered, body](const outcome& o) {
                ++answered;
                const std::string got(o.body.begin(), o.body.end());
                misdelivered +=
                    o.execution == verdict::ran && got != body ? 1 : 0;
              });
    f.run_for(2ms);
  }
  f.run_for(10s);
  LONGS_EQUAL(2000, answered);
  LONGS_EQUAL(0, misdelivered);
}

TEST(retry, a_request_that_crashes_targets_is_quarantined_and_others_are_not) {
  build_two_data_centres(f, 3);
  const auto restart_all = [this] {
    for (const std::string& it : f.names()) {
      f.target(it).restart();
    }
  };
  int crashes_before_refusal = 0;
  outcome last;
  for (int i = 0; i < 6; ++i) {
    const std::uint64_t before = f.total_runs();
    for (int k = 0; k < 3; ++k) {
      f.request("a1", "/svc/list", "secret-a", "",
                "bystander " + std::to_string(k), [](const outcome&) {});
    }
    last = f.request_and_wait("a1", "/svc/list", "secret-a",
                              f.make_idempotency_key(), "crash-this-target");
    crashes_before_refusal +=
        last.refusal_reason != reason::quarantined ? 1 : 0;
    f.run_for(4s);
    restart_all();
    f.run_for(3s);
    CHECK_TRUE(f.total_runs() >= before);
  }
  STRCMP_EQUAL("503 quarantined not-run", text_of(last).c_str());
  CHECK_COMPARE(crashes_before_refusal, <=, 2);
  f.run_for(10s);
  const outcome elsewhere =
      f.request_and_wait("b2", "/svc/list", "secret-a",
                         f.make_idempotency_key(), "crash-this-target");
  STRCMP_EQUAL("503 quarantined not-run", text_of(elsewhere).c_str());
  for (int k = 0; k < 3; ++k) {
    const outcome o = f.request_and_wait("a1", "/svc/list", "secret-a", "",
                                         "bystander " + std::to_string(k));
    STRCMP_EQUAL("200 ran", text_of(o).c_str());
  }
}
