// Writes to standard output after a bounded wait.
#include "kingcupslip/daemon/stdout_sink.hpp"

#include <poll.h>
#include <unistd.h>

namespace kingcupslip {

namespace {

/// How long the first line that cannot be written waits for the reader.
constexpr int stall_timeout_ms = 200;

} // namespace

void stdout_sink::sink_it_(const spdlog::details::log_msg& msg) {
  spdlog::memory_buf_t line;
  formatter_->format(msg, line);
  if (!wait_until_writable()) {
    ++m_dropped;
    return;
  }
  const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    ++m_dropped;
  }
}

bool stdout_sink::wait_until_writable() {
  pollfd out{};
  out.fd = STDOUT_FILENO;
  out.events = POLLOUT;
  const int ready_count = poll(&out, 1, m_stalled ? 0 : stall_timeout_ms);
  m_stalled = ready_count == 0;
  return !m_stalled;
}

} // namespace kingcupslip
