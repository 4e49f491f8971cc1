// Power of two choices with data-centre preference.
#include "kingcupslip/core/balancer.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

/// Local targets this full send new work to other data centres.
constexpr double overflow_load = 1.5;
constexpr std::uint32_t most_failures_counted = 6;

using views = std::vector<const target_view*>;

const target_view* better_of_two(const views& from,
                                 const std::function<std::uint64_t()>& random) {
  if (from.empty()) {
    return nullptr;
  }
  const target_view* a = from[random() % from.size()];
  const target_view* b = from[random() % from.size()];
  return relative_load(*a) <= relative_load(*b) ? a : b;
}

} // namespace

double relative_load(const target_view& t) {
  // What is out from here may or may not be in the report already, so the
  // larger of the two counts; adding them would punish one's own traffic.
  const std::size_t known = std::max(t.in_flight_here, t.in_flight_there);
  const double load = static_cast<double>(known + 1) / std::max(1.0, t.limit);
  const std::uint32_t n = std::min(t.failures, most_failures_counted);
  return load * static_cast<double>(1U << n);
}

const target_view* choose_target(const std::vector<target_view>& targets,
                                 bool overflow,
                                 const std::function<std::uint64_t()>& random) {
  views near;
  views far;
  for (const target_view& it : targets) {
    (it.same_data_centre ? near : far).push_back(&it);
  }
  const target_view* local = better_of_two(near, random);
  if (local != nullptr &&
      (!overflow || far.empty() || relative_load(*local) < overflow_load)) {
    return local;
  }
  const target_view* remote = better_of_two(far, random);
  if (local == nullptr || remote == nullptr) {
    return local == nullptr ? remote : local;
  }
  return relative_load(*remote) < relative_load(*local) ? remote : local;
}

} // namespace kingcupslip
