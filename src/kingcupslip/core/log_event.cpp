// The catalogue of log events.
#include "kingcupslip/core/log_event.hpp"

namespace kingcupslip {

const std::vector<event_info>& all_events() {
  static const std::vector<event_info> events{
      {event_id::node_started, "node_started", event_level::info},
      {event_id::node_draining, "node_draining", event_level::info},
      {event_id::node_stopped, "node_stopped", event_level::info},
      {event_id::settings_reloaded, "settings_reloaded", event_level::info},
      {event_id::settings_unreadable, "settings_unreadable",
       event_level::error},
      {event_id::node_stopped_busy, "node_stopped_busy", event_level::warning},
      {event_id::node_failed, "node_failed", event_level::error},
      {event_id::target_announced, "target_announced", event_level::info},
      {event_id::target_silent, "target_silent", event_level::warning},
      {event_id::target_crashed, "target_crashed", event_level::warning},
      {event_id::request_quarantined, "request_quarantined",
       event_level::warning},
      {event_id::route_limited, "route_limited", event_level::warning},
      {event_id::route_unlimited, "route_unlimited", event_level::info},
      {event_id::target_rate_limited, "target_rate_limited",
       event_level::warning},
      {event_id::target_rate_unlimited, "target_rate_unlimited",
       event_level::info},
      {event_id::target_leaving, "target_leaving", event_level::info},
      {event_id::target_limit_unreadable, "target_limit_unreadable",
       event_level::warning},
      {event_id::target_cold, "target_cold", event_level::info},
      {event_id::target_runs_lost, "target_runs_lost", event_level::warning},
      {event_id::crash_dismissed, "crash_dismissed", event_level::info},
      {event_id::crash_learned, "crash_learned", event_level::info},
      {event_id::departures_known, "departures_known", event_level::info},
      {event_id::departures_recorded, "departures_recorded", event_level::info},
      {event_id::departure_unrecorded, "departure_unrecorded",
       event_level::warning},
      {event_id::member_joined, "member_joined", event_level::info},
      {event_id::member_suspected, "member_suspected", event_level::warning},
      {event_id::member_gone, "member_gone", event_level::warning},
      {event_id::peer_refused, "peer_refused", event_level::warning},
      {event_id::frame_dropped, "frame_dropped", event_level::warning},
      {event_id::peer_silent, "peer_silent", event_level::warning},
      {event_id::config_applied, "config_applied", event_level::info},
      {event_id::config_stale, "config_stale", event_level::warning},
      {event_id::config_written, "config_written", event_level::info},
      {event_id::config_unreadable, "config_unreadable", event_level::error},
      {event_id::data_centres_out, "data_centres_out", event_level::info},
      {event_id::table_lost, "table_lost", event_level::warning},
      {event_id::table_regained, "table_regained", event_level::info},
      {event_id::table_restored, "table_restored", event_level::warning},
      {event_id::table_history_lost, "table_history_lost",
       event_level::warning},
      {event_id::config_outdated, "config_outdated", event_level::warning},
      {event_id::row_unreadable, "row_unreadable", event_level::warning},
      {event_id::lease_lost, "lease_lost", event_level::warning},
      {event_id::slots_changed, "slots_changed", event_level::info},
      {event_id::admin_refused, "admin_refused", event_level::warning},
      {event_id::admin_change, "admin_change", event_level::info},
      {event_id::request_answered, "request_answered", event_level::info},
      {event_id::request_refused, "request_refused", event_level::info},
      {event_id::lines_dropped, "lines_dropped", event_level::warning},
      {event_id::run_failed, "run_failed", event_level::info},
      {event_id::announcement_ignored, "announcement_ignored",
       event_level::warning},
      {event_id::caller_connection_cut, "caller_connection_cut",
       event_level::warning},
      {event_id::answer_skipped, "answer_skipped", event_level::warning},
      {event_id::answer_incomplete, "answer_incomplete", event_level::warning},
      {event_id::run_silent, "run_silent", event_level::warning},
      {event_id::caller_memory_full, "caller_memory_full",
       event_level::warning},
      {event_id::outcomes_counted, "outcomes_counted", event_level::info},
      {event_id::target_load, "target_load", event_level::info},
      {event_id::rollout_ordered, "rollout_ordered", event_level::info},
      {event_id::rollout_started, "rollout_started", event_level::info},
      {event_id::rollout_switching, "rollout_switching", event_level::info},
      {event_id::rollout_halted, "rollout_halted", event_level::warning},
      {event_id::rollout_completed, "rollout_completed", event_level::info},
      {event_id::rollout_rolled_back, "rollout_rolled_back",
       event_level::warning},
      {event_id::rollout_rejected, "rollout_rejected", event_level::warning},
      {event_id::rollout_unreadable, "rollout_unreadable", event_level::error},
      {event_id::load_leaves, "load_leaves", event_level::info},
  };
  return events;
}

const event_info& info_of(event_id id) {
  for (const event_info& it : all_events()) {
    if (it.id == id) {
      return it;
    }
  }
  return all_events().front();
}

} // namespace kingcupslip
