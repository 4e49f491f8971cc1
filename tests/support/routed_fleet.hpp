// Runs routed nodes of the production core in one process, on virtual time.
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

/// Fields in the answers of fake targets with what a target states about
/// itself.
constexpr const char* rate_limit_field = "Rate-Limit";
constexpr const char* leaving_field = "Leaving";

/// Simulates routed nodes with their targets, the network between the nodes
/// and the store.
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

  /// Ends the process at once; `restart_node` starts it again without state.
  void kill(const std::string& name);
  void restart_node(const std::string& name);

  /// Drops all frames between the two nodes, both ways, until `heal`.
  void block_link(const std::string& a, const std::string& b);
  void heal() { m_blocked_links.clear(); }

  /// Write to the store as operators do.
  void write_routes(route_table::content c);
  void mark_out(const std::string& data_centre, bool out);
  /// Orders a roll-out, or withdraws the order.
  void order_rollout(const std::string& service, const std::string& version,
                     std::chrono::milliseconds time_limit);
  void withdraw_rollout(const std::string& service);
  /// Copies the store; `restore_store` brings the copy back, on a new timeline.
  void copy_store();
  void restore_store();
  /// Writes the last value of an item again, as operators do after a restore:
  /// "routes", or "out/" and the name of a data centre.
  void write_again(const std::string& item);
  /// Drops the store's history, so that watches must read everything again.
  void compact();

  /// Sends a caller's request. The node calls the handler once, unless it is
  /// down or killed first.
  void
  request(const std::string& entry_node, const std::string& path,
          const std::string& key, outcome_handler handler,
          std::chrono::milliseconds time_left = std::chrono::milliseconds(1000),
          const std::string& body = "", std::uint64_t connection = 0);
  /// Sends a request and runs virtual time until its outcome arrives, for at
  /// most 10 s; without one the result is connection_lost, may-have-run.
  outcome request_and_wait(
      const std::string& entry_node, const std::string& path,
      const std::string& key,
      std::chrono::milliseconds time_left = std::chrono::milliseconds(1000),
      const std::string& body = "");

  scheduler time;
  std::mt19937_64 random;
  table_store row_store;
  bool store_down = false;
  std::set<std::string> cut_off_nodes; ///< nodes that cannot reach the store
  std::size_t lost_commits = 0;        ///< next commits whose answers are lost
  std::uint64_t timeline = 1;          ///< of the store
  std::uint64_t store_calls = 0;       ///< by all nodes
  std::uint64_t bytes_sent = 0;        ///< in frames between nodes
  bool announcing = true;              ///< whether targets announce themselves
  duration cold_time_left{0};          ///< the cold start that targets announce
  std::size_t slots = 10; ///< what targets announce; 0: their own slots
  /// Versions that targets announce, by node.
  std::map<std::string, std::string> versions;
  double rollout_share = 0; ///< of nodes that start from now on
  locality::options locality_options;
  /// What operators read of each service's roll-out.
  std::map<std::string, rollout_status> rollout_statuses;
  std::vector<std::string> events; ///< node and name of each event

private:
  /// A node with its target. `running_node` is null while the node is down.
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
  /// The last values that were written, whatever the store still has.
  std::map<std::string, desired_state_item> m_written_items;
  struct store_copy {
    std::map<std::string, desired_state_item> items;
    std::uint64_t version = 0;
    table_store rows;
  };
  store_copy m_store_copy;
  std::uint64_t m_last_revision = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_oldest_history_version = 0;
};

/// Routes of host "h" to service `svc`: "/safe/" is idempotent, "/once/" is
/// not, "/inner/" is idempotent and needs no key. Team "t" has the key "k" and
/// the given rate per second and burst.
route_table::content simple_routes(double rate = 0, double burst = 0);

/// Adds nodes a1.. of dc-a and b1.. of dc-b with targets of `svc`, and runs
/// 3 s for them to settle.
void build_routed_fleet(routed_fleet& f, std::size_t nodes_per_data_centre,
                        route_table::content routes = simple_routes());

} // namespace kingcupslip

#endif
