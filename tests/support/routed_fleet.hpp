// Routed nodes of the real core in one process, on virtual time.
#ifndef KINGCUPSLIP_TESTS_ROUTED_FLEET_HPP
#define KINGCUPSLIP_TESTS_ROUTED_FLEET_HPP

#include "fake_target.hpp"
#include "scheduler.hpp"
#include "standins/table_store.hpp"

#include "kingcupslip/core/routed_node.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

class routed_fleet {
public:
  explicit routed_fleet(std::uint64_t seed);

  routed_node&
  add(const std::string& name, const std::string& data_centre,
      const std::string& service,
      fake_target::options target_options = fake_target::options{});

  void run_for(duration d) { time.run_for(d); }
  routed_node& at(const std::string& name) {
    return *m_nodes.at(name)->running_node;
  }
  fake_target& target(const std::string& name) {
    return *m_nodes.at(name)->target;
  }

  void kill(const std::string& name);
  void restart_node(const std::string& name);

  /// Frames between the two vanish, until `heal`.
  void block_link(const std::string& a, const std::string& b);
  void heal() { m_blocked_links.clear(); }

  /// What operators write to the store.
  void write_routes(route_table::content c);
  void mark_out(const std::string& data_centre, bool out);
  /// The store drops its history: watches must read everything again.
  void compact();

  /// A caller's request; the handler runs exactly once.
  void
  request(const std::string& entry_node, const std::string& path,
          const std::string& key, outcome_handler handler,
          std::chrono::milliseconds time_left = std::chrono::milliseconds(1000),
          const std::string& body = "", std::uint64_t connection = 0);
  /// The same, and waits for the outcome.
  outcome request_and_wait(
      const std::string& entry_node, const std::string& path,
      const std::string& key,
      std::chrono::milliseconds time_left = std::chrono::milliseconds(1000),
      const std::string& body = "");

  scheduler time;
  std::mt19937_64 random;
  table_store row_store;
  bool store_down = false;
  std::set<std::string> cut_off_nodes; ///< nodes that do not reach the store
  std::uint64_t store_calls = 0;
  std::uint64_t bytes_sent = 0; ///< between nodes
  bool announcing = true;
  duration cold_time_left{0}; ///< as targets announce it
  std::size_t slots = 10;     ///< as targets announce them
  std::vector<std::string> events;

private:
  struct node_process {
    std::string name;
    std::string data_centre;
    std::string service;
    std::unique_ptr<routed_node> running_node;
    std::unique_ptr<fake_target> target;
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
  };

  void start(node_process& m);
  void tick(const std::string& name, std::uint64_t generation);
  void announce(const std::string& name, std::uint64_t generation);
  void run_in_node(const std::string& name, std::uint64_t generation,
                   const std::function<void()>& work);
  void deliver(const std::string& from, const std::string& to,
               const wire::payloadUnion& body);
  void poll_watch(const std::string& name, std::uint64_t generation,
                  std::uint64_t after, const watch_handler& handler,
                  instant until);
  routed_hooks hooks_for(node_process& m);
  clock_reading clocks() const;
  bool can_reach_store(const std::string& name) const {
    return !store_down && cut_off_nodes.count(name) == 0;
  }

  std::map<std::string, std::unique_ptr<node_process>> m_nodes;
  std::set<std::pair<std::string, std::string>> m_blocked_links;
  std::map<std::string, std::shared_ptr<const route_table>> m_documents;
  std::map<std::string, desired_state_item> m_items;
  std::uint64_t m_version = 0;
  std::uint64_t m_oldest_history_version = 0;
};

/// Host "h": "/safe/" is idempotent and goes to `svc`, "/once/" is not;
/// "/inner/" needs no key. Team "t" has the key "k" and the rate given.
route_table::content simple_routes(double rate = 0, double burst = 0);

/// Nodes a1.. of dc-a and b1.. of dc-b beside targets of `svc`, settled.
void build_routed_fleet(routed_fleet& f, std::size_t nodes_per_data_centre,
                        route_table::content routes = simple_routes());

} // namespace kingcupslip

#endif
