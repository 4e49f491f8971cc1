// Numbered log events; docs/events.md is their catalogue.
#ifndef KINGCUPSLIP_CORE_LOG_EVENT_HPP
#define KINGCUPSLIP_CORE_LOG_EVENT_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcupslip {

enum class event_level : std::uint8_t { info, warning, error };

/// Numbers are stable: an event that is no longer logged keeps its number.
enum class event_id : std::uint16_t {
  node_started = 100,
  node_draining = 101,
  node_stopped = 102,
  settings_reloaded = 103,
  settings_unreadable = 104,
  node_stopped_busy = 105,
  node_failed = 106,
  target_announced = 200,
  target_silent = 201,
  target_crashed = 202,
  request_quarantined = 203,
  route_limited = 204,
  route_unlimited = 205,
  target_rate_limited = 206,
  target_rate_unlimited = 207,
  target_leaving = 208,
  target_limit_unreadable = 209,
  target_cold = 210,
  target_runs_lost = 211,
  crash_dismissed = 212,
  crash_learned = 213,
  departures_known = 214,
  departures_recorded = 215,
  departure_unrecorded = 216,
  member_joined = 300,
  member_suspected = 301,
  member_gone = 302,
  peer_refused = 303,
  frame_dropped = 304,
  peer_silent = 305,
  config_applied = 400,
  config_stale = 401,
  config_written = 402,
  config_unreadable = 403,
  data_centres_out = 404,
  table_lost = 405,
  table_regained = 406,
  table_restored = 407,
  table_history_lost = 408,
  config_outdated = 409,
  row_unreadable = 410,
  lease_lost = 500,
  slots_changed = 501,
  admin_refused = 600,
  admin_change = 601,
  request_answered = 700,
  request_refused = 701,
  lines_dropped = 702,
  run_failed = 703,
  announcement_ignored = 704,
  caller_connection_cut = 705,
  answer_skipped = 706,
  answer_incomplete = 707,
  run_silent = 708,
  caller_memory_full = 709,
  outcomes_counted = 710,
  target_load = 711,
  rollout_ordered = 800,
  rollout_started = 801,
  rollout_switching = 802,
  rollout_halted = 803,
  rollout_completed = 804,
  rollout_rolled_back = 805,
  rollout_rejected = 806,
  rollout_unreadable = 807,
  load_leaves = 900
};

struct event_info {
  event_id id;
  std::string_view name;
  event_level level;
};

/// The catalogue entry of an event; the first entry for an unknown id.
const event_info& info_of(event_id id);

/// All events, ordered by number.
const std::vector<event_info>& all_events();

using event_fields = std::vector<std::pair<std::string, std::string>>;
using event_sink = std::function<void(event_id id, const event_fields& f)>;

} // namespace kingcupslip

#endif
