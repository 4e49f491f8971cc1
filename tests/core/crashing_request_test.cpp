// Tests that a request that crashes targets is found and sent to few of them,
// whatever ends, is cut off or arrives late meanwhile.
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/target_stage.hpp"
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* crash_body = "crash-this-target";
/// Once a request has crashed three targets, it may reach this many more later
/// than `news_time` after the third.
constexpr std::size_t max_late_runs = 3;
constexpr duration news_time = seconds(3);
constexpr duration target_down_time = seconds(2);

/// A fleet whose targets come back some seconds after a crash, and the times of
/// the crashes.
class crashing_fleet {
public:
  crashing_fleet(std::uint64_t seed, std::size_t nodes_per_data_centre)
      : fleet(seed) {
    fleet.slots = 50;
    build_routed_fleet(fleet, nodes_per_data_centre);
    for (std::size_t i = 1; i <= nodes_per_data_centre; ++i) {
      nodes.push_back("a" + std::to_string(i));
      nodes.push_back("b" + std::to_string(i));
    }
    for (const std::string& it : nodes) {
      fleet.target(it).mutable_options().slots = 50;
    }
  }

  void run_for(duration d) {
    for (const instant end = fleet.time.now() + d; fleet.time.now() < end;) {
      fleet.run_for(milliseconds(1));
      for (const std::string& it : nodes) {
        watch(it);
      }
    }
  }

  void send_crashing_request(const std::string& node,
                             const std::string& key = "k") {
    fleet.request(
        node, "/safe/x", key, [](const outcome&) {}, seconds(1), crash_body);
  }

  void restart_all_nodes() {
    for (const std::string& it : nodes) {
      fleet.kill(it);
    }
    run_for(milliseconds(200));
    for (const std::string& it : nodes) {
      fleet.restart_node(it);
    }
  }

  void isolate(const std::string& node) {
    for (const std::string& it : nodes) {
      fleet.block_link(node, it);
    }
  }

  /// Crashes later than `news_time` after the third one.
  std::size_t late_crashes() const {
    return crashed_at.size() < 3
               ? 0
               : static_cast<std::size_t>(std::count_if(
                     crashed_at.begin(), crashed_at.end(), [this](instant at) {
                       return at > crashed_at[2] + news_time;
                     }));
  }

  routed_fleet fleet;
  std::vector<std::string> nodes;
  std::vector<instant> crashed_at;

private:
  void watch(const std::string& node) {
    fake_target& t = fleet.target(node);
    std::uint64_t& seen = m_generation_seen.try_emplace(node, 1).first->second;
    if (t.generation() != seen) {
      seen = t.generation();
      crashed_at.push_back(fleet.time.now());
      m_back_at[node] = fleet.time.now() + target_down_time;
    }
    if (t.down() && m_back_at[node] <= fleet.time.now()) {
      t.restart();
    }
  }

  std::map<std::string, std::uint64_t> m_generation_seen;
  std::map<std::string, instant> m_back_at;
};

/// A target stage without a node around it. Runs are numbered by the stage.
class staged_target {
public:
  staged_target()
      : stage(options(),
              {[this](std::uint64_t run, const target_request&) {
                 runs.push_back(run);
               },
               [this](std::uint64_t run) { cancelled.push_back(run); },
               [](event_id, const event_fields&) {}},
              clock, suspects) {
    clock.now = seconds(1);
    announce("i1", 1);
  }

  void announce(const std::string& instance, std::uint64_t sequence) {
    target_announcement a;
    a.instance = instance;
    a.sequence = sequence;
    a.max_concurrency = slots;
    stage.on_announce(a);
  }

  /// Starts a request and returns its run.
  std::uint64_t start(std::uint64_t digest) {
    wire::callT call;
    call.service = "svc";
    call.digest = digest;
    call.idempotent = true;
    stage.submit(std::move(call), clock.now + seconds(5),
                 [](const outcome&) {});
    return runs.back();
  }

  void end(std::uint64_t run, exchange_end how, std::uint16_t status = 200) {
    target_result r;
    r.end = how;
    r.status = status;
    stage.on_result(run, r);
  }

  void pass(duration d) {
    clock.now += d;
    stage.tick();
  }

  clock_reading clock;
  quarantine suspects;
  std::size_t slots = 10; ///< that it announces; 0: none
  std::vector<std::uint64_t> runs;
  std::vector<std::uint64_t> cancelled;
  std::uint64_t last_ticket = 0;
  target_stage stage;

private:
  static target_options options() {
    target_options out;
    out.service = "svc";
    out.protocol.is_moved_answer = [](const target_result& r) {
      return r.status == 421;
    };
    return out;
  }
};

} // namespace

// clang-format off
TEST_GROUP(crashing_request){
};
// clang-format on

// All processes were killed, and the request crashed targets as if it had never
// come before.
TEST(crashing_request, is_known_after_all_nodes_have_restarted) {
  crashing_fleet f(1, 3);
  routed_load l(f.fleet, f.nodes, "/safe/other", 100, seconds(60));
  for (int i = 0; i < 24; ++i) {
    f.send_crashing_request(f.nodes[static_cast<std::size_t>(i) % 6]);
    f.run_for(seconds(2));
    if (i % 6 == 5) {
      f.restart_all_nodes();
      f.run_for(seconds(2));
    }
  }
  CHECK_COMPARE(f.late_crashes(), <=, max_late_runs);
  f.run_for(seconds(10));
}

// A target's own call crashed the targets, and each node that restarted had
// forgotten it.
TEST(crashing_request, of_a_run_is_known_after_all_nodes_have_restarted) {
  crashing_fleet f(2, 3);
  for (const std::string& it : f.nodes) {
    f.fleet.target(it).request_handler =
        [&f, it](const target_request& r,
                 const std::function<void(std::uint16_t)>& done) {
          if (r.path != "/safe/parent") {
            done(200);
            return;
          }
          f.fleet.request(
              it, "/inner/x", "",
              [done](const outcome& o) {
                done(o.refusal_reason == reason::none ? o.status : 500);
              },
              milliseconds(700), crash_body);
        };
  }
  for (int i = 0; i < 24; ++i) {
    f.fleet.request(f.nodes[static_cast<std::size_t>(i) % 6], "/safe/parent",
                    "k", [](const outcome&) {});
    f.run_for(seconds(2));
    if (i % 6 == 5) {
      f.restart_all_nodes();
      f.run_for(seconds(2));
    }
  }
  CHECK_COMPARE(f.late_crashes(), <=, max_late_runs);
  f.run_for(seconds(3));
}

// Nodes that were cut off from each other, but not from the store, each let the
// request crash their target twice.
TEST(crashing_request, is_known_to_nodes_that_are_cut_off_from_the_others) {
  crashing_fleet f(3, 4);
  for (const std::string& it : f.nodes) {
    f.isolate(it);
  }
  f.run_for(seconds(8));
  for (int i = 0; i < 24; ++i) {
    f.send_crashing_request(f.nodes[static_cast<std::size_t>(i) % 8]);
    f.run_for(seconds(3));
  }
  CHECK_COMPARE(f.late_crashes(), <=, max_late_runs);
  f.run_for(seconds(3));
}

// Guards against messages between nodes that name only some of the requests
// that ran at a crash, and not its cause.
TEST(crashing_request, is_found_among_many_that_ran_beside_it) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    crashing_fleet f(seed, 8);
    for (const std::string& it : f.nodes) {
      f.fleet.target(it).mutable_options().service_time = milliseconds(400);
    }
    std::size_t other = 0;
    for (std::size_t i = 0; i < 24; ++i) {
      for (int n = 0; n < 200; ++n) {
        ++other;
        f.fleet.request(f.nodes[other % f.nodes.size()],
                        "/safe/" + std::to_string(other), "k",
                        [](const outcome&) {});
      }
      f.run_for(milliseconds(100));
      f.send_crashing_request(f.nodes[i % f.nodes.size()]);
      f.run_for(milliseconds(2900));
    }
    CHECK_COMPARE(f.late_crashes(), <=, max_late_runs);
    f.run_for(seconds(3));
  }
}

// The caller got another key, and the same request counted as a new one.
TEST(crashing_request, is_known_when_its_team_uses_another_key) {
  crashing_fleet f(5, 3);
  route_table::content routes = simple_routes();
  routes.teams.front().keys = {"k", "k2", "k3"};
  f.fleet.write_routes(std::move(routes));
  f.run_for(seconds(1));
  const std::vector<std::string> keys{"k", "k2", "k3"};
  for (std::size_t i = 0; i < 24; ++i) {
    f.send_crashing_request(f.nodes[i % 6], keys[i / 8]);
    f.run_for(seconds(3));
  }
  CHECK_COMPARE(f.late_crashes(), <=, max_late_runs);
  f.run_for(seconds(3));
}

// A run that was still connecting when its target crashed was not lost like the
// others, and the crash did not count.
TEST(crashing_request,
     is_suspected_if_another_run_was_connecting_at_the_crash) {
  staged_target t;
  const std::uint64_t cause = t.start(1);
  const std::uint64_t connecting = t.start(2);
  const std::uint64_t cancelled = t.start(3);
  t.end(cause, exchange_end::lost);
  t.end(connecting, exchange_end::not_connected);
  t.stage.cancel(t.last_ticket);
  t.end(cancelled, exchange_end::lost);
  t.pass(seconds(2));
  t.announce("i2", 1);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
}

// An announcement that the target had sent before it crashed arrived late.
TEST(crashing_request, is_suspected_though_an_earlier_announcement_comes_late) {
  staged_target t;
  t.end(t.start(1), exchange_end::lost);
  t.pass(milliseconds(300));
  t.announce("i1", 2);
  t.pass(seconds(2));
  t.announce("i2", 1);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
}

// Until the target announced itself again, some seconds after its crash, nobody
// knew of it.
TEST(crashing_request, is_suspected_once_its_target_refuses_a_connection) {
  staged_target t;
  t.end(t.start(1), exchange_end::lost);
  t.pass(milliseconds(50));
  t.end(t.start(2), exchange_end::not_connected);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
  CHECK_FALSE(t.suspects.is_suspect(2, t.clock.now));
}

TEST(crashing_request, is_no_suspect_if_the_target_goes_on_answering) {
  staged_target t;
  t.end(t.start(1), exchange_end::lost);
  t.pass(milliseconds(50));
  t.end(t.start(2), exchange_end::answered);
  t.pass(seconds(2));
  t.announce("i1", 2);
  t.pass(seconds(1));
  t.announce("i2", 1);
  CHECK_FALSE(t.suspects.is_suspect(1, t.clock.now));
}

// A target that had not run the request, as another one has its address now,
// cleared it.
TEST(crashing_request, stays_a_suspect_if_a_target_did_not_run_it) {
  staged_target t;
  t.end(t.start(1), exchange_end::lost);
  t.pass(seconds(1));
  t.announce("i2", 1);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
  t.end(t.start(1), exchange_end::answered, 421);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
}

// It waited in the queue while other targets crashed under it, and then ran.
TEST(crashing_request, is_refused_in_the_queue_once_it_is_quarantined) {
  staged_target t;
  std::vector<std::uint64_t> running;
  for (std::uint64_t i = 0; i < 10; ++i) {
    running.push_back(t.start(100 + i));
  }
  const std::size_t before = t.runs.size();
  t.start(1);
  LONGS_EQUAL(before, t.runs.size());
  t.suspects.on_crash({1}, t.clock.now);
  t.suspects.on_crash({1}, t.clock.now);
  CHECK(t.suspects.is_quarantined(1, t.clock.now));
  t.end(running.front(), exchange_end::answered);
  LONGS_EQUAL(before, t.runs.size());
}

// Runs whose connections stayed open after a crash kept the places of the
// instance that came back.
TEST(crashing_request, ends_the_runs_beside_it_once_its_target_is_replaced) {
  staged_target t;
  const std::uint64_t cause = t.start(1);
  const std::uint64_t beside = t.start(2);
  t.end(cause, exchange_end::lost);
  t.pass(seconds(2));
  t.announce("i2", 1);
  LONGS_EQUAL(1, t.cancelled.size());
  LONGS_EQUAL(beside, t.cancelled.front());
  t.announce("i2", 2);
  LONGS_EQUAL(1, t.cancelled.size());
}

// What an instance had run before it ended shrank the limit of the next one.
TEST(crashing_request, does_not_shrink_the_limit_of_the_next_instance) {
  staged_target t;
  t.slots = 0;
  t.announce("i2", 1);
  const std::uint64_t first = t.start(1);
  const std::uint64_t second = t.start(2);
  t.announce("i3", 1);
  const std::size_t limit = t.stage.limit();
  t.end(first, exchange_end::lost);
  t.end(second, exchange_end::lost);
  LONGS_EQUAL(limit, t.stage.limit());
}

// A target that did not come back for long was taken for one that had never
// crashed.
TEST(crashing_request, stays_a_suspect_while_its_target_is_down) {
  staged_target t;
  t.end(t.start(1), exchange_end::lost);
  t.pass(milliseconds(50));
  t.end(t.start(2), exchange_end::not_connected);
  t.pass(seconds(20));
  CHECK(t.suspects.is_suspect(1, t.clock.now));
  t.announce("i2", 1);
  CHECK(t.suspects.is_suspect(1, t.clock.now));
}

TEST(crashing_request, is_no_suspect_if_its_target_had_said_that_it_leaves) {
  staged_target t;
  const std::uint64_t running = t.start(1);
  t.stage.on_deregister("i1", 0);
  t.pass(seconds(2));
  t.announce("i2", 1);
  t.end(running, exchange_end::lost);
  CHECK_FALSE(t.suspects.is_suspect(1, t.clock.now));
}
