// Plays requests that crash targets among the requests of others, and counts
// what reaches targets and what the others get.
#include "support/routed_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Once a request has crashed three targets, it may reach this many more later
/// than `touch_time` after the third.
constexpr std::size_t max_late_runs = 3;
constexpr duration touch_time = seconds(3);
constexpr duration target_down_time = milliseconds(1200);
constexpr duration play_time = seconds(34);
/// From here on the others have to be served: what crashes targets is known.
constexpr duration settled_after = seconds(15);
constexpr duration request_interval = milliseconds(10);
constexpr duration round_interval = milliseconds(5500);
const std::string same_path = "/safe/same";

/// What is played.
struct scenario {
  crash_break breaks = crash_break::all_at_once;
  std::size_t kinds = 1;   ///< different requests that crash targets
  std::size_t copies = 10; ///< of each, sent at the same time
  bool kill_all_after_third = false;
  /// The node beside a target ends this long after it saw the crash.
  std::optional<duration> kill_node_beside;
  duration store_away{0}; ///< from the first crash on
  /// Targets crash one after the other for reasons of their own instead.
  bool without_cause = false;
};

/// Requests of one sort that crash nothing, sent once the fleet has settled.
struct served_part {
  std::size_t sent = 0;
  std::size_t served = 0;
  double part() const {
    return sent == 0 ? 1
                     : static_cast<double>(served) / static_cast<double>(sent);
  }
};

class crash_play {
public:
  crash_play(std::uint64_t seed, const scenario& s)
      : m_fleet(seed), m_scenario(s) {
    m_fleet.slots = 10;
    m_fleet.write_routes(simple_routes());
    fake_target::options o;
    o.service_time = milliseconds(200);
    o.breaks = s.breaks;
    for (const std::string dc : {"a", "b", "c", "d"}) {
      m_fleet.add(dc + "1", "dc-" + dc, "svc", o);
      m_targets.push_back(dc + "1");
    }
    m_fleet.add("a2", "dc-a", "other");
    m_fleet.add("b2", "dc-b", "other");
    m_nodes = m_targets;
    m_nodes.insert(m_nodes.end(), {"a2", "b2"});
    pass(seconds(3));
    m_started_at = m_fleet.time.now();
    send_others();
    pass(seconds(3));
    send_round();
    pass(play_time - seconds(3));
    m_sending = false;
    pass(seconds(3));
  }

  /// Of the crashing request that reached most targets: how often it did so
  /// later than `touch_time` after it had crashed three.
  std::size_t late_runs() const {
    std::map<std::string, std::vector<instant>> runs;
    for (const std::string& it : m_targets) {
      for (const std::pair<instant, std::string>& run :
           m_fleet.target(it).crashing_runs) {
        runs[run.second].push_back(run.first);
      }
    }
    std::size_t out = 0;
    for (std::pair<const std::string, std::vector<instant>>& it : runs) {
      std::sort(it.second.begin(), it.second.end());
      const std::vector<instant>& crashes = m_crashes_by_cause.at(it.first);
      if (crashes.size() < 3) {
        continue;
      }
      const instant from = crashes[2] + touch_time;
      out = std::max(
          out, static_cast<std::size_t>(
                   it.second.end() -
                   std::upper_bound(it.second.begin(), it.second.end(), from)));
    }
    return out;
  }

  std::size_t crashes() const { return m_crashes; }
  const served_part& same() const { return m_same; }
  const served_part& own() const { return m_own; }
  /// Requests that crashed nothing and were refused as if they had.
  std::size_t wrongly_refused() const { return m_wrongly_refused; }

private:
  /// What was last seen of a target.
  struct target_state {
    std::uint64_t generation = 1;
    instant back_at{0};
  };

  void pass(duration d) {
    for (const instant end = m_fleet.time.now() + d;
         m_fleet.time.now() < end;) {
      m_fleet.run_for(milliseconds(1));
      for (const std::string& it : m_targets) {
        watch(it);
      }
    }
  }

  void watch(const std::string& name) {
    fake_target& t = m_fleet.target(name);
    target_state& s = m_states[name];
    if (t.generation() != s.generation) {
      s.generation = t.generation();
      s.back_at = m_fleet.time.now() + target_down_time;
      on_crash(name);
    }
    if (t.down() && s.back_at <= m_fleet.time.now()) {
      t.restart();
    }
  }

  void on_crash(const std::string& name) {
    ++m_crashes;
    const std::vector<std::pair<instant, std::string>>& runs =
        m_fleet.target(name).crashing_runs;
    // A crashing request ends its target within a step.
    std::set<std::string> causes;
    for (const std::pair<instant, std::string>& it : runs) {
      if (it.first >= m_fleet.time.now() - milliseconds(3)) {
        causes.insert(it.second);
      }
    }
    for (const std::string& it : causes) {
      m_crashes_by_cause[it].push_back(m_fleet.time.now());
    }
    if (m_crashes == 1 && m_scenario.store_away > duration(0)) {
      m_fleet.store_down = true;
      m_fleet.time.run_after(m_scenario.store_away,
                             [this] { m_fleet.store_down = false; });
    }
    if (m_crashes == 3 && m_scenario.kill_all_after_third) {
      m_fleet.time.run_after(milliseconds(200), [this] {
        for (const std::string& it : m_nodes) {
          kill(it);
        }
      });
    }
    if (m_scenario.kill_node_beside) {
      m_fleet.time.run_after(*m_scenario.kill_node_beside,
                             [this, name] { kill(name); });
    }
  }

  void kill(const std::string& node) {
    if (!m_down_nodes.insert(node).second) {
      return;
    }
    m_fleet.kill(node);
    m_fleet.time.run_after(milliseconds(500), [this, node] {
      m_down_nodes.erase(node);
      m_fleet.restart_node(node);
    });
  }

  void send_round() {
    if (!m_sending) {
      return;
    }
    if (m_scenario.without_cause) {
      m_fleet.target(m_targets[m_rounds % m_targets.size()]).crash();
    } else {
      for (std::size_t copy = 0; copy < m_scenario.copies; ++copy) {
        for (std::size_t kind = 0; kind < m_scenario.kinds; ++kind) {
          m_fleet.request(
              m_nodes[m_fleet.random() % m_nodes.size()], "/safe/crash", "k",
              [](const outcome&) {}, seconds(5),
              m_fleet.target("a1").crash_marker + std::to_string(kind));
        }
      }
    }
    ++m_rounds;
    m_fleet.time.run_after(round_interval, [this] { send_round(); });
  }

  void send_others() {
    if (!m_sending) {
      return;
    }
    ++m_sent;
    const bool same = m_sent % 2 == 0;
    const std::string path =
        same ? same_path : "/safe/" + std::to_string(m_sent);
    served_part& part = same ? m_same : m_own;
    const bool counts = m_fleet.time.now() >= m_started_at + settled_after &&
                        m_fleet.time.now() <= m_started_at + play_time;
    const std::string& node = m_nodes[m_fleet.random() % m_nodes.size()];
    // Sent where nobody listens, a request is none.
    if (m_down_nodes.count(node) == 0) {
      part.sent += counts ? 1 : 0;
      m_fleet.request(
          node, path, "k",
          [this, &part, counts](const outcome& o) {
            part.served += counts && o.refusal_reason == reason::none ? 1 : 0;
            m_wrongly_refused +=
                o.refusal_reason == reason::quarantined ? 1 : 0;
          },
          seconds(5));
    }
    m_fleet.time.run_after(request_interval, [this] { send_others(); });
  }

  // Mutable: the fleet gives its targets to its owner only.
  mutable routed_fleet m_fleet;
  scenario m_scenario;
  std::vector<std::string> m_targets;
  std::vector<std::string> m_nodes;
  std::set<std::string> m_down_nodes;
  std::map<std::string, target_state> m_states;
  std::map<std::string, std::vector<instant>> m_crashes_by_cause;
  instant m_started_at{0};
  bool m_sending = true;
  std::size_t m_rounds = 0;
  std::size_t m_sent = 0;
  std::size_t m_crashes = 0;
  std::size_t m_wrongly_refused = 0;
  served_part m_same;
  served_part m_own;
};

/// Plays the scenario with several seeds and prints what is over a bound.
void check(const scenario& s) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const crash_play p(seed, s);
    const std::string seen =
        "seed " + std::to_string(seed) + ": " + std::to_string(p.crashes()) +
        " crashes, " + std::to_string(p.late_runs()) + " late runs, " +
        std::to_string(p.same().part()) + " and " +
        std::to_string(p.own().part()) + " of the others served, " +
        std::to_string(p.wrongly_refused()) + " wrongly refused";
    CHECK_TRUE_TEXT(p.late_runs() <= max_late_runs, seen.c_str());
    CHECK_EQUAL_TEXT(0, p.wrongly_refused(), seen.c_str());
    CHECK_TRUE_TEXT(p.same().part() >= 0.95, seen.c_str());
    CHECK_TRUE_TEXT(p.own().part() >= 0.95, seen.c_str());
  }
}

} // namespace

// clang-format off
TEST_GROUP(crashes_under_load){
};
// clang-format on

TEST(crashes_under_load, are_bounded_if_all_connections_break_at_once) {
  check({});
}

// Guards against BUDGET of issue 37: only the connection of the cause broke at
// once, so that its crash was taken for a lost connection and the cause was
// recorded nowhere.
TEST(crashes_under_load, are_bounded_if_only_the_cause_loses_its_connection) {
  scenario s;
  s.breaks = crash_break::cause_only;
  check(s);
}

TEST(crashes_under_load, are_bounded_if_connections_break_one_after_another) {
  scenario s;
  s.breaks = crash_break::cause_then_others;
  check(s);
}

TEST(crashes_under_load, are_bounded_if_no_connection_breaks) {
  scenario s;
  s.breaks = crash_break::none;
  check(s);
}

// With a second request that crashes targets, the cause of a crash was left out
// of its record, and others stood there in its place.
TEST(crashes_under_load, are_bounded_for_several_such_requests) {
  for (const crash_break breaks :
       {crash_break::all_at_once, crash_break::cause_only}) {
    scenario s;
    s.breaks = breaks;
    s.kinds = 3;
    s.copies = 2;
    check(s);
  }
}

TEST(crashes_under_load, are_bounded_if_all_nodes_end_after_the_third) {
  scenario s;
  s.kill_all_after_third = true;
  check(s);
}

TEST(crashes_under_load, are_bounded_if_the_node_beside_the_target_ends) {
  for (const duration after : {milliseconds(5), milliseconds(300)}) {
    scenario s;
    s.kill_node_beside = after;
    s.copies = 2;
    check(s);
  }
}

TEST(crashes_under_load, are_bounded_while_the_store_is_away) {
  scenario s;
  s.store_away = seconds(10);
  s.kinds = 2;
  s.copies = 3;
  check(s);
}

// Review, case 3: requests that had run when targets crashed for reasons of
// their own were refused for ten minutes.
TEST(crashes_under_load, without_a_cause_condemn_no_request) {
  scenario s;
  s.without_cause = true;
  check(s);
}
