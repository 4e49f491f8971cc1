// Formatting and limiting of event lines.
#include "kingcupslip/daemon/event_log.hpp"

#include "kingcupslip/core/log_rate_limiter.hpp"
#include "kingcupslip/daemon/stdout_sink.hpp"
#include "kingcupslip/net/loop.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>

namespace kingcupslip {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t max_queued_lines = 4096;

spdlog::level::level_enum to_spdlog(event_level level) {
  constexpr std::array<spdlog::level::level_enum, 3> levels{
      spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  return levels[static_cast<std::size_t>(level)];
}

std::string format_as_json(const event_info& info, const event_fields& fields,
                           const std::string& node) {
  json out;
  out["event"] = static_cast<int>(info.id);
  out["name"] = info.name;
  out["node"] = node;
  for (const std::pair<std::string, std::string>& it : fields) {
    out[it.first] = it.second;
  }
  // Ids and paths come from outside and may be no UTF-8, for which `dump`
  // throws by default.
  return out.dump(-1, ' ', false, json::error_handler_t::replace).substr(1);
}

std::string format_as_text(const event_info& info, const event_fields& fields,
                           const std::string& node) {
  std::string out = std::to_string(static_cast<int>(info.id)) + " " +
                    std::string(info.name) + " node=" + node;
  for (const std::pair<std::string, std::string>& it : fields) {
    out += " " + it.first + "=" + it.second;
  }
  return out;
}

} // namespace

event_sink make_event_log(log_format format, const std::string& node) {
  const std::shared_ptr<spdlog::details::thread_pool> pool =
      std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1);
  const std::shared_ptr<stdout_sink> sink = std::make_shared<stdout_sink>();
  const std::shared_ptr<spdlog::logger> logger =
      std::make_shared<spdlog::async_logger>(
          "events", sink, pool, spdlog::async_overflow_policy::overrun_oldest);
  const bool as_json = format == log_format::json;
  logger->set_pattern(as_json
                          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)"
                          : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  const auto write = [logger, pool, as_json, node](event_id id,
                                                   const event_fields& fields) {
    const event_info& info = info_of(id);
    logger->log(to_spdlog(info.level),
                as_json ? format_as_json(info, fields, node)
                        : format_as_text(info, fields, node));
  };
  const std::shared_ptr<log_rate_limiter> budget =
      std::make_shared<log_rate_limiter>();
  const auto count_dropped = [sink, pool] {
    return sink->dropped() + pool->overrun_counter();
  };
  const std::shared_ptr<std::uint64_t> dropped_reported =
      std::make_shared<std::uint64_t>(0);
  return [write, budget, sink, count_dropped,
          dropped_reported](event_id id, const event_fields& fields) {
    const instant now = read_clocks().now;
    if (const std::optional<event_fields> suppressed =
            budget->begin_period(now)) {
      write(event_id::lines_dropped, *suppressed);
    }
    const std::uint64_t dropped_total = count_dropped();
    if (dropped_total > *dropped_reported && !sink->stalled()) {
      write(event_id::lines_dropped,
            {{"stalled_output",
              std::to_string(dropped_total - *dropped_reported)}});
      *dropped_reported = dropped_total;
    }
    if (budget->admit(id)) {
      write(id, fields);
    }
  };
}

} // namespace kingcupslip
