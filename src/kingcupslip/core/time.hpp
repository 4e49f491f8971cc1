// Time types of the core, which reads no clock: callers pass readings in.
#ifndef KINGCUPSLIP_CORE_TIME_HPP
#define KINGCUPSLIP_CORE_TIME_HPP

#include <chrono>

namespace kingcupslip {

/// A span of time, in microseconds.
using duration = std::chrono::microseconds;
constexpr double us_per_s = 1e6;

/// A reading of this process's monotonic clock, from an unspecified origin.
/// Not comparable between processes.
using instant = std::chrono::microseconds;

/// A reading of the wall clock: milliseconds since the Unix epoch.
using wall_time = std::chrono::milliseconds;

/// A time that is further in the future than this was not read from any clock
/// of the fleet.
constexpr wall_time max_clock_difference = std::chrono::hours(24);

/// Both clocks, read together when an event enters the core.
struct clock_reading {
  instant now{0};
  wall_time wall{0};
};

} // namespace kingcupslip

#endif
