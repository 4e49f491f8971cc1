// Writes numbered events to standard output, on spdlog.
#ifndef KINGCUPSLIP_DAEMON_EVENT_LOG_HPP
#define KINGCUPSLIP_DAEMON_EVENT_LOG_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <string>

namespace kingcupslip {

/// Returns a sink that writes one line per event, as JSON or as text for
/// people. Events carry names and numbers only, never secrets.
///
/// Lines pass through a bounded queue to a separate thread: if the reader of
/// standard output stalls, the oldest queued lines are dropped, and no
/// request is delayed. Each kind of event has a maximum of lines per second,
/// which is higher for failures and refusals than for answers; lines that are
/// not written are counted in `lines_dropped`.
event_sink make_event_log(log_format format, const std::string& node);

} // namespace kingcupslip

#endif
