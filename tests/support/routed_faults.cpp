// The random program of faults, and its checks.
#include "routed_faults.hpp"

#include "routed_load.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(100);
constexpr duration limit_apply_time = seconds(3);
constexpr duration limit_window = seconds(4);
constexpr duration drain_time = seconds(2);
constexpr duration config_apply_time = seconds(2);
/// A node must follow the configuration if it ran, and the store was there,
/// for this long.
constexpr duration settle_time = seconds(3);
constexpr double requests_per_s = 150;

class routed_faults {
public:
  routed_faults(std::uint64_t seed, duration span)
      : m_fleet(seed), m_random(seed * 7919 + 1), m_end(span) {
    build_routed_fleet(m_fleet, 3);
    m_fleet.slots = 100;
    for (const std::string& it : m_nodes) {
      m_fleet.target(it).mutable_options().slots = 100;
      m_fleet.target(it).mutable_options().service_time =
          milliseconds(40 + pick(300));
      m_started_at[it] = m_fleet.time.now();
    }
    m_fleet.run_for(seconds(1));
    m_end += m_fleet.time.now();
    m_fleet.copy_store();
  }

  routed_faults_result run() {
    routed_load load(m_fleet, m_nodes, "/safe/x", requests_per_s,
                     m_end - m_fleet.time.now(), m_random());
    instant next_fault = m_fleet.time.now();
    while (m_fleet.time.now() < m_end) {
      if (m_fleet.time.now() >= next_fault) {
        start_fault();
        next_fault = m_fleet.time.now() + milliseconds(200 + pick(1500));
      }
      m_fleet.run_for(step);
      run_due();
      check_config();
    }
    for (const std::string& it : m_nodes) {
      end_limit(it);
      end_leaving(it);
    }
    m_result.requests = load.sent;
    m_result.ran = load.ran;
    m_fleet.run_for(seconds(5));
    return m_result;
  }

private:
  struct limit_episode {
    double per_s = 0;
    instant since{0};
  };

  std::uint64_t pick(std::uint64_t n) { return m_random() % n; }
  const std::string& pick_node() { return m_nodes[pick(m_nodes.size())]; }

  void later(duration delay, std::function<void()> work) {
    m_due.emplace(m_fleet.time.now() + delay, std::move(work));
  }
  void run_due() {
    while (!m_due.empty() && m_due.begin()->first <= m_fleet.time.now()) {
      const std::function<void()> work = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      work();
    }
  }

  void start_fault() {
    switch (pick(8)) {
    case 0:
    case 1:
      change_limit(pick_node());
      break;
    case 2:
      start_leaving(pick_node());
      break;
    case 3:
      restart(pick_node());
      break;
    case 4:
      partition();
      break;
    case 5:
      store_outage(pick(2) == 0);
      break;
    default:
      change_config();
      break;
    }
  }

  void change_limit(const std::string& node) {
    if (m_leaving.count(node) != 0) {
      return;
    }
    end_limit(node);
    if (pick(3) == 0) {
      m_fleet.target(node).answer_headers.clear();
      return;
    }
    const double per_s = 0.5 + static_cast<double>(pick(200)) / 10;
    m_fleet.target(node).answer_headers = {
        {rate_limit_field, std::to_string(per_s)}};
    m_limits[node] = {per_s, m_fleet.time.now()};
    ++m_result.limits_stated;
  }

  /// Checks the windows of a limit that ends now.
  void end_limit(const std::string& node) {
    const auto it = m_limits.find(node);
    if (it == m_limits.end()) {
      return;
    }
    const limit_episode e = it->second;
    m_limits.erase(it);
    const fake_target& t = m_fleet.target(node);
    const auto first_answer =
        std::lower_bound(t.answered_at.begin(), t.answered_at.end(), e.since);
    if (first_answer == t.answered_at.end()) {
      return;
    }
    const double allowed =
        e.per_s * 1.5 * static_cast<double>(limit_window / seconds(1)) + 5;
    const std::vector<instant>& starts = t.started_at;
    std::size_t first = static_cast<std::size_t>(
        std::lower_bound(starts.begin(), starts.end(),
                         *first_answer + limit_apply_time) -
        starts.begin());
    std::size_t end = first;
    for (; first < starts.size(); ++first) {
      while (end < starts.size() &&
             starts[end] < starts[first] + limit_window) {
        ++end;
      }
      if (static_cast<double>(end - first) > allowed) {
        ++m_result.limits_exceeded;
        return;
      }
    }
  }

  void start_leaving(const std::string& node) {
    if (m_leaving.size() >= 2 || m_leaving.count(node) != 0) {
      return;
    }
    end_limit(node);
    m_fleet.target(node).answer_headers = {{leaving_field, "1"}};
    m_leaving[node] = m_fleet.time.now();
    later(seconds(6), [this, node] {
      end_leaving(node);
      // The next instance, which states nothing.
      m_fleet.target(node).answer_headers.clear();
      m_fleet.target(node).crash();
      m_fleet.target(node).restart();
    });
  }

  void end_leaving(const std::string& node) {
    const auto it = m_leaving.find(node);
    if (it == m_leaving.end()) {
      return;
    }
    const instant since = it->second;
    m_leaving.erase(it);
    const fake_target& t = m_fleet.target(node);
    const auto told =
        std::lower_bound(t.answered_at.begin(), t.answered_at.end(), since);
    // A node that restarted, and so did others, may have been told by nobody.
    if (told == t.answered_at.end() || m_started_at[node] > since) {
      return;
    }
    m_result.requests_after_leaving += static_cast<std::size_t>(
        t.started_at.end() - std::lower_bound(t.started_at.begin(),
                                              t.started_at.end(),
                                              *told + drain_time));
  }

  void restart(const std::string& node) {
    if (m_down.count(node) != 0) {
      return;
    }
    m_down.insert(node);
    ++m_result.restarts;
    m_fleet.kill(node);
    later(milliseconds(100 + pick(1500)), [this, node] {
      m_fleet.restart_node(node);
      m_down.erase(node);
      m_started_at[node] = m_fleet.time.now();
      m_revisions.erase(node);
    });
  }

  void partition() {
    for (const char* a : {"a1", "a2", "a3"}) {
      for (const char* b : {"b1", "b2", "b3"}) {
        m_fleet.block_link(a, b);
      }
    }
    later(seconds(1 + pick(5)), [this] { m_fleet.heal(); });
  }

  void store_outage(bool with_restore) {
    if (m_fleet.store_down) {
      return;
    }
    m_fleet.store_down = true;
    later(milliseconds(200 + pick(3000)), [this, with_restore] {
      m_fleet.store_down = false;
      m_store_calm_since = m_fleet.time.now();
      if (!with_restore) {
        return;
      }
      ++m_result.restores;
      m_fleet.restore_store();
      later(milliseconds(pick(1500)), [this] {
        m_fleet.write_again("routes");
        m_store_calm_since = m_fleet.time.now();
        m_fleet.copy_store();
      });
    });
  }

  void change_config() {
    // What is written while the store is away is not acknowledged.
    if (m_fleet.store_down) {
      return;
    }
    m_fleet.write_routes(simple_routes());
    ++m_newest_revision;
    m_written_at = m_fleet.time.now();
    if (pick(4) == 0) {
      m_fleet.copy_store();
    }
  }

  void check_config() {
    const instant now = m_fleet.time.now();
    for (const std::string& it : m_nodes) {
      if (m_down.count(it) != 0) {
        continue;
      }
      const route_table* routes = m_fleet.at(it).state().routes();
      const std::uint64_t revision = routes == nullptr ? 0 : routes->revision();
      std::uint64_t& highest = m_revisions[it];
      m_result.config_reverted += revision < highest ? 1 : 0;
      highest = std::max(highest, revision);
      const bool must_follow = !m_fleet.store_down &&
                               now - m_store_calm_since >= settle_time &&
                               now - m_started_at[it] >= settle_time &&
                               now - m_written_at > config_apply_time;
      m_result.config_late +=
          must_follow && revision < m_newest_revision ? 1 : 0;
    }
  }

  routed_fleet m_fleet;
  std::mt19937_64 m_random;
  instant m_end;
  routed_faults_result m_result;
  std::vector<std::string> m_nodes{"a1", "a2", "a3", "b1", "b2", "b3"};
  std::multimap<instant, std::function<void()>> m_due;
  std::map<std::string, limit_episode> m_limits;
  std::map<std::string, instant> m_leaving;
  std::set<std::string> m_down;
  std::map<std::string, instant> m_started_at;
  std::map<std::string, std::uint64_t> m_revisions; ///< highest, by node
  std::uint64_t m_newest_revision = 1;
  instant m_written_at{0};
  instant m_store_calm_since{0};
};

} // namespace

routed_faults_result run_routed_faults(std::uint64_t seed, duration span) {
  return routed_faults(seed, span).run();
}

} // namespace kingcupslip
