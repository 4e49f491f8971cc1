// Periodic work of a node in the fleet: gossip, leases, key slots and reports.
#ifndef KINGCUPSLIP_CORE_FLEET_AGENT_HPP
#define KINGCUPSLIP_CORE_FLEET_AGENT_HPP

#include "kingcupslip/core/config_sync.hpp"
#include "kingcupslip/core/gossip_agent.hpp"
#include "kingcupslip/core/lease.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/owner_stage.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/rate_shares.hpp"
#include "kingcupslip/core/request_counters.hpp"
#include "kingcupslip/core/slot_owner.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcupslip {

/// Drives gossip, configuration, the lease, key slots, rate shares and reports
/// from one tick, and hands over key slots before the node leaves.
class fleet_agent {
public:
  struct dependencies {
    node_identity self;
    configuration& config;
    config_sync& sync;
    member_table& members;
    lease_holder& lease;
    lease_sweeper& sweeper;
    slot_owner& slots;
    owner_stage& owner;
    rate_shares& shares;
    quarantine& crash_quarantine;
    const request_counters& counts;
    table_hooks table;
    message_sender send;
    member_table::random_source random;
    event_sink log;
  };

  fleet_agent(dependencies d, const clock_reading& clock);

  void tick();

  void on_ping(const std::string& from, const wire::pingT& m);
  void on_pong(const std::string& from, const wire::pongT& m);
  void on_share_hint(const wire::share_hintT& m);
  void on_handover(const std::string& from, const wire::slot_handoverT& m);
  void on_handover_done(const std::string& from,
                        const wire::slot_handover_doneT& m);

  gossip_agent& gossip() { return m_gossip; }

  /// Starts to hand over all slots. `handover_complete` is true when no
  /// handover is left.
  void start_handover();
  bool handover_complete() const;

  /// Returns the shares, writes the last report and announces that this node
  /// leaves. Must be the last call.
  void leave();

private:
  gossip_agent::dependencies make_gossip_dependencies();
  void tick_lease();
  void tick_slots();
  void tick_sweep();
  void tick_report();
  void tick_handover();
  void announce_slots();
  bool owner_known(std::uint32_t slot) const;
  std::string successor(std::uint32_t slot,
                        const std::set<std::string>& tried) const;
  void try_next_successor(std::uint32_t slot);
  void write_report();

  struct handover {
    std::string to_node;
    std::string to_lease;
    instant attempt_started_at{0};
    std::set<std::string> tried; ///< nodes that were sent the slot
  };

  dependencies m_dependencies;
  const clock_reading& m_clock;
  gossip_agent m_gossip;
  std::map<std::uint32_t, handover> m_handovers;
  /// Slots whose records arrived here, until this node owns them.
  std::set<std::uint32_t> m_expected_slots;
  instant m_started_at{0};
  instant m_next_slot_check_at{0};
  instant m_next_sweep_at{0};
  instant m_next_fleet_sweep_at{0};
  instant m_next_report_at{0};
  instant m_handover_starts_at{0};
  std::uint64_t m_report_version = 0;
  std::string m_last_written_report;
  bool m_started = false;
  bool m_report_busy = false;
  bool m_slots_changed = false;
  bool m_leaving = false;
};

} // namespace kingcupslip

#endif
