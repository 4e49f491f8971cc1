// A log sink on standard output that a stalled reader cannot block.
#ifndef KINGCUPSLIP_DAEMON_STDOUT_SINK_HPP
#define KINGCUPSLIP_DAEMON_STDOUT_SINK_HPP

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace kingcupslip {

/// Writes a line only if standard output accepts it: once the reader has
/// stalled for 200 ms, lines are dropped and counted until it reads again.
/// Lines are shorter than what a pipe accepts in one write.
class stdout_sink : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Number of lines dropped so far. Thread-safe.
  std::uint64_t dropped() const { return m_dropped; }
  /// Whether standard output did not accept the last line. Thread-safe.
  bool stalled() const { return m_stalled; }

protected:
  void sink_it_(const spdlog::details::log_msg& msg) override;
  void flush_() override {}

private:
  bool wait_until_writable();

  std::atomic<std::uint64_t> m_dropped{0};
  std::atomic<bool> m_stalled{false};
};

} // namespace kingcupslip

#endif
