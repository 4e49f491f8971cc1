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
  };

  retry_budget() : retry_budget(options{}) {}
  explicit retry_budget(options o) : m_options(o), m_tokens(o.max_tokens) {}

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

  options m_options;
  double m_tokens;
  double m_attempts = 0;
  double m_overloaded = 0;
  instant m_decayed_at{0};
};

/// Exponential delay with full jitter; `retry_number` counts from 1.
duration retry_delay(std::uint32_t retry_number,
                     const std::function<std::uint64_t()>& random);

} // namespace kingcupslip

#endif
