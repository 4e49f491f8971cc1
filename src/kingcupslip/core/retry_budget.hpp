// Limits retries to a fraction of first attempts, and stops them in overload.
#ifndef KINGCUPSLIP_CORE_RETRY_BUDGET_HPP
#define KINGCUPSLIP_CORE_RETRY_BUDGET_HPP

#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>

namespace kingcupslip {

/// Budget of one node for retries of calls to one service. Each first
/// attempt earns a fraction of a retry. No retry is allowed while more than
/// half of the recent attempts were refused for overload.
class retry_budget {
public:
  struct options {
    double tokens_per_first_attempt = 0.1;
    double max_tokens = 10;
    /// How long after the start of the process the tokens that it starts with
    /// take to become available. A process that restarts within this time does
    /// not spend them twice.
    duration release_time{0};
  };

  retry_budget() : retry_budget(options{}, instant(0)) {}
  retry_budget(options o, instant process_start);

  /// Applies new options. They change with the size of the fleet, over which
  /// the allowance of tokens is split.
  void set_options(options o);

  void on_first_attempt();
  void on_result(bool overloaded, instant now);

  /// Spends one token; false if no retry is allowed now.
  bool spend(instant now);

  /// Whether most of the recent attempts were refused for overload.
  bool is_overloaded(instant now);

private:
  void decay(instant now);
  void release(instant now);

  options m_options;
  instant m_process_start;
  double m_tokens;
  double m_released_part; ///< of the tokens to start with; at most 1
  double m_attempts = 0;
  double m_overloaded = 0;
  instant m_decayed_at{0};
};

/// Exponential delay with full jitter; `retry_number` counts from 1.
duration retry_delay(std::uint32_t retry_number,
                     const std::function<std::uint64_t()>& random);

} // namespace kingcupslip

#endif
