// Numbered events to standard output, by spdlog.
#ifndef KINGCUPSLIP_DAEMON_EVENT_LOG_HPP
#define KINGCUPSLIP_DAEMON_EVENT_LOG_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <string>

namespace kingcupslip {

/// A sink that writes one line per event: JSON, or text for people. Secrets
/// never come near it: events carry names and numbers only.
///
/// Lines go through a bounded queue to a thread of their own: a reader that
/// stalls costs the oldest waiting lines and never holds up a request. Each
/// kind of event has a most per second, in which failures and refusals come
/// before answers; what was left out is counted in `lines_dropped`.
event_sink make_event_log(log_format format, const std::string& node);

} // namespace kingcupslip

#endif
