// The event loop, whose single thread runs the core, its sockets and timers.
#ifndef KINGCUPSLIP_NET_LOOP_HPP
#define KINGCUPSLIP_NET_LOOP_HPP

#include "kingcupslip/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>

namespace kingcupslip {

using io_loop = boost::asio::io_context;

/// Reads both clocks. The monotonic clock includes time for which the machine
/// was suspended, so that deadlines, leases and silence timeouts count it. It
/// starts well above zero, so that zero can mean "never" in the core.
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
