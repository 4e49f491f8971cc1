// Tests requests through several nodes: keys, routes, answers, draining.
#include "support/golden.hpp"
#include "support/virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using namespace std::chrono_literals;

TEST_GROUP(node) {
  virtual_fleet f{1};
  transcript t;

  void record_outcome(const std::string& what, const outcome& o) {
    t.line(what + ": " + text_of(o));
  }
};

TEST(node, returns_complete_answers_and_hides_keys_from_targets) {
  build_two_data_centres(f, 2);
  for (const std::string& it : f.names()) {
    f.target(it).keep_started_requests = true;
  }
  const outcome o =
      f.request_and_wait("a1", "/svc/list", "secret-a", "", "whole body");
  record_outcome("list", o);
  t.line("body: " + std::string(o.body.begin(), o.body.end()));
  record_outcome("book", f.request_and_wait("b1", "/svc/book", "secret-a",
                                            f.make_idempotency_key(), "order"));
  record_outcome("open without a key",
                 f.request_and_wait("b2", "/svc/open", ""));
  std::uint64_t keys_seen = 0;
  for (const std::string& it : f.names()) {
    for (const target_request& r : f.target(it).started_requests) {
      for (const header& h : r.headers) {
        keys_seen += h.value.find("secret-a") != std::string::npos ? 1 : 0;
      }
    }
  }
  t.line("keys seen by targets: " + std::to_string(keys_seen));
  check_golden("node_serves", t);
}

TEST(node, refuses_wrong_missing_and_withdrawn_keys_as_not_run) {
  build_two_data_centres(f, 2);
  record_outcome("no key", f.request_and_wait("a1", "/svc/list", ""));
  record_outcome("unknown key", f.request_and_wait("a1", "/svc/list", "guess"));
  record_outcome("unknown service",
                 f.request_and_wait("a1", "/nowhere/list", "secret-a"));
  record_outcome("route of no contract",
                 f.request_and_wait("a1", "/svc/other", "secret-a"));
  record_outcome("prefix is not a path",
                 f.request_and_wait("a1", "/svc/listing", "secret-a"));
  record_outcome("no service at all",
                 f.request_and_wait("a1", "/", "secret-a"));
  f.issue_key("b1", "key-a", "team-a", "secret-a", true);
  f.run_for(3s);
  for (const std::string& it : f.names()) {
    record_outcome("withdrawn, at " + it,
                   f.request_and_wait(it, "/svc/list", "secret-a"));
  }
  t.line("runs: " + std::to_string(f.total_runs()));
  check_golden("node_refuses_keys", t);
}

TEST(node, a_forged_context_with_a_longer_deadline_is_refused) {
  build_two_data_centres(f, 1);
  caller_request r;
  r.method = "GET";
  r.request_target = "/svc/list";
  r.headers.push_back({"Kingcupslip-Context", "v1.team-a.k.9999999999999.0.9."
                                              "0.1.00000000"});
  outcome got;
  f.at("a1").on_request(r, [&got](outcome o) { got = std::move(o); });
  STRCMP_EQUAL("403 bad_context not-run", text_of(got).c_str());
}

TEST(node, a_data_centre_taken_out_gets_no_requests_after_three_seconds) {
  build_two_data_centres(f, 2);
  f.write("b1", "out/data-centre/dc-a", R"({"out":true})");
  f.run_for(3s);
  const std::uint64_t before =
      f.target("a1").total_runs + f.target("a2").total_runs;
  for (int i = 0; i < 200; ++i) {
    f.request_and_wait(i % 2 == 0 ? "a1" : "b2", "/svc/list", "secret-a");
  }
  LONGS_EQUAL(before, f.target("a1").total_runs + f.target("a2").total_runs);
  f.write("b1", "out/data-centre/dc-a", R"({"out":false})");
  f.run_for(3s);
  for (int i = 0; i < 200; ++i) {
    f.request_and_wait("a1", "/svc/list", "secret-a");
  }
  CHECK_TRUE(f.target("a1").total_runs + f.target("a2").total_runs > before);
}

TEST(node, a_graceful_shutdown_interrupts_no_request) {
  build_two_data_centres(f, 2);
  int succeeded = 0;
  int total = 0;
  for (int i = 0; i < 400; ++i) {
    if (i == 100) {
      f.at("a2").start_draining();
    }
    const std::string entry_node = i % 2 == 0 ? "a1" : "b1";
    const bool book = i % 4 < 2;
    ++total;
    f.request(
        entry_node, book ? "/svc/book" : "/svc/list", "secret-a",
        f.make_idempotency_key(), "x", [&succeeded, i](const outcome& o) {
          succeeded += o.execution == verdict::ran ? 1 : 0;
          if (o.execution != verdict::ran) {
            UT_PRINT(StringFromFormat("request %d: %s", i, text_of(o).c_str()));
          }
        });
    f.run_for(10ms);
  }
  f.run_for(20s);
  CHECK_TRUE(f.at("a2").drained());
  LONGS_EQUAL(total, succeeded);
}
