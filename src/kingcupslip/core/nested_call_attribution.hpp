// Which kinds of requests make nested calls.
#ifndef KINGCUPSLIP_CORE_NESTED_CALL_ATTRIBUTION_HPP
#define KINGCUPSLIP_CORE_NESTED_CALL_ATTRIBUTION_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace kingcupslip {

/// Nested calls carry nothing of the run that makes them. A kind of request is
/// found to make some if more of them are in progress than there are runs of
/// other kinds, or if its runs fail at the moment at which a nested call was
/// refused. Requests that make none are not shed for a service below.
class nested_call_attribution {
public:
  void on_run_started(const std::string& kind);
  /// `failed`: the target answered with a server error.
  void on_run_ended(const std::string& kind, bool failed, instant now);
  void on_call_started(instant now);
  void on_call_ended();
  void on_call_refused(instant now) { m_refused_at = now; }

  bool makes_calls(const std::string& kind, instant now) const;

private:
  static constexpr std::size_t max_kinds = 64;
  /// Answers of targets to a refused call, and ends of calls that the node
  /// learns of late, take no longer.
  static constexpr duration max_answer_time = std::chrono::milliseconds(20);
  /// Calls whose runs have ended at their deadlines are still in progress.
  static constexpr std::size_t min_excess_calls = 3;
  static constexpr std::size_t min_excess_percent = 10;
  static constexpr std::size_t min_observations = 3;
  static constexpr duration min_interval = std::chrono::milliseconds(100);
  static constexpr duration max_age = std::chrono::seconds(30);

  struct kind_state {
    std::size_t running = 0;
    std::size_t observations = 0;
    instant observed_at{0};
  };
  void observe(kind_state& k, instant now) const;

  std::map<std::string, kind_state> m_kinds;
  std::size_t m_running = 0; ///< sum over `m_kinds`
  std::size_t m_calls = 0;   ///< in progress
  instant m_refused_at{-1'000'000};
};

} // namespace kingcupslip

#endif
