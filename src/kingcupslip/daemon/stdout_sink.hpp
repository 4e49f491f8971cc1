// A log sink on standard output that no reader can hold up.
#ifndef KINGCUPSLIP_DAEMON_STDOUT_SINK_HPP
#define KINGCUPSLIP_DAEMON_STDOUT_SINK_HPP

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace kingcupslip {

/// Writes a line only where standard output takes it whole: once a reader
/// has stalled for a moment, lines are dropped and counted until it reads
/// again. Lines are shorter than a pipe takes at once.
class stdout_sink : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Lines dropped so far; any thread may ask.
  std::uint64_t dropped() const { return m_dropped; }
  /// Whether the last line was not taken.
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
