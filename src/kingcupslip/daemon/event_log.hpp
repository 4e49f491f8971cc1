// Numbered events to standard error, by spdlog.
#ifndef KINGCUPSLIP_DAEMON_EVENT_LOG_HPP
#define KINGCUPSLIP_DAEMON_EVENT_LOG_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <string>

namespace kingcupslip {

/// A sink that writes one line per event: JSON, or text for people. Secrets
/// never come near it: events carry names and numbers only.
event_sink make_event_log(log_format format, const std::string& node);

} // namespace kingcupslip

#endif
