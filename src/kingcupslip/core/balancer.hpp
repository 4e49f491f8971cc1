// Chooses a target for a request from those in service.
#ifndef KINGCUPSLIP_CORE_BALANCER_HPP
#define KINGCUPSLIP_CORE_BALANCER_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kingcupslip {

/// What this node knows about a target and the node next to it.
struct target_candidate {
  std::string node;
  bool same_data_centre = true;
  const std::string* data_centre = nullptr; ///< its name; null: not known
  /// Requests from this node that await its answer; always exact.
  std::size_t own_in_flight = 0;
  /// Concurrency limit, and requests in flight or queued, as last reported in
  /// a reply or by gossip; as out of date as that report is old.
  double limit = 1;
  std::size_t reported_in_flight = 0;
  /// Recent failures observed by this node; each doubles `relative_load`.
  std::uint32_t failures = 0;
};

/// Load of a target relative to its concurrency limit, with one more request;
/// 1 means that it would be full.
double relative_load(const target_candidate& t);

/// Chooses by power of two choices on `relative_load` among the targets that
/// are not full, or among all if all are. Targets in this data
/// centre are preferred; those in others are considered if there is no local
/// one, or if the chosen local one is overloaded and `allow_overflow` is set.
/// Returns null if `targets` is empty.
const target_candidate*
choose_target(const std::vector<target_candidate>& targets, bool allow_overflow,
              const std::function<std::uint64_t()>& random);

/// Chooses in the same way among the targets of one data centre. Returns null
/// if there is none, or none that is not full.
const target_candidate*
choose_in_data_centre(const std::vector<target_candidate>& targets,
                      const std::string& data_centre,
                      const std::function<std::uint64_t()>& random);

} // namespace kingcupslip

#endif
