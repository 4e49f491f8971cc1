// A node that routes by host and path: its components, connected to each other
// and to hooks.
#ifndef KINGCUPSLIP_CORE_ROUTED_NODE_HPP
#define KINGCUPSLIP_CORE_ROUTED_NODE_HPP

#include "kingcupslip/core/crash_record_store.hpp"
#include "kingcupslip/core/departure_store.hpp"
#include "kingcupslip/core/gossip_agent.hpp"
#include "kingcupslip/core/incoming_calls.hpp"
#include "kingcupslip/core/lost_runs.hpp"
#include "kingcupslip/core/rollouts.hpp"
#include "kingcupslip/core/routed_entry.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace kingcupslip {

/// The outside world as seen by the core: other nodes, the target, the table,
/// the store of the desired state, randomness and the log.
struct routed_hooks {
  message_sender send;
  target_hooks target;
  target_protocol protocol;
  table_hooks table;
  watch_hooks watch;
  member_table::random_source random;
  event_sink log;
};

struct routed_options {
  node_identity self;
  std::size_t max_in_flight = 1000;
  duration announce_timeout = std::chrono::seconds(6);
  /// Retries allowed per service in the whole fleet: this fraction of its
  /// requests, plus a fixed number.
  double retry_part = 0.2;
  double retry_slack = 48;
  /// Part of a service's requests that a version under test may get; 0: no
  /// roll-outs.
  double rollout_share = 0;
  locality::options locality_options;
  /// Time from SIGTERM until the process must have ended.
  duration drain_limit = std::chrono::seconds(6);
};

/// What a node answers to an announcement of its target.
enum class announcement_result : std::uint8_t {
  acknowledged,
  /// It is not of the target beside this node, or of no instance that can have
  /// started; nothing changed.
  not_local,
  not_recorded ///< it counts, but another process may not learn of it
};

/// Owns the components of a node that routes by host and path, and routes
/// messages and events to them.
///
/// Not thread-safe: one thread makes all calls and sets the clock before each.
/// Hooks may call handlers later from the same thread.
class routed_node {
public:
  routed_node(routed_options options, routed_hooks hooks);

  void set_clock(clock_reading t) { m_clock = t; }
  const clock_reading& clock() const { return m_clock; }

  void tick();

  void on_request(routed_request request, outcome_handler handler);
  void on_caller_disconnected(std::uint64_t connection);
  /// Where a request of a team would go now, and why, without sending it.
  route_preview preview(const std::string& team, const std::string& host,
                        const std::string& path) const {
    return m_entry.preview(team, host, path);
  }

  void on_message(const std::string& from, wire::payloadUnion& body);
  void on_call_unsent(std::uint64_t correlation);
  void on_peer_lost(const std::string& peer);
  void on_call_lost(std::uint64_t correlation);
  void on_peer_unresponsive(const std::string& peer, bool unresponsive);

  void on_target_result(std::uint64_t run, target_result result);
  using announcement_handler = std::function<void(announcement_result)>;

  /// Handles an announcement of the target beside this node; another one
  /// changes nothing. Returns whether it was of that target. `handler`, which
  /// may be null, is called once: for a target that drains when that is in the
  /// table, or could not be written in time, else before this function returns.
  bool on_target_announce(const target_announcement& a,
                          const announcement_handler& handler = nullptr);
  /// Handles the goodbye of an instance; `handler` as for one that drains.
  void on_target_leave(const std::string& instance, std::uint64_t start_time_ms,
                       const announcement_handler& handler = nullptr);

  /// Whether the announcement names the service and the data centre that the
  /// settings give the target beside this node. Others come from another
  /// writer, or from an earlier target of the address.
  bool is_local_target(const target_announcement& a) const;

  /// Applies changed settings; the identity of the node is kept but for the
  /// service of its target.
  void set_options(const routed_options& o);

  /// Whether callers may send requests to this node.
  bool ready() const;

  /// Starts a graceful shutdown; `drained` is true once it is complete.
  void start_draining();
  bool draining() const { return m_draining; }
  /// Whether callers have had time to notice that this node is not ready. From
  /// then on new requests are refused.
  bool closing() const;
  bool drained() const { return m_left; }
  /// Whether the process has to exit now, even if answers are still being
  /// written to callers.
  bool must_exit() const;

  const desired_state& state() const { return m_state; }
  const member_table& members() const { return m_members; }
  const target_stage& target() const { return m_local_target; }
  const dispatcher& dispatch() const { return m_dispatcher; }
  const departure_store& departures() const { return m_departures; }
  const rollouts& rollout_states() const { return m_rollouts; }
  const request_counters& counts() const { return m_entry.counts(); }
  std::size_t in_progress() const { return m_entry.in_progress(); }
  std::string address_of(const std::string& peer) const {
    return m_members.address_of(peer);
  }

private:
  void connect_rollouts();
  void apply_desired_state();
  /// Updates the target's cold start settings and announces its service,
  /// readiness and concurrency limit.
  void update_target_state();
  /// Null before the first routes.
  std::optional<cold_start_settings> target_cold_start() const;
  /// Adds to the gossip for a node what this one knows of that node's target,
  /// and of all targets if that node has asked.
  void fill_departures(const std::string& to, wire::gossipT& g);
  void on_gossiped_departures(const std::string& from, const wire::gossipT& g);
  void on_departures_learned();
  void answer_when_recorded(const announcement_handler& handler);
  void tick_drain();
  void update_retry_budget();

  routed_options m_options;
  routed_hooks m_hooks;
  clock_reading m_clock;
  quarantine m_quarantine;
  member_table m_members;
  gossip_agent m_gossip;
  crash_record_store m_crash_records;
  desired_state m_state;
  pending_calls m_calls;
  target_stage m_local_target;
  departure_store m_departures;
  rollouts m_rollouts;
  dispatcher m_dispatcher;
  lost_runs m_lost_runs;
  team_quota m_quota;
  routed_entry m_entry;
  incoming_calls m_incoming_calls;
  std::size_t m_fleet_size = 0;
  std::set<std::string> m_departures_wanted_by; ///< nodes that asked
  instant m_next_ask_at{0};
  instant m_drain_started_at{0};
  instant m_leave_started_at{0};
  bool m_out_of_service = false;
  bool m_draining = false;
  bool m_leaving = false;
  bool m_left = false;
};

} // namespace kingcupslip

#endif
