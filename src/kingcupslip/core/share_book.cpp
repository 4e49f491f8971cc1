// Settling of shares with the table, and admission against them.
#include "kingcupslip/core/share_book.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

constexpr double smoothing = 0.5;
constexpr double head_room = 1.25;
constexpr duration measure_span = std::chrono::milliseconds(500);
constexpr duration settle_spacing = std::chrono::milliseconds(700);
/// A team that asked nothing here for this long gives its share back.
constexpr duration idle_span = std::chrono::seconds(30);
constexpr double us_per_s = 1e6;
constexpr std::chrono::seconds wait_without_share{1};

std::string row_key(const std::string& team) { return "share/" + team; }

} // namespace

share_book::share_book(const lease_holder& lease, table_hooks table,
                       contract_source contracts, hint_sender hint)
    : m_lease(lease), m_table(std::move(table)),
      m_contracts(std::move(contracts)), m_hint(std::move(hint)) {}

bool share_book::admit(const std::string& team, instant now, duration& wait) {
  team_share& s = m_teams[team];
  ++s.asked;
  s.asked_at = now;
  apply(team, s, now);
  if (s.bucket.take(now)) {
    return true;
  }
  ++s.refused;
  const duration until = s.bucket.until_token(now);
  wait = until == duration::max() ? duration(wait_without_share) : until;
  return false;
}

void share_book::tick(instant now) {
  if (m_returned || now - m_ticked_at < measure_span) {
    return;
  }
  const duration span = now - m_ticked_at;
  m_ticked_at = now;
  for (std::pair<const std::string, team_share>& it : m_teams) {
    team_share& s = it.second;
    measure(s, span);
    apply(it.first, s, now);
    const contract* c = m_contracts(it.first);
    if (c == nullptr || s.busy || now < s.settle_at) {
      continue;
    }
    if (needs_settling(s, wanted(s, *c, now))) {
      settle(it.first, now);
    }
  }
}

void share_book::on_hint(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end() || m_returned) {
    return;
  }
  if (!it->second.busy) {
    settle(team, now);
  }
}

void share_book::drop_all(instant now) {
  for (std::pair<const std::string, team_share>& it : m_teams) {
    it.second.held = 0;
    it.second.told_wanted = 0;
    it.second.settle_at = now;
    apply(it.first, it.second, now);
  }
}

void share_book::return_all(instant now) {
  m_returned = true;
  for (std::pair<const std::string, team_share>& it : m_teams) {
    it.second.held = 0;
    apply(it.first, it.second, now);
    settle(it.first, now);
  }
}

std::uint32_t share_book::held(const std::string& team) const {
  const auto it = m_teams.find(team);
  return it == m_teams.end() ? 0 : it->second.held;
}

void share_book::measure(team_share& s, duration span) const {
  const double seconds = static_cast<double>(span.count()) / us_per_s;
  const double now_per_s = s.asked / std::max(seconds, 1e-6);
  // Rises at once, falls smoothly: a lull must not give a share away that
  // is wanted again a moment later.
  s.asked_per_s = now_per_s > s.asked_per_s
                      ? now_per_s
                      : s.asked_per_s * (1 - smoothing * seconds) +
                            now_per_s * smoothing * seconds;
  s.asked = 0;
}

std::uint32_t share_book::wanted(const team_share& s, const contract& c,
                                 instant now) const {
  if (m_returned || now - s.asked_at > idle_span) {
    return 0;
  }
  // A share that holds less than one token of burst could admit nothing.
  const double least = std::min(1.0, 2.0 / c.burst);
  const double want = s.asked_per_s * head_room / c.rate_per_s;
  const double share = std::clamp(want, least, 1.0);
  return static_cast<std::uint32_t>(share * whole_share);
}

bool share_book::needs_settling(const team_share& s,
                                std::uint32_t want) const {
  const bool starving = s.held < want && (s.refused > 0 || s.held == 0);
  const bool idle = want == 0 && s.held > 0;
  const bool wants_more = want > s.told_wanted + s.told_wanted / 4;
  return idle || ((starving || wants_more) && want > 0);
}

void share_book::apply(const std::string& team, team_share& s, instant now) {
  const contract* c = m_contracts(team);
  std::uint32_t usable = 0;
  if (m_lease.holds(now)) {
    usable = s.held;
  } else if (m_lease.holds_floor(now)) {
    usable = floor_of(s.held);
  }
  const double share =
      c == nullptr ? 0 : static_cast<double>(usable) / whole_share;
  const double rate = c == nullptr ? 0 : c->rate_per_s * share;
  const double burst = c == nullptr ? 0 : c->burst * share;
  if (rate != s.bucket.rate_per_s() || burst != s.bucket.burst()) {
    s.bucket.resize(rate, burst, now);
  }
}

void share_book::settle(const std::string& team, instant now) {
  team_share& s = m_teams[team];
  if (!m_lease.holds(now)) {
    return;
  }
  s.busy = true;
  s.settle_at = now + settle_spacing;
  const std::string key = row_key(team);
  m_table.read({key, "", 1}, [this, team, key,
                              now](table_status status,
                                   const std::vector<table_row>& rows) {
    if (status != table_status::ok) {
      m_teams[team].busy = false;
      return;
    }
    const bool there = !rows.empty() && rows.front().key == key;
    on_row(team, there ? rows.front().version : 0,
           there ? parse_share_row(rows.front().value) : share_row{}, now);
  });
}

void share_book::on_row(const std::string& team, std::uint64_t version,
                        share_row row, instant began) {
  team_share& s = m_teams[team];
  const contract* c = m_contracts(team);
  const std::uint32_t want = c == nullptr ? 0 : wanted(s, *c, began);
  if (row.find(m_lease.id()) == nullptr) {
    row.entries.push_back({m_lease.id(), 0, 0, false});
    // Only this node writes its entry while its lease stands: without an
    // entry it holds nothing.
    s.held = 0;
  }
  share_entry& mine = *row.find(m_lease.id());
  const std::uint32_t on_record = mine.held;
  mine.wanted = want;
  const std::vector<std::uint32_t> due = fair_shares(row);
  const std::size_t index =
      static_cast<std::size_t>(&mine - row.entries.data());
  const std::uint32_t others = row.total_held() - on_record;
  const std::uint32_t room = whole_share - std::min(whole_share, others);
  const std::uint32_t target =
      m_returned ? 0 : std::min(due[index], room);
  // Giving up comes first, here and now; the table learns of it after.
  s.held = std::min({s.held, target, on_record});
  apply(team, s, began);
  mine.held = target;
  if (target < due[index]) {
    for (std::size_t i = 0; i < row.entries.size(); ++i) {
      const share_entry& it = row.entries[i];
      if (i != index && it.held > due[i]) {
        m_hint(it.lease, team);
      }
    }
    reclaim(team, row);
  }
  if (want == 0 && target == 0) {
    row.entries.erase(row.entries.begin() +
                      static_cast<std::ptrdiff_t>(index));
  }
  s.refused = 0;
  commit(team, version, row, target);
  s.told_wanted = want;
}

void share_book::commit(const std::string& team, std::uint64_t version,
                        const share_row& row, std::uint32_t held_after) {
  const std::string lease = m_lease.id();
  table_transaction writes{
      {row_key(team), version, to_json(row), false},
      {lease, m_lease.version(), std::nullopt, true}};
  m_table.commit(std::move(writes),
                 [this, team, lease, held_after](table_status status,
                                                 std::uint64_t) {
                   team_share& s = m_teams[team];
                   s.busy = false;
                   const bool recorded = status == table_status::ok &&
                                         lease == m_lease.id();
                   if (recorded) {
                     s.held = held_after;
                   } else {
                     s.told_wanted = 0;
                   }
                 });
}

void share_book::reclaim(const std::string& team, const share_row& row) {
  for (const share_entry& it : row.entries) {
    if (it.lease == m_lease.id()) {
      continue;
    }
    const std::string lease = it.lease;
    m_table.read({lease, "", 1},
                 [this, team, lease](table_status status,
                                     const std::vector<table_row>& rows) {
                   if (status == table_status::ok) {
                     reclaim_ended(team, lease, rows);
                   }
                 });
  }
}

void share_book::reclaim_ended(const std::string& team,
                               const std::string& lease,
                               const std::vector<table_row>& lease_rows) {
  const bool there = !lease_rows.empty() && lease_rows.front().key == lease;
  if (there && !parse_lease(lease_rows.front().value).fenced) {
    return;
  }
  const std::uint64_t lease_version =
      there ? lease_rows.front().version : 0;
  const std::string key = row_key(team);
  m_table.read({key, "", 1}, [this, key, lease, there, lease_version](
                                 table_status status,
                                 const std::vector<table_row>& rows) {
    if (status != table_status::ok || rows.empty() ||
        rows.front().key != key) {
      return;
    }
    share_row row = parse_share_row(rows.front().value);
    if (!take_back(row, lease, there)) {
      return;
    }
    m_table.commit({{key, rows.front().version, to_json(row), false},
                    {lease, lease_version, std::nullopt, true}},
                   [](table_status, std::uint64_t) {});
  });
}

bool share_book::take_back(share_row& row, const std::string& lease,
                           bool floor_stays) {
  share_entry* e = row.find(lease);
  if (e == nullptr) {
    return false;
  }
  if (!floor_stays) {
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
