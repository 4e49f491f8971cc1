// Formatting of events.
#include "kingcupslip/daemon/event_log.hpp"

#include "kingcupslip/core/line_budget.hpp"
#include "kingcupslip/net/loop.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>

namespace kingcupslip {

namespace {

constexpr std::size_t most_waiting_lines = 4096;

spdlog::level::level_enum to_spdlog(event_level level) {
  constexpr std::array<spdlog::level::level_enum, 3> levels{
      spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  return levels[static_cast<std::size_t>(level)];
}

std::string as_json(const event_info& info, const event_fields& fields,
                    const std::string& node) {
  nlohmann::ordered_json out;
  out["event"] = static_cast<int>(info.id);
  out["name"] = info.name;
  out["node"] = node;
  for (const std::pair<std::string, std::string>& it : fields) {
    out[it.first] = it.second;
  }
  return out.dump().substr(1);
}

std::string as_text(const event_info& info, const event_fields& fields,
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
      std::make_shared<spdlog::details::thread_pool>(most_waiting_lines, 1);
  const std::shared_ptr<spdlog::logger> logger =
      std::make_shared<spdlog::async_logger>(
          "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool,
          spdlog::async_overflow_policy::overrun_oldest);
  const bool json = format == log_format::json;
  logger->set_pattern(json
                          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)"
                          : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  const auto write = [logger, pool, json, node](event_id id,
                                                const event_fields& fields) {
    const event_info& info = info_of(id);
    logger->log(to_spdlog(info.level), json ? as_json(info, fields, node)
                                            : as_text(info, fields, node));
  };
  const std::shared_ptr<line_budget> budget = std::make_shared<line_budget>();
  return [write, budget](event_id id, const event_fields& fields) {
    const instant now = read_clocks().now;
    if (const std::optional<event_fields> left_out = budget->turn(now)) {
      write(event_id::lines_dropped, *left_out);
    }
    if (budget->admit(id)) {
      write(id, fields);
    }
  };
}

} // namespace kingcupslip
