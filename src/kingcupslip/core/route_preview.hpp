// Where a request would go now, and why: what the preview of a route reports.
#ifndef KINGCUPSLIP_CORE_ROUTE_PREVIEW_HPP
#define KINGCUPSLIP_CORE_ROUTE_PREVIEW_HPP

#include "kingcupslip/core/reason.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

/// A target of the service, as this node knows it.
struct previewed_target {
  std::string node;
  std::string data_centre;
  std::string version;
  double limit = 0;         ///< concurrency
  std::size_t load = 0;     ///< requests in progress or queued
  double relative_load = 0; ///< what targets are compared by
  /// Why the request would not go there; empty: it may.
  std::string left_out;
};

struct previewed_service {
  std::string name;
  double weight = 1; ///< among those of the route
  /// The part of this node's requests that goes to each other data centre.
  std::map<std::string, double> leaving;
  std::vector<previewed_target> targets; ///< by relative load
};

/// The checks that a request would pass here, in their order. Nothing is
/// counted, taken or sent.
struct route_preview {
  reason refused_for = reason::none;
  std::string route;
  std::string team;
  bool unknown_team = false;
  std::optional<double> quota_tokens; ///< here; null: no limit
  std::optional<double> quota_rate_per_s;
  std::chrono::milliseconds time_limit{0};
  std::uint32_t max_targets = 0;
  bool idempotent = false;
  std::vector<previewed_service> services;
};

} // namespace kingcupslip

#endif
