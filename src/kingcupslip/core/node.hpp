// A node: the components of the core, connected to each other and to hooks.
#ifndef KINGCUPSLIP_CORE_NODE_HPP
#define KINGCUPSLIP_CORE_NODE_HPP

#include "kingcupslip/core/config_writer.hpp"
#include "kingcupslip/core/entry_stage.hpp"
#include "kingcupslip/core/fleet_agent.hpp"
#include "kingcupslip/core/incoming_calls.hpp"
#include "kingcupslip/core/node_identity.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// The outside world as seen by the core: other nodes, the target, the table,
/// randomness and the log.
struct node_hooks {
  message_sender send;
  target_hooks target;
  table_hooks table;
  member_table::random_source random;
  event_sink log;
};

struct node_options {
  node_identity self;
  std::string fleet_secret;
  entry_options entry;
  std::size_t max_in_flight = 1000;
  duration drain_limit = std::chrono::seconds(20);
  dispatcher::options dispatch;
};

/// The report of the whole fleet.
struct fleet_report {
  request_counters counts;
  std::vector<std::string> unreachable;
  bool table_read = false;
};

/// Owns the components of a node that serves teams by contract, and routes
/// messages and events to them.
///
/// Not thread-safe: one thread makes all calls and sets the clock before each.
/// Hooks may call handlers later from the same thread.
class node {
public:
  node(node_options options, node_hooks hooks);

  void set_clock(clock_reading t) { m_clock = t; }
  const clock_reading& clock() const { return m_clock; }

  void tick();

  void on_request(caller_request request, outcome_handler handler);
  void on_caller_disconnected(std::uint64_t connection);

  void on_message(const std::string& from, wire::payloadUnion& body);
  void on_call_unsent(std::uint64_t correlation);
  void on_peer_lost(const std::string& peer);
  void on_call_lost(std::uint64_t correlation);

  void on_target_result(std::uint64_t run, target_result result);
  void on_target_announce(const std::string& instance, bool draining);

  void add_seed(const std::string& name, const std::string& address);

  /// Starts a graceful shutdown; `drained` is true once it is complete.
  void start_draining();
  bool draining() const { return m_draining; }
  bool drained() const { return m_left; }

  void write_config(change_request request, write_handler handler);
  void collect_report(std::function<void(fleet_report)> handler);

  const configuration& config() const { return m_config; }
  const config_sync& sync() const { return m_sync; }
  const member_table& members() const { return m_members; }
  const target_stage& target() const { return m_local_target; }
  const request_counters& counts() const { return m_entry.counts(); }
  const slot_owner& slots() const { return m_slots; }
  const idempotency_store& idempotency_records() const {
    return m_owner.idempotency_records();
  }
  const rate_shares& shares() const { return m_shares; }
  const node_options& options() const { return m_options; }
  std::string address_of(const std::string& peer) const {
    return m_members.address_of(peer);
  }

private:
  /// A report in progress.
  struct report_pull {
    fleet_report report;
    std::vector<std::string> pending_nodes;
    std::map<std::string, std::string> rows; ///< by node and incarnation
    instant deadline{0};
    std::function<void(fleet_report)> handler;
  };

  incoming_calls::cancel_function start_call(wire::callT call, instant deadline,
                                             const outcome_handler& handler);
  void on_reply(const std::string& from, wire::replyT& m);
  void on_report_pull(const std::string& from, const wire::report_pullT& m);
  void on_report_rows(const std::string& from, const wire::report_rowsT& m);
  void finish_report(std::uint64_t id);
  void tick_drain();
  void tick_config();

  node_options m_options;
  node_hooks m_hooks;
  clock_reading m_clock;
  configuration m_config;
  quarantine m_quarantine;
  member_table m_members;
  config_sync m_sync;
  lease_holder m_lease;
  lease_sweeper m_sweeper;
  slot_owner m_slots;
  rate_shares m_shares;
  pending_calls m_calls;
  target_stage m_local_target;
  dispatcher m_dispatcher;
  owner_stage m_owner;
  entry_stage m_entry;
  fleet_agent m_agent;
  incoming_calls m_incoming_calls;
  std::map<std::uint64_t, report_pull> m_reports;
  std::uint64_t m_next_report = 0;
  std::uint64_t m_logged_sequence = 0;
  bool m_logged_stale = false;
  instant m_drain_started_at{0};
  instant m_leave_started_at{0};
  bool m_draining = false;
  bool m_leaving = false;
  bool m_left = false;
};

} // namespace kingcupslip

#endif
