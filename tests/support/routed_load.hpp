// Generates steady or random load on a routed fleet and counts the outcomes.
#ifndef KINGCUPSLIP_TESTS_ROUTED_LOAD_HPP
#define KINGCUPSLIP_TESTS_ROUTED_LOAD_HPP

#include "routed_fleet.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// Sends `rate_per_s` requests a second for `span`. Without a seed they are
/// evenly spaced and the entry nodes take turns; with one, intervals (with an
/// exponential distribution) and nodes are random. Must outlive its requests.
class routed_load {
public:
  routed_load(routed_fleet& f, std::vector<std::string> entry_nodes,
              std::string path, double rate_per_s, duration span,
              std::uint64_t seed = 0)
      : m_fleet(f), m_entry_nodes(std::move(entry_nodes)),
        m_path(std::move(path)), m_rate_per_s(rate_per_s),
        m_end(f.time.now() + span), m_seed(seed), m_random(seed) {
    send_next();
  }

  std::size_t sent = 0;
  std::size_t ran = 0;
  std::size_t refused = 0;
  std::size_t uncertain = 0;
  std::vector<instant> sent_at;

private:
  void send_next() {
    if (m_fleet.time.now() >= m_end) {
      return;
    }
    ++sent;
    sent_at.push_back(m_fleet.time.now());
    const std::size_t n = m_seed == 0 ? sent : m_random();
    const std::string& node = m_entry_nodes[n % m_entry_nodes.size()];
    m_fleet.request(node, m_path, "k", [this](const outcome& o) {
      ran += o.refusal_reason == reason::none && o.status < 500 ? 1 : 0;
      refused +=
          o.refusal_reason != reason::none && o.execution == verdict::not_run
              ? 1
              : 0;
      uncertain += o.execution == verdict::may_have_run ? 1 : 0;
    });
    std::exponential_distribution<double> intervals(m_rate_per_s);
    const double interval_s =
        m_seed == 0 ? 1 / m_rate_per_s : intervals(m_random);
    m_fleet.time.run_after(
        duration(static_cast<duration::rep>(interval_s * 1e6)),
        [this] { send_next(); });
  }

  routed_fleet& m_fleet;
  std::vector<std::string> m_entry_nodes;
  std::string m_path;
  double m_rate_per_s;
  instant m_end;
  std::uint64_t m_seed;
  std::mt19937_64 m_random;
};

/// Returns the number of runs at the targets of these nodes.
inline std::uint64_t target_runs(routed_fleet& f,
                                 const std::vector<std::string>& names) {
  std::uint64_t n = 0;
  for (const std::string& it : names) {
    n += f.target(it).total_runs;
  }
  return n;
}

} // namespace kingcupslip

#endif
