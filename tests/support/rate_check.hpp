// Checks a team's rate and burst over the merged admissions of all nodes.
#ifndef KINGCUPSLIP_TESTS_RATE_CHECK_HPP
#define KINGCUPSLIP_TESTS_RATE_CHECK_HPP

#include "kingcupslip/core/time.hpp"

#include <algorithm>
#include <vector>

namespace kingcupslip {

/// Returns the most admissions by which any interval of the trace exceeds
/// rate x length + burst; zero or less if the bound holds. The result is
/// exact: one pass simulates a token bucket of that rate and burst that starts
/// full and may become negative.
inline double max_rate_excess(std::vector<instant> admissions,
                              double rate_per_s, double burst) {
  std::sort(admissions.begin(), admissions.end());
  double level = burst;
  double max_excess = -burst;
  instant last = admissions.empty() ? instant(0) : admissions.front();
  for (const instant at : admissions) {
    const double refill =
        static_cast<double>((at - last).count()) / 1e6 * rate_per_s;
    level = std::min(burst, level + refill) - 1;
    last = at;
    max_excess = std::max(max_excess, -level);
  }
  return max_excess;
}

} // namespace kingcupslip

#endif
