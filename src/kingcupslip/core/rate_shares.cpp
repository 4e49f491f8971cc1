// Reconciliation of shares with the table, and admission against them.
#include "kingcupslip/core/rate_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

constexpr double demand_decay_per_s = 1;
constexpr double demand_headroom_factor = 1.25;
constexpr duration measure_period = std::chrono::milliseconds(500);
constexpr duration min_reconcile_interval = std::chrono::milliseconds(100);
constexpr duration max_reconcile_interval = std::chrono::milliseconds(1600);
/// A team is idle once no request has arrived for the time in which this many
/// were expected. An idle team wants no share; what is held stays until
/// another node wants it.
constexpr double idle_after_requests = 6;
constexpr double min_idle_s = 0.1;
constexpr double max_idle_s = 2;
/// Time for the receiver of a hint to give up its part.
constexpr duration reconcile_after_hint = std::chrono::milliseconds(40);
constexpr duration conflict_backoff_slot = std::chrono::milliseconds(5);
constexpr std::uint32_t max_conflict_doublings = 6;
constexpr double min_share_rate_per_s = 20;
constexpr double max_min_share = 0.25;
/// Covers reading and writing the row, and possibly both again after a hint.
constexpr duration first_share_delay = std::chrono::milliseconds(150);
constexpr std::size_t max_waiting_for_share = 64;

std::string row_key(const std::string& team) { return "share/" + team; }

} // namespace

rate_shares::rate_shares(const lease_holder& lease, table_hooks table,
                         contract_source contracts, hint_sender hint,
                         random_source random)
    : m_lease(lease), m_table(std::move(table)),
      m_contracts(std::move(contracts)), m_hint(std::move(hint)),
      m_random(std::move(random)) {}

void rate_shares::count_demand(const std::string& team, instant now) {
  team_share& state = m_teams[team];
  ++state.request_count;
  state.last_request_at = now;
}

bool rate_shares::take(const std::string& team, instant now) {
  team_share& state = m_teams[team];
  update_bucket(team, state, now);
  const bool taken = state.bucket.take(now);
  state.token_misses += taken ? 0 : 1;
  return taken;
}

duration rate_shares::expected_wait(const std::string& team, std::size_t ahead,
                                    instant now) {
  team_share& state = m_teams[team];
  if (state.held == 0) {
    const bool coming =
        m_lease.holds(now) && !m_returned && ahead < max_waiting_for_share;
    return coming ? first_share_delay : duration::max();
  }
  const duration first = state.bucket.time_until_token(now);
  if (first == duration::max() || state.bucket.rate_per_s() <= 0) {
    return duration::max();
  }
  const double more_us =
      static_cast<double>(ahead) / state.bucket.rate_per_s() * us_per_s;
  return first + duration(static_cast<duration::rep>(more_us));
}

void rate_shares::tick(instant now) {
  m_now = now;
  if (m_returned) {
    return;
  }
  const duration span = now - m_measured_at;
  if (span >= measure_period) {
    m_measured_at = now;
    for (std::pair<const std::string, team_share>& it : m_teams) {
      measure_demand(it.second, span);
    }
  }
  reconcile_where_needed(now);
}

void rate_shares::reconcile_where_needed(instant now) {
  for (std::pair<const std::string, team_share>& it : m_teams) {
    team_share& state = it.second;
    update_bucket(it.first, state, now);
    const contract* c = m_contracts(it.first);
    if (c == nullptr || state.reconciling || now < state.next_reconcile_at) {
      continue;
    }
    if (needs_reconciling(state, wanted_share(state, *c, now))) {
      reconcile(it.first, now);
    }
  }
}

void rate_shares::on_hint(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end() || m_returned) {
    return;
  }
  it->second.hinted = true;
  if (!it->second.reconciling) {
    reconcile(team, now);
  }
}

void rate_shares::drop_all(instant now) {
  for (std::pair<const std::string, team_share>& it : m_teams) {
    it.second.held = 0;
    it.second.recorded_wanted = 0;
    it.second.next_reconcile_at = now;
    update_bucket(it.first, it.second, now);
  }
}

void rate_shares::return_all(instant now) {
  m_returned = true;
  for (std::pair<const std::string, team_share>& it : m_teams) {
    it.second.held = 0;
    update_bucket(it.first, it.second, now);
    reconcile(it.first, now);
  }
}

std::uint32_t rate_shares::held(const std::string& team) const {
  const auto it = m_teams.find(team);
  return it == m_teams.end() ? 0 : it->second.held;
}

void rate_shares::measure_demand(team_share& state, duration span) const {
  const double seconds = static_cast<double>(span.count()) / us_per_s;
  const double measured_per_s = state.request_count / std::max(seconds, 1e-6);
  // Demand rises at once and decays smoothly, so that a short lull does not
  // give away a share that is wanted again a moment later.
  state.demand_per_s =
      measured_per_s > state.demand_per_s
          ? measured_per_s
          : state.demand_per_s * (1 - demand_decay_per_s * seconds) +
                measured_per_s * demand_decay_per_s * seconds;
  state.request_count = 0;
}

bool rate_shares::is_idle(const team_share& state, instant now) {
  const double expected_s =
      idle_after_requests /
      std::max(state.demand_per_s, idle_after_requests / max_idle_s);
  const double idle_s = std::max(min_idle_s, expected_s);
  return static_cast<double>((now - state.last_request_at).count()) >
         idle_s * us_per_s;
}

std::uint32_t rate_shares::wanted_share(const team_share& state,
                                        const contract& c, instant now) const {
  if (m_returned || is_idle(state, now)) {
    return 0;
  }
  // A share with a burst below one token could admit nothing, and one that
  // refills too slowly would keep the first requests waiting.
  const double min_share =
      std::min(max_min_share,
               std::max(2.0 / c.burst, min_share_rate_per_s / c.rate_per_s));
  const double span_s = static_cast<double>(measure_period.count()) / us_per_s;
  const double demand_per_s =
      std::max(state.demand_per_s, state.request_count / span_s);
  const double wanted_now =
      demand_per_s * demand_headroom_factor / c.rate_per_s;
  const double share = std::clamp(wanted_now, min_share, 1.0);
  return static_cast<std::uint32_t>(share * full_share_ppm);
}

bool rate_shares::needs_reconciling(const team_share& state,
                                    std::uint32_t wanted_now) const {
  const bool starving =
      state.held < wanted_now && (state.token_misses > 0 || state.held == 0);
  const bool wants_more =
      wanted_now > state.recorded_wanted + state.recorded_wanted / 4;
  // Other nodes compute their shares from what the row says this node wants.
  const bool wants_less = wanted_now < state.recorded_wanted / 2;
  return wants_less || (wanted_now > 0 && (starving || wants_more));
}

void rate_shares::update_bucket(const std::string& team, team_share& state,
                                instant now) {
  const contract* c = m_contracts(team);
  std::uint32_t usable = 0;
  if (m_lease.holds(now)) {
    usable = state.held;
  } else if (m_lease.holds_floor(now)) {
    usable = floor_of(state.held);
  }
  const double share =
      c == nullptr ? 0 : static_cast<double>(usable) / full_share_ppm;
  const double rate = c == nullptr ? 0 : c->rate_per_s * share;
  const double burst = c == nullptr ? 0 : c->burst * share;
  if (rate != state.bucket.rate_per_s() || burst != state.bucket.burst()) {
    state.bucket.resize(rate, burst, now);
  }
}

void rate_shares::reconcile(const std::string& team, instant now) {
  team_share& state = m_teams[team];
  if (!m_lease.holds(now)) {
    return;
  }
  state.reconciling = true;
  state.reconcile_interval =
      std::clamp(state.reconcile_interval * 2, min_reconcile_interval,
                 max_reconcile_interval);
  state.next_reconcile_at = now + state.reconcile_interval;
  const std::string key = row_key(team);
  m_table.read({key, "", 1}, [this, team, key,
                              now](table_status status,
                                   const std::vector<table_row>& rows) {
    if (status != table_status::ok) {
      m_teams[team].reconciling = false;
      return;
    }
    const bool found = !rows.empty() && rows.front().key == key;
    on_row_read(team, found ? rows.front().version : 0,
                found ? parse_share_row(rows.front().value) : share_row{}, now);
  });
}

void rate_shares::on_row_read(const std::string& team, std::uint64_t version,
                              share_row row, instant started_at) {
  team_share& state = m_teams[team];
  const std::string json_before = to_json(row);
  const contract* c = m_contracts(team);
  const std::uint32_t wanted_now =
      c == nullptr ? 0 : wanted_share(state, *c, started_at);
  if (row.find(m_lease.id()) == nullptr) {
    row.entries.push_back({m_lease.id(), 0, 0, false});
    // Only this node writes its entry while its lease is valid, so without an
    // entry it holds nothing.
    state.held = 0;
  }
  share_entry& own_entry = *row.find(m_lease.id());
  const std::uint32_t recorded_held = own_entry.held;
  own_entry.wanted = wanted_now;
  const std::vector<std::uint32_t> fair_by_entry = fair_shares(row);
  const std::size_t own_index =
      static_cast<std::size_t>(&own_entry - row.entries.data());
  const std::uint32_t held_by_others = row.total_held() - recorded_held;
  const std::uint32_t available =
      full_share_ppm - std::min(full_share_ppm, held_by_others);
  // A share that no node wants stays with the node that wanted it last.
  const std::uint32_t desired_held = wanted_now == 0 && !state.hinted
                                         ? std::min(state.held, recorded_held)
                                         : fair_by_entry[own_index];
  const std::uint32_t new_held =
      m_returned ? 0 : std::min(desired_held, available);
  // A share is lowered here before the table records it.
  state.held = std::min({state.held, new_held, recorded_held});
  update_bucket(team, state, started_at);
  own_entry.held = new_held;
  // Hints go to holders of more than their fair share if this node lacks some
  // of its own, and to holders of less if this node gives some up.
  std::vector<std::string> leases_to_hint;
  for (std::size_t i = 0; i < row.entries.size(); ++i) {
    const share_entry& it = row.entries[i];
    const bool exceeds_fair_share =
        new_held < fair_by_entry[own_index] && it.held > fair_by_entry[i];
    const bool below_fair_share =
        new_held < recorded_held && it.held < fair_by_entry[i];
    if (i != own_index && (exceeds_fair_share || below_fair_share)) {
      leases_to_hint.push_back(it.lease);
    }
  }
  if (new_held < fair_by_entry[own_index]) {
    reclaim(team, row);
  }
  if (wanted_now == 0 && new_held == 0) {
    row.entries.erase(row.entries.begin() +
                      static_cast<std::ptrdiff_t>(own_index));
  }
  state.token_misses = 0;
  state.hinted = false;
  state.recorded_wanted = wanted_now;
  if (to_json(row) == json_before) {
    state.held = new_held;
    state.reconciling = false;
    for (const std::string& it : leases_to_hint) {
      m_hint(it, team);
    }
    return;
  }
  commit_row(team, version, row, new_held, leases_to_hint);
}

void rate_shares::commit_row(const std::string& team, std::uint64_t version,
                             const share_row& row, std::uint32_t new_held,
                             const std::vector<std::string>& leases_to_hint) {
  const std::string lease = m_lease.id();
  table_transaction writes{{row_key(team), version, to_json(row), false},
                           {lease, m_lease.version(), std::nullopt, true}};
  m_table.commit(
      std::move(writes), [this, team, lease, new_held,
                          leases_to_hint](table_status status, std::uint64_t) {
        team_share& state = m_teams[team];
        state.reconciling = false;
        if (status != table_status::ok || lease != m_lease.id()) {
          state.recorded_wanted = 0;
          if (status == table_status::conflict) {
            back_off_after_conflict(state);
          }
          return;
        }
        state.conflicts = 0;
        state.reconcile_interval =
            new_held > state.held ? duration(0) : state.reconcile_interval;
        state.held = new_held;
        // Hints are sent only now that the row says what this node wants or
        // gives up: a node that read the row earlier would change nothing.
        for (const std::string& it : leases_to_hint) {
          m_hint(it, team);
          state.next_reconcile_at = m_now + reconcile_after_hint;
        }
      });
}

void rate_shares::back_off_after_conflict(team_share& state) {
  // Other nodes reconcile the same row: randomized exponential backoff.
  state.conflicts = std::min(state.conflicts + 1, max_conflict_doublings);
  const std::uint64_t slots = 1ULL << state.conflicts;
  state.next_reconcile_at =
      m_now + conflict_backoff_slot * static_cast<int>(1 + m_random() % slots);
}

void rate_shares::reclaim(const std::string& team, const share_row& row) {
  for (const share_entry& it : row.entries) {
    if (it.lease == m_lease.id()) {
      continue;
    }
    const std::string lease = it.lease;
    m_table.read({lease, "", 1},
                 [this, team, lease](table_status status,
                                     const std::vector<table_row>& rows) {
                   if (status == table_status::ok) {
                     reclaim_from_ended_lease(team, lease, rows);
                   }
                 });
  }
}

void rate_shares::reclaim_from_ended_lease(
    const std::string& team, const std::string& lease,
    const std::vector<table_row>& lease_rows) {
  const bool found = !lease_rows.empty() && lease_rows.front().key == lease;
  if (found && !parse_lease(lease_rows.front().value).fenced) {
    return;
  }
  const std::uint64_t lease_version = found ? lease_rows.front().version : 0;
  const std::string key = row_key(team);
  m_table.read({key, "", 1}, [this, key, lease, found, lease_version](
                                 table_status status,
                                 const std::vector<table_row>& rows) {
    if (status != table_status::ok || rows.empty() || rows.front().key != key) {
      return;
    }
    share_row row = parse_share_row(rows.front().value);
    if (!reclaim_entry(row, lease, found)) {
      return;
    }
    m_table.commit({{key, rows.front().version, to_json(row), false},
                    {lease, lease_version, std::nullopt, true}},
                   [](table_status, std::uint64_t) {});
  });
}

bool rate_shares::reclaim_entry(share_row& row, const std::string& lease,
                                bool keep_floor) {
  share_entry* e = row.find(lease);
  if (e == nullptr) {
    return false;
  }
  if (!keep_floor) {
    row.entries.erase(row.entries.begin() + (e - row.entries.data()));
    return true;
  }
  if (e->floor_only) {
    return false;
  }
  e->held = floor_of(e->held);
  e->floor_only = true;
  return true;
}

} // namespace kingcupslip
