// Tests roll-outs over a fleet: good and bad versions, and what fails
// meanwhile.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double share = 0.1;
constexpr std::size_t slack = 50;
constexpr double load_per_s = 300;
constexpr milliseconds time_limit{20'000};
constexpr std::size_t slots = 20;

/// How the targets of the new version answer; null: well.
using answering = std::function<std::uint16_t(const fake_target& target,
                                              const target_request& r,
                                              std::mt19937_64& random)>;

/// Six targets of the current version and six of the new one in two data
/// centres, a quarter busy.
class rollout_fleet {
public:
  explicit rollout_fleet(std::uint64_t seed = 1) : fleet(seed) {
    fleet.rollout_share = share;
    fleet.slots = slots;
    fleet.write_routes(simple_routes());
    for (const std::string& dc : {"a", "b"}) {
      for (int i = 1; i <= 3; ++i) {
        add(dc + std::to_string(i), dc, "v1");
        entries.push_back(dc + std::to_string(i));
      }
    }
    fleet.run_for(seconds(6));
  }

  /// Starts the targets of the new version and orders the roll-out.
  void order(answering a = nullptr, milliseconds limit = time_limit) {
    load = std::make_unique<routed_load>(fleet, entries, "/safe/x", load_per_s,
                                         2 * time_limit, 7);
    fleet.run_for(seconds(1));
    fleet.order_rollout("svc", "v2", limit);
    requests_before = load->sent;
    for (const std::string& dc : {"a", "b"}) {
      for (int i = 1; i <= 3; ++i) {
        const std::string name = "n" + dc + std::to_string(i);
        add(name, dc, "v2");
        new_nodes.push_back(name);
        answer_with(name, a);
      }
    }
  }

  void answer_with(const std::string& name, const answering& a) {
    if (!a) {
      return;
    }
    fake_target& t = fleet.target(name);
    t.request_handler = [this, a,
                         &t](const target_request& r,
                             const std::function<void(std::uint16_t)>& done) {
      done(a(t, r, fleet.random));
    };
  }

  std::string state() {
    const auto it = fleet.rollout_statuses.find("svc");
    return it == fleet.rollout_statuses.end()
               ? ""
               : std::string(name_of(it->second.phase));
  }
  std::size_t new_runs() { return target_runs(fleet, new_nodes); }
  std::size_t requests() const { return load->sent - requests_before; }
  /// When the last run of the new version started.
  instant last_new_run() {
    instant out{0};
    for (const std::string& it : new_nodes) {
      for (const instant at : fleet.target(it).started_at) {
        out = std::max(out, at);
      }
    }
    return out;
  }
  void check_exposure() {
    CHECK(static_cast<double>(new_runs()) <=
          share * static_cast<double>(requests()) + slack);
  }
  /// Plays to the time limit. The version is rolled back, and got no more than
  /// its share.
  void check_rolled_back(const answering& a) {
    order(a);
    fleet.run_for(time_limit);
    STRCMP_EQUAL("rolled_back", state().c_str());
    CHECK(new_runs() > 0);
    check_exposure();
    const std::size_t runs = new_runs();
    fleet.run_for(seconds(5));
    LONGS_EQUAL(runs, new_runs());
    CHECK(load->ran * 100 >= load->sent * 97);
  }

  routed_fleet fleet;
  std::vector<std::string> entries;
  std::vector<std::string> new_nodes;
  std::unique_ptr<routed_load> load;
  std::size_t requests_before = 0;

private:
  void add(const std::string& name, const std::string& data_centre,
           const std::string& version) {
    fake_target::options o;
    o.slots = slots;
    o.service_time = milliseconds(80);
    fleet.versions[name] = version;
    fleet.add(name, "dc-" + data_centre, "svc", o);
  }
};

answering fails(double part) {
  return [part](const fake_target&, const target_request&,
                std::mt19937_64& random) -> std::uint16_t {
    return static_cast<double>(random() % 1000) < part * 1000 ? 500 : 200;
  };
}

} // namespace

// clang-format off
TEST_GROUP(rollout){
};
// clang-format on

TEST(rollout, a_good_version_is_completed_in_time) {
  rollout_fleet f;
  f.order();
  f.fleet.run_for(seconds(2));
  STRCMP_EQUAL("testing", f.state().c_str());
  f.fleet.run_for(time_limit - seconds(2));
  STRCMP_EQUAL("completed", f.state().c_str());
  CHECK(f.load->ran * 100 >= f.load->sent * 99);
}

// The old targets stop at the moment of the status: a request that was on its
// way to one was lost.
TEST(rollout, nothing_is_at_the_old_targets_when_it_is_completed) {
  rollout_fleet f;
  f.order();
  while (f.state() != "completed" && f.fleet.time.now() < seconds(7300)) {
    f.fleet.run_for(milliseconds(1));
  }
  STRCMP_EQUAL("completed", f.state().c_str());
  for (const std::string& it : f.entries) {
    LONGS_EQUAL(0, f.fleet.target(it).load());
    f.fleet.target(it).crash();
  }
  const std::size_t uncertain = f.load->uncertain;
  f.fleet.run_for(seconds(5));
  LONGS_EQUAL(uncertain, f.load->uncertain);
  CHECK(f.load->ran * 100 >= f.load->sent * 99);
}

TEST(rollout, a_version_that_fails_a_fifth_is_rolled_back) {
  rollout_fleet f;
  f.check_rolled_back(fails(0.2));
}

TEST(rollout, a_version_that_is_five_times_slower_is_rolled_back) {
  rollout_fleet f;
  f.order();
  for (const std::string& it : f.new_nodes) {
    f.fleet.target(it).mutable_options().service_time = milliseconds(400);
  }
  f.fleet.run_for(time_limit);
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  f.check_exposure();
}

// Guards against a fault that shows later, when many good answers were seen.
TEST(rollout, a_version_that_becomes_bad_later_is_rolled_back) {
  rollout_fleet f;
  f.check_rolled_back([&f, from = f.fleet.time.now() + seconds(9)](
                          const fake_target&, const target_request&,
                          std::mt19937_64& random) -> std::uint16_t {
    return f.fleet.time.now() > from && random() % 3 == 0 ? 500 : 200;
  });
}

// Guards against a test that spreads its few requests over so many targets that
// none has load. Four runs at a time are what a current target has.
TEST(rollout, a_version_that_is_bad_under_load_only_is_rolled_back) {
  rollout_fleet f;
  f.check_rolled_back([](const fake_target& t, const target_request&,
                         std::mt19937_64&) -> std::uint16_t {
    return t.load() >= 4 ? 500 : 200;
  });
}

// Guards against a rare route that is lost among all others.
TEST(rollout, a_version_that_is_bad_on_one_route_is_rolled_back) {
  rollout_fleet f;
  f.order([](const fake_target&, const target_request& r,
             std::mt19937_64&) -> std::uint16_t {
    return r.path.find("/inner/") == 0 ? 500 : 200;
  });
  routed_load rare(f.fleet, f.entries, "/inner/x", load_per_s / 10, time_limit,
                   8);
  f.fleet.run_for(time_limit);
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  f.check_exposure();
}

// Guards against a rollback for what both versions see.
TEST(rollout, a_fault_of_both_versions_is_not_blamed_on_the_new_one) {
  rollout_fleet f;
  f.order(fails(0.3));
  for (const std::string& it : f.entries) {
    f.answer_with(it, fails(0.3));
  }
  f.fleet.run_for(time_limit);
  STRCMP_EQUAL("completed", f.state().c_str());
}

// Guards against a new version that goes on getting requests while nothing can
// be written.
TEST(rollout, a_rollback_takes_effect_while_the_store_is_away) {
  rollout_fleet f;
  f.order();
  f.fleet.run_for(seconds(6));
  f.fleet.store_down = true;
  const instant turned_bad = f.fleet.time.now();
  for (const std::string& it : f.new_nodes) {
    f.answer_with(it, fails(0.5));
  }
  f.fleet.run_for(seconds(8));
  CHECK(f.last_new_run() - turned_bad <= seconds(5));
  f.fleet.store_down = false;
  f.fleet.run_for(seconds(5));
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  f.check_exposure();
}

// Guards against a roll-out that ends with the node that decides it.
TEST(rollout, another_node_goes_on_if_the_deciding_one_ends) {
  rollout_fleet f;
  f.order();
  f.fleet.run_for(seconds(5));
  const std::string decider =
      f.fleet.at("a1").members().preferred("rollout/svc");
  f.fleet.kill(decider);
  f.fleet.target(decider).crash();
  for (const std::string& it : f.new_nodes) {
    f.answer_with(it, fails(0.3));
  }
  f.fleet.run_for(time_limit);
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  f.check_exposure();
}

// Restarted nodes know nothing of the roll-out but its order and its row.
TEST(rollout, a_rollback_survives_the_end_of_all_nodes) {
  rollout_fleet f;
  f.order(fails(0.5));
  f.fleet.run_for(seconds(10));
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  const std::size_t runs = f.new_runs();
  std::vector<std::string> all = f.entries;
  all.insert(all.end(), f.new_nodes.begin(), f.new_nodes.end());
  for (const std::string& it : all) {
    f.fleet.kill(it);
  }
  for (const std::string& it : all) {
    f.fleet.restart_node(it);
  }
  f.fleet.run_for(seconds(10));
  LONGS_EQUAL(runs, f.new_runs());
  STRCMP_EQUAL("rolled_back", f.state().c_str());
}

TEST(rollout, a_withdrawn_order_is_rolled_back) {
  rollout_fleet f;
  f.order();
  f.fleet.run_for(seconds(5));
  f.fleet.withdraw_rollout("svc");
  f.fleet.run_for(seconds(3));
  STRCMP_EQUAL("rolled_back", f.state().c_str());
}

// Orders that cannot be carried out change nothing, and say so.
TEST(rollout, an_order_without_time_or_targets_is_rolled_back) {
  rollout_fleet f;
  f.order(nullptr, milliseconds(0));
  f.fleet.run_for(seconds(5));
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  LONGS_EQUAL(0, f.new_runs());
  f.fleet.order_rollout("svc", "v3", seconds(6));
  f.fleet.run_for(seconds(7));
  STRCMP_EQUAL("rolled_back", f.state().c_str());
  LONGS_EQUAL(0, f.new_runs());
  CHECK(f.load->ran * 100 >= f.load->sent * 99);
}

// Guards against rows that cannot be read, which name no version.
TEST(rollout, an_unreadable_order_changes_nothing) {
  rollout_fleet f;
  f.fleet.order_rollout("svc", "", seconds(10));
  f.order(nullptr, seconds(0));
  f.fleet.withdraw_rollout("svc");
  f.fleet.order_rollout("svc", "", seconds(10));
  f.fleet.run_for(seconds(5));
  CHECK(std::count(f.fleet.events.begin(), f.fleet.events.end(),
                   "a1 rollout_unreadable") >= 1);
}

// Without the setting nothing is different.
TEST(rollout, orders_are_ignored_unless_the_settings_allow_them) {
  routed_fleet fleet(1);
  fleet.versions["a1"] = "v1";
  fleet.versions["b1"] = "v2";
  build_routed_fleet(fleet, 1);
  fleet.order_rollout("svc", "v2", seconds(10));
  routed_load load(fleet, {"a1", "b1"}, "/safe/x", 50, seconds(3));
  fleet.run_for(seconds(4));
  LONGS_EQUAL(0, fleet.rollout_statuses.size());
  CHECK(target_runs(fleet, {"a1"}) > 0);
  CHECK(target_runs(fleet, {"b1"}) > 0);
}
