// Runs nodes of the production core in one process, on virtual time.
#ifndef KINGCUPSLIP_TESTS_VIRTUAL_FLEET_HPP
#define KINGCUPSLIP_TESTS_VIRTUAL_FLEET_HPP

#include "fake_target.hpp"
#include "scheduler.hpp"
#include "standins/table_store.hpp"

#include "kingcupslip/core/node.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// Faults that the simulated table injects.
struct table_faults {
  bool down = false;
  /// Commits that take effect, but whose result is reported as unknown.
  int answers_to_lose = 0;
  duration delay = std::chrono::milliseconds(2);
  std::set<std::string> cut_off_nodes; ///< nodes that cannot reach it
};

/// Simulates nodes with their targets, the network between the nodes and the
/// table.
class virtual_fleet {
public:
  explicit virtual_fleet(std::uint64_t seed);
  ~virtual_fleet();

  node& add(const std::string& name, const std::string& data_centre,
            const std::string& service,
            fake_target::options target_options = fake_target::options{},
            dispatcher::options dispatch = dispatcher::options{});

  void run_for(duration d) { time.run_for(d); }

  node& at(const std::string& name) { return *m_nodes.at(name)->running_node; }
  fake_target& target(const std::string& name) {
    return *m_nodes.at(name)->target;
  }

  /// Ends the process at once; `restart_node` starts it again without state.
  void kill(const std::string& name);
  void restart_node(const std::string& name);
  /// A paused node handles nothing; `resume` runs all that arrived meanwhile.
  void pause(const std::string& name) { m_nodes.at(name)->paused = true; }
  void resume(const std::string& name);

  /// Drops all frames from one node to another until `heal`.
  void block_link(const std::string& from, const std::string& to) {
    m_blocked_links.insert({from, to});
  }
  void partition_data_centres(const std::string& a, const std::string& b);
  void heal() { m_blocked_links.clear(); }

  /// Writes configuration as an operator would, and waits up to 1 s for the
  /// result.
  write_result write(const std::string& entry_node, const std::string& key,
                     const std::string& value);
  void apply_contract(const std::string& entry_node, const contract& c);
  void issue_key(const std::string& entry_node, const std::string& id,
                 const std::string& team, const std::string& secret,
                 bool withdrawn = false);

  /// Sends a caller's request. The node calls the handler once, unless it is
  /// down or killed first. A timeout of zero sends no timeout header.
  void
  request(const std::string& entry_node, const std::string& target_path,
          const std::string& secret, const std::string& idempotency_key,
          const std::string& body, outcome_handler handler,
          std::chrono::milliseconds timeout = std::chrono::milliseconds(0));

  /// Sends a request and runs virtual time until its outcome arrives, for at
  /// most 10 s; without one the result is connection_lost, may-have-run.
  outcome request_and_wait(
      const std::string& entry_node, const std::string& target_path,
      const std::string& secret, const std::string& idempotency_key = "",
      const std::string& body = "",
      std::chrono::milliseconds timeout = std::chrono::milliseconds(0));

  int run_count(const std::string& idempotency_key) const;
  std::uint64_t total_runs() const;
  std::vector<std::string> names() const;
  bool alive(const std::string& name) const {
    return m_nodes.at(name)->running_node != nullptr;
  }

  /// Returns the bytes of frames that the node has sent to other nodes.
  std::uint64_t bytes_sent(const std::string& name) const {
    return m_nodes.at(name)->bytes_sent;
  }

  /// Returns a new key: a UUID version 7 of the current virtual time.
  std::string make_idempotency_key();

  scheduler time;
  table_store table;
  table_faults faults;
  std::mt19937_64 random;
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  /// Of 1,000 frames: those duplicated, and those delayed by up to 50 ms.
  std::uint32_t duplicated_per_mille = 0;
  std::uint32_t delayed_per_mille = 0;
  /// Times at which the rate limit admitted a request, over all nodes.
  std::vector<instant> admissions;
  std::vector<std::string> events; ///< node, number and name of each event

private:
  /// A node with its target. `running_node` is null while the node is down.
  struct node_process {
    std::string name;
    std::string data_centre;
    std::string service;
    fake_target::options target_options;
    dispatcher::options dispatch;
    std::unique_ptr<node> running_node;
    std::unique_ptr<fake_target> target;
    std::uint64_t generation = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred_work;
    std::uint64_t bytes_sent = 0;
  };

  void start(node_process& m);
  void tick(const std::string& name, std::uint64_t generation);
  void announce(const std::string& name, std::uint64_t generation);
  /// Runs `work` in the node, now or when it resumes. Drops it if the node has
  /// been killed or restarted since.
  void run_in_node(const std::string& name, std::uint64_t generation,
                   std::function<void()> work);
  void deliver(const std::string& from, const std::string& to,
               const wire::payloadUnion& body);
  node_hooks hooks_for(node_process& m);
  clock_reading clocks() const;

  std::map<std::string, std::unique_ptr<node_process>> m_nodes;
  std::set<std::pair<std::string, std::string>> m_blocked_links;
};

/// Returns a contract for service `svc` with the given rate per second and
/// burst: /book runs at most once, /list and /open are idempotent, /open needs
/// no key.
contract simple_contract(const std::string& team, double rate, double burst);

/// Adds nodes a1.. of dc-a and b1.. of dc-b, applies a contract of `team-a`
/// with the key `secret-a`, and lets the fleet settle.
void build_two_data_centres(virtual_fleet& f, std::size_t nodes_per_data_centre,
                            double rate = 100'000, double burst = 100'000);

/// Formats an outcome, e.g. "200 ran" or "503 shed not-run".
std::string text_of(const outcome& o);

} // namespace kingcupslip

#endif
