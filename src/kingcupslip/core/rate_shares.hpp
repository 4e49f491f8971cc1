// This node's shares of the teams' rates, and the token buckets they fill.
#ifndef KINGCUPSLIP_CORE_RATE_SHARES_HPP
#define KINGCUPSLIP_CORE_RATE_SHARES_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/lease.hpp"
#include "kingcupslip/core/share_row.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/token_bucket.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Admits requests against the node's share of each team's rate and burst.
///
/// A share is lowered here before the table records it, and raised here only
/// after the table has recorded it, so the sum over all nodes never exceeds
/// the whole. The table is written only when demand has changed.
class rate_shares {
public:
  using contract_source = std::function<const contract*(const std::string&)>;
  /// Asks the holder of a lease to read a team's row again.
  using hint_sender =
      std::function<void(const std::string& lease, const std::string& team)>;

  using random_source = std::function<std::uint64_t()>;

  rate_shares(const lease_holder& lease, table_hooks table,
              contract_source contracts, hint_sender hint,
              random_source random);

  /// Counts one request as demand; called once for each request.
  void count_demand(const std::string& team, instant now);

  /// Takes a token for a counted request; false if there is none.
  bool take(const std::string& team, instant now);

  /// Expected time until a token is available to a request behind `ahead`
  /// others, from the share held or from one that is being requested.
  /// `duration::max()` if none is expected.
  duration expected_wait(const std::string& team, std::size_t ahead,
                         instant now);

  /// Follows the lease, measures demand and reconciles rows that need it.
  void tick(instant now);

  /// Another node wants or gave up a part of this team's rate.
  void on_hint(const std::string& team, instant now);

  /// The lease was lost: drops all shares.
  void drop_all(instant now);

  /// Gives back all shares, for a graceful shutdown.
  void return_all(instant now);

  /// The share held, in parts per million.
  std::uint32_t held(const std::string& team) const;

private:
  struct team_share {
    token_bucket bucket;
    std::uint32_t held = 0;
    double demand_per_s = 0; ///< smoothed
    std::uint32_t request_count = 0;
    std::uint32_t token_misses = 0;    ///< requests that found no token
    std::uint32_t recorded_wanted = 0; ///< as recorded in the row
    instant last_request_at{0};
    instant next_reconcile_at{0};   ///< earliest time; limits table calls
    duration reconcile_interval{0}; ///< doubles until the share grows
    std::uint32_t conflicts = 0;    ///< consecutive
    bool hinted = false;            ///< a hint came since the row was read
    bool reconciling = false;
  };

  void measure_demand(team_share& state, duration span) const;
  void reconcile_where_needed(instant now);
  static bool is_idle(const team_share& state, instant now);
  std::uint32_t wanted_share(const team_share& state, const contract& c,
                             instant now) const;
  bool needs_reconciling(const team_share& state,
                         std::uint32_t wanted_now) const;
  void update_bucket(const std::string& team, team_share& state, instant now);
  void reconcile(const std::string& team, instant now);
  void on_row_read(const std::string& team, std::uint64_t version,
                   share_row row, instant started_at);
  /// Reclaims shares of other entries whose leases have ended. Each is written
  /// in a transaction of its own, which fails if the row or the lease changed
  /// meanwhile.
  void reclaim(const std::string& team, const share_row& row);
  void reclaim_from_ended_lease(const std::string& team,
                                const std::string& lease,
                                const std::vector<table_row>& lease_rows);
  static bool reclaim_entry(share_row& row, const std::string& lease,
                            bool keep_floor);
  void commit_row(const std::string& team, std::uint64_t version,
                  const share_row& row, std::uint32_t new_held,
                  const std::vector<std::string>& leases_to_hint);
  void back_off_after_conflict(team_share& state);

  const lease_holder& m_lease;
  table_hooks m_table;
  contract_source m_contracts;
  hint_sender m_hint;
  random_source m_random;
  instant m_now{0};
  std::map<std::string, team_share> m_teams;
  instant m_measured_at{0};
  bool m_returned = false;
};

} // namespace kingcupslip

#endif
