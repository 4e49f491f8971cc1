// The one thread that runs the core, its sockets and its timers.
#ifndef KINGCUPSLIP_NET_LOOP_HPP
#define KINGCUPSLIP_NET_LOOP_HPP

#include "kingcupslip/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>

namespace kingcupslip {

using io_loop = boost::asio::io_context;

/// Reads both clocks. The monotonic one goes on while the machine is
/// suspended, so that deadlines, leases and silence count that time; it
/// starts well above zero, so that zero may mean "never" in the core.
inline clock_reading read_clocks() {
  clock_reading out;
  std::timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  out.now = std::chrono::duration_cast<instant>(
                std::chrono::seconds(boot.tv_sec) +
                std::chrono::nanoseconds(boot.tv_nsec)) +
            std::chrono::hours(2);
  out.wall = std::chrono::duration_cast<wall_time>(
      std::chrono::system_clock::now().time_since_epoch());
  return out;
}

} // namespace kingcupslip

#endif
