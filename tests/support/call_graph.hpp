// A closed-loop model of a service call graph: callers, chains of nested calls,
// slots, over the production core on virtual time.
#ifndef KINGCUPSLIP_TESTS_CALL_GRAPH_HPP
#define KINGCUPSLIP_TESTS_CALL_GRAPH_HPP

#include "routed_fleet.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kingcupslip {

/// A service of the graph. Targets differ in speed: `speeds` in turn.
struct graph_service {
  std::string name;
  std::size_t targets = 1;
  std::size_t slots = 10;
  std::vector<double> speeds{1};
  /// Runs that start while more than this part of the slots is in use take
  /// `knee_factor` times as long.
  double knee = 1;
  double knee_factor = 1;
};

/// Calls that a request makes after its work, one after the other.
struct graph_calls {
  std::string to; ///< name of another kind
  std::size_t times = 0;
};

/// A kind of request: of callers if `per_s` is positive, else of targets only.
struct graph_kind {
  std::string name;
  std::string service;
  std::uint32_t urgency = 0;
  bool idempotent = true;
  std::chrono::milliseconds time_limit{1000}; ///< of each attempt's sender
  std::chrono::milliseconds route_timeout{1000};
  std::chrono::milliseconds aim{1000}; ///< full worth within it
  double worth = 0;
  double late_worth = 0;
  double work_ms = 10; ///< mean at speed 1, with a lognormal distribution
  double spread = 0.5; ///< sigma of its logarithm
  std::vector<graph_calls> calls;
  double per_s = 0; ///< over the whole fleet
};

/// How the requests of one kind ended, by the second in which they were sent.
struct graph_result {
  std::size_t sent = 0;
  std::size_t in_aim = 0;
  std::size_t late = 0;
  std::size_t failed = 0;  ///< the last attempt may have run
  std::size_t refused = 0; ///< the last attempt did not run
};

/// Runs the graph. Each caller sends a request once more after a refusal, when
/// it was told to come back, and an idempotent one after any failure.
class call_graph {
public:
  struct options {
    std::size_t data_centres = 2;
    std::vector<graph_service> services;
    std::vector<graph_kind> kinds;
    std::uint64_t seed = 1;
  };

  explicit call_graph(options o);

  /// Runs for a span with the callers' rates times `load`.
  void run_for(duration span);

  routed_fleet& fleet() { return m_fleet; }
  /// Factor of a kind's rate; changes take effect at once.
  std::map<std::string, double> load;
  /// Part of its arrivals that a service's targets turn away at random.
  std::map<std::string, double> refused_part;
  /// Results of a kind by second since the end of the set-up.
  const std::map<std::size_t, graph_result>&
  results(const std::string& kind) const {
    return m_results.at(kind);
  }
  graph_result total(const std::string& kind, std::size_t from_s,
                     std::size_t to_s) const;
  /// Part of the worth that a kind earned in these seconds.
  double earned(const std::string& kind, std::size_t from_s,
                std::size_t to_s) const;
  /// Runs that a service's targets have begun.
  std::uint64_t runs(const std::string& service) const;

private:
  struct node_info {
    std::string name;
    std::string service;
    double speed = 1;
    double knee_slots = 0;
    double knee_factor = 1;
  };
  struct attempt;

  const graph_kind& kind_of(const std::string& path) const;
  void add_nodes();
  void write_routes();
  void arrive(const graph_kind& k);
  void send(const graph_kind& k, const std::string& node, instant first_at,
            bool may_repeat);
  void count(const graph_kind& k, instant first_at, const outcome& o);
  void handle(const node_info& node, const target_request& r,
              std::function<void(std::uint16_t)> done);
  void make_calls(const node_info& node, const graph_kind& k, std::size_t group,
                  std::size_t made, instant deadline,
                  const std::function<void(std::uint16_t)>& done);
  double draw_work_ms(const graph_kind& k);

  options m_options;
  routed_fleet m_fleet;
  std::mt19937_64 m_random;
  std::vector<node_info> m_nodes;
  std::map<std::string, std::vector<std::string>> m_by_service;
  std::map<std::string, std::map<std::size_t, graph_result>> m_results;
  instant m_started_at{0};
  instant m_end{0};
};

/// A graph whose chains all end at its smallest service: a lookup that is more
/// urgent and makes eight calls there, an order that is less urgent and makes
/// four, and payments and issues without calls. `load` 1 needs 0.96 of the
/// smallest service.
call_graph::options deep_graph(std::size_t size, double load);

} // namespace kingcupslip

#endif
