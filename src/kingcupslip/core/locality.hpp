// Locality-aware load balancing: which part of a service's requests leaves the
// data centre, and where it goes.
#ifndef KINGCUPSLIP_CORE_LOCALITY_HPP
#define KINGCUPSLIP_CORE_LOCALITY_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

enum class locality_mode : std::uint8_t {
  threshold, ///< a request leaves if its local target is overloaded
  adaptive   ///< a part of the requests leaves, as `locality` decides
};

/// What a node knows of a service's targets in one data centre.
struct data_centre_load {
  std::string name;
  double capacity = 0; ///< concurrency of the targets in service
  /// Of the targets whose load is known: their concurrency, and the requests
  /// that are in progress or queued there.
  double known_capacity = 0;
  double known_load = 0;
  /// Time that the way there and back takes.
  duration way{0};
};

/// Answers demand that moves between data centres, or targets that are too few
/// in one of them. Each node moves the part of its requests that leaves towards
/// equal load, as far as the wait that a caller saves is worth the way. It
/// knows the loads from the replies to its own requests, so that it sees what
/// all nodes send, and needs no messages. Parts move by small steps against the
/// difference and against its change, so that many nodes that see the same do
/// not swing together.
///
/// Invariant: the parts of a service's requests that leave add up to at most
/// `max_leaving_part`.
class locality {
public:
  struct options {
    locality_mode mode = locality_mode::threshold;
    /// What an operator asks for each request that leaves, in time that a
    /// caller may wait instead.
    duration leaving_cost{0};
  };

  static constexpr double max_leaving_part = 0.95;

  locality(options o, event_sink log) : m_options(o), m_log(std::move(log)) {}

  bool enabled() const { return m_options.mode == locality_mode::adaptive; }

  /// Adjusts the parts of a service. `run_time`: that its requests take.
  /// Call about every `update_period`.
  void update(const std::string& service, const std::string& here,
              const std::vector<data_centre_load>& loads, duration run_time,
              instant now);

  /// The data centre that a request goes to; null: it stays.
  const std::string* choose(const std::string& service,
                            const std::function<std::uint64_t()>& random) const;

  /// The part of a service's requests that goes to each other data centre.
  std::map<std::string, double> parts(const std::string& service) const;
  /// The part of each service's requests that leaves.
  std::map<std::string, double> leaving_parts() const;

private:
  struct destination {
    double part = 0;
    /// Difference in load beyond the worth of the way; a moving average.
    double gap = 0;
    bool was_known = false;
  };
  struct service_state {
    std::map<std::string, destination> destinations;
    instant updated_at{0};
    double load_here = 0;
    bool logged_leaving = false;
  };

  void log_change(const std::string& service, service_state& s) const;

  options m_options;
  event_sink m_log;
  std::map<std::string, service_state> m_services;
};

constexpr duration locality_update_period = std::chrono::milliseconds(100);

} // namespace kingcupslip

#endif
