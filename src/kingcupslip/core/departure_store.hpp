// Keeps the departures of a node's target in the table, beyond its processes.
#ifndef KINGCUPSLIP_CORE_DEPARTURE_STORE_HPP
#define KINGCUPSLIP_CORE_DEPARTURE_STORE_HPP

#include "kingcupslip/core/departed_instances.hpp"
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupslip {

/// Writes the departures of this node's target to a row of the table and reads
/// those that earlier processes of the node have written.
///
/// A departure may be acknowledged once it is recorded. Until the earlier ones
/// are known, no announcement can be told from a delayed one.
///
/// Invariant: at most one call to the table is pending.
class departure_store {
public:
  /// Receives whether the departures were recorded in time.
  using record_handler = std::function<void(bool recorded)>;

  struct dependencies {
    node_identity self;
    table_hooks table;
    departed_instances& departed;
    /// Whether this node removes the rows of nodes that no longer do it.
    std::function<bool()> is_sweeper;
    /// Called whenever departures of earlier processes were added.
    std::function<void()> on_learned;
    /// Called with a departure at this node that another one has told.
    std::function<void(const wire::target_noticeT&)> on_own_departure;
    event_sink log;
  };

  departure_store(dependencies d, const clock_reading& clock);

  void tick();

  /// Calls the handler once all departures that are known now are in the
  /// table, or after a timeout. It is called exactly once, unless this process
  /// ends before.
  void when_recorded(record_handler handler);

  /// Whether the departures of earlier processes of this node are known, from
  /// the table or from another node.
  bool known() const { return m_own_row_read || m_confirmed; }
  /// Whether those at all nodes are known, so that this node can tell others.
  bool complete() const { return m_complete; }
  /// Whether this node needs the list of another one, as it does not get it
  /// from the table.
  bool wants_list() const { return !m_complete && m_read_failed; }

  /// Departures that were not acknowledged because they were not recorded in
  /// time, so far.
  std::uint64_t unrecorded() const { return m_unrecorded; }

  /// Another node, whose knowledge is complete, has told what it knows of the
  /// departures at this one.
  void on_confirmed_by_peer(const std::string& peer);

  /// An instance has left at another node.
  void on_departure_at(const std::string& node, const wire::target_noticeT& n);
  /// Another node has told its complete list.
  void on_list(const std::string& peer, const wire::departure_listT& list);

  /// The last departure at another node; null if none is known.
  const wire::target_noticeT* notice_of(const std::string& node) const;
  /// The last departure at each node, this one included.
  std::unique_ptr<wire::departure_listT> list() const;

  /// The table was restored from an older copy, which may lack the row.
  void on_table_restored();

private:
  struct waiting_handler {
    std::uint64_t revision = 0;
    instant deadline{0};
    record_handler handler;
  };

  /// Whether the row holds the departures to keep, and no others.
  bool row_current() const;
  /// Departures that are recent enough to be kept in the table. The others stay
  /// in memory only, so that nodes that report them do not renew them.
  std::vector<departure> kept_departures() const;
  using row_handler = std::function<void(const std::vector<table_row>&)>;

  /// Reads the rows whose keys begin with the prefix; `handler` is not called
  /// if that fails.
  void read_rows(const std::string& prefix, std::size_t row_limit,
                 const row_handler& handler);
  /// Logs the row if it has no departure that can be read.
  std::vector<departure> departures_in(const table_row& row) const;
  void read_all_rows();
  /// Reads the own row again, which another process may have changed or a write
  /// of unknown outcome may have written.
  void read_own_row();
  void on_own_row(const table_row* row);
  void write();
  void sweep();
  void remove_old(const std::vector<table_row>& rows);
  void answer_waiting();
  void log_known(const std::string& source) const;

  dependencies m_dependencies;
  const clock_reading& m_clock;
  std::string m_key;
  std::vector<waiting_handler> m_waiting;
  std::map<std::string, wire::target_noticeT> m_notices; ///< by other node
  std::uint64_t m_version = 0; ///< of the own row; 0: not in the table
  std::uint64_t m_recorded_revision = 0;
  std::uint64_t m_unrecorded = 0;
  wall_time m_oldest_in_row = wall_time::max();
  instant m_next_read_at{0};
  instant m_next_write_at{0};
  instant m_next_sweep_at{0};
  bool m_version_known = false;
  bool m_call_pending = false;
  bool m_read = false;        ///< all rows
  bool m_read_failed = false; ///< the last one
  bool m_complete = false;
  bool m_own_row_read = false;
  bool m_confirmed = false;
};

} // namespace kingcupslip

#endif
