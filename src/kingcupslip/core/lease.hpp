// A node's right to hold shares and key slots, kept by a row in the table.
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

constexpr duration lease_duration = std::chrono::seconds(15);
constexpr duration lease_renewal_period = std::chrono::seconds(5);
/// Added by whoever waits for another's lease to end: covers clock drift.
constexpr duration clock_drift_margin = std::chrono::seconds(3);
/// How long a holder without the table goes on while its heir answers, and
/// keeps the floor of its shares when even the heir is silent.
constexpr duration outage_grace_period = std::chrono::hours(1);
constexpr duration witness_promise_duration = std::chrono::seconds(4);
constexpr std::string_view lease_prefix = "lease/";

/// The contents of a lease row.
struct lease_record {
  std::string
      witness; ///< the only node that may fence before `outage_grace_period`
  bool fenced = false;
  std::uint64_t write_count = 0; ///< makes each write's value its own
};

std::string to_json(const lease_record& r);
lease_record parse_lease(std::string_view json_text);

/// The holder's side. The right lasts from before a successful write, for
/// `lease_duration` by this node's own clock. Past that it lasts while the heir
/// promises not to fence: nobody else may, so a long outage of the table
/// takes nothing away.
///
/// Invariant: no other node treats this lease as ended while `holds()`.
class lease_holder {
public:
  lease_holder(node_identity self, table_hooks table);

  /// Renews or acquires when due. `heir` is whom to name from now on.
  void tick(const std::string& witness, instant now);

  /// Whether this node may act on what it holds under the lease.
  bool holds(instant now) const;

  /// Whether it may still use the floor of its shares.
  bool holds_floor(instant now) const;

  /// The heir answered a ping that was sent at `sent`.
  void on_witness_promise(const std::string& witness, instant sent);

  /// The heir that the table has on record; empty if none.
  const std::string& witness() const { return m_witness; }

  /// Key of the lease row; changes when a fenced lease is taken anew.
  const std::string& id() const { return m_id; }
  std::uint64_t version() const { return m_version; }

  /// Gives the lease back. Everything under it must be given up before.
  void release();

  /// Called when the lease turned out to be fenced: all rights are gone.
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
  instant m_pending_started_at{0};
};

/// Fences leases that surely ended: rows unchanged, by this node's own
/// clock, for longer than a holder may go on. An heir watches its wards once
/// they fall silent; one node per data centre looks at all rows at times.
class lease_sweeper {
public:
  lease_sweeper(std::string self, table_hooks table);

  /// Reads the rows of wards that have fallen silent.
  void tick(instant now);

  /// Looks at all rows of a data centre; at the whole fleet's where it is
  /// empty.
  void sweep(const std::string& data_centre, instant now);

  /// This node, as heir, promises not to fence the lease for a while.
  /// False where it has already begun to fence.
  bool promise_not_to_fence(const std::string& lease_id, instant now);

private:
  /// `since` is when a read began that came after the first sight of the
  /// version: a holder may renew while the first read is on its way.
  struct observed_row {
    std::uint64_t version = 0;
    std::optional<instant> since;
    bool fencing = false;
  };
  struct monitored_lease {
    instant last_heard_at{0};
    instant read_at{0};
    bool read_pending = false;
  };
  void read_monitored_lease(const std::string& lease_id, monitored_lease& lease,
                            instant now);
  void observe_row(const table_row& row, instant now);
  void fence(const table_row& row, observed_row& w);
  void reset_observation_times();

  std::string m_self;
  table_hooks m_table;
  std::map<std::string, observed_row> m_observed;
  std::map<std::string, instant> m_promises;
  std::map<std::string, monitored_lease> m_monitored;
  bool m_request_pending = false;
};

} // namespace kingcupslip

#endif
