// Leases: rows in the table on which a node's rate shares and key slots depend.
#ifndef KINGCUPSLIP_CORE_LEASE_HPP
#define KINGCUPSLIP_CORE_LEASE_HPP

#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupslip {

/// Validity of a lease after the start of its last renewal.
constexpr duration lease_duration = std::chrono::seconds(15);
constexpr duration lease_renewal_period = std::chrono::seconds(5);
/// Added to every wait for another node's lease to end; covers clock drift.
constexpr duration clock_drift_margin = std::chrono::seconds(3);
/// Time since the last renewal for which a holder that cannot reach the table
/// keeps its lease while its witness answers, and keeps the floor of its shares
/// even if the witness does not answer.
constexpr duration outage_grace_period = std::chrono::hours(1);
/// Validity of a witness's promise, counted from when the ping was sent.
constexpr duration witness_promise_duration = std::chrono::seconds(4);
constexpr std::string_view lease_prefix = "lease/";

/// The value of a lease row.
struct lease_record {
  /// The only node that may fence the lease before `outage_grace_period` has
  /// passed; `heir` in JSON.
  std::string witness;
  bool fenced = false;
  std::uint64_t write_count = 0; ///< makes every value unique; `beat` in JSON
};

std::string to_json(const lease_record& r);
/// Returns an empty record if the text is not a JSON object.
lease_record parse_lease(std::string_view json_text);

/// Acquires and renews the lease of this node. The lease is valid for
/// `lease_duration` by this node's clock, counted from the start of the last
/// successful write. After that it stays valid, for up to
/// `outage_grace_period`, while the witness promises not to fence it. No other
/// node may fence it in that time, so the holder keeps its shares and slots
/// during a long outage of the table.
///
/// Invariant: while `holds()` is true, no other node treats the lease as ended.
class lease_holder {
public:
  lease_holder(node_identity self, table_hooks table);

  /// Acquires or renews the lease when due, and names `witness` in its row.
  void tick(const std::string& witness, instant now);

  /// Whether the lease is valid: this node may use the shares and slots that
  /// depend on it.
  bool holds(instant now) const;

  /// Whether this node may use the floor of its shares.
  bool holds_floor(instant now) const;

  /// Records the promise of a witness that answered a ping sent at `sent`.
  void on_witness_promise(const std::string& witness, instant sent);

  /// The witness named in the lease row; empty if there is none.
  const std::string& witness() const { return m_witness; }

  /// Key of the lease row. Changes after the lease was fenced, because a new
  /// lease gets a new row.
  const std::string& id() const { return m_id; }
  std::uint64_t version() const { return m_version; }

  /// Deletes the lease row. Everything that depends on the lease must have been
  /// released before.
  void release();

  /// Sets the hook that is called when the lease row was found fenced or gone.
  void set_on_lost(std::function<void()> hook) { m_on_lost = std::move(hook); }

private:
  void write(const std::string& witness, instant now);
  void on_written(table_status status, std::uint64_t version,
                  const std::string& witness, instant started_at);
  void read_own_row();
  void on_fenced();
  void update_id();

  node_identity m_self;
  table_hooks m_table;
  std::function<void()> m_on_lost;
  std::uint32_t m_generation = 0;
  std::string m_id;
  std::string m_witness;
  std::uint64_t m_version = 0;
  instant m_renewed_at{0};
  bool m_acquired = false;
  instant m_promised_until{0};
  instant m_next_write_at{0};
  bool m_request_pending = false;
  bool m_released = false;
  std::uint64_t m_write_count = 0;
  std::string m_pending_value;
  instant m_pending_started_at{0}; ///< start of the last write
};

/// Fences leases that have certainly ended: those whose rows did not change, by
/// this node's clock, for longer than a holder may use them. A witness checks
/// the leases it monitors when their holders stop sending pings. In addition,
/// one node per data centre checks all rows periodically.
class lease_sweeper {
public:
  lease_sweeper(std::string self, table_hooks table);

  /// Reads the rows of monitored leases whose holders are silent.
  void tick(instant now);

  /// Checks all lease rows of a data centre, or of the whole fleet if the name
  /// is empty.
  void sweep(const std::string& data_centre, instant now);

  /// Promises, as the witness of the lease, not to fence it for
  /// `witness_promise_duration`. Returns false if this node has already started
  /// to fence it.
  bool promise_not_to_fence(const std::string& lease_id, instant now);

private:
  /// A lease row as last read. `since` is the start of a later read that
  /// returned the same version. The first read does not count, because the
  /// holder may have renewed the lease while it was in progress.
  struct observed_row {
    std::uint64_t version = 0;
    std::optional<instant> since;
    bool fencing = false;
  };
  /// A lease for which this node is the witness.
  struct monitored_lease {
    instant last_heard_at{0};
    instant read_at{0};
    bool read_pending = false;
  };
  void read_monitored_lease(const std::string& lease_id, monitored_lease& lease,
                            instant now);
  void observe_row(const table_row& row, instant now);
  void fence(const table_row& row, observed_row& observed);
  void reset_observation_times();

  std::string m_self;
  table_hooks m_table;
  std::map<std::string, observed_row> m_observed;
  std::map<std::string, instant> m_promises; ///< end of each, by lease id
  std::map<std::string, monitored_lease> m_monitored;
  bool m_request_pending = false;
};

} // namespace kingcupslip

#endif
