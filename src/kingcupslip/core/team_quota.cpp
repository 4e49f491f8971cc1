// Home nodes of a team's rate, and lending of tokens between nodes.
#include "kingcupslip/core/team_quota.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

/// Borrowed tokens lapse so long after the last ones arrived.
constexpr duration borrowed_token_lifetime = std::chrono::milliseconds(300);
/// The next home is asked after so long without an answer.
constexpr duration ask_timeout = std::chrono::milliseconds(15);
/// Longest time for which a home holds an ask that it cannot serve yet.
constexpr std::chrono::milliseconds max_hold{200};
constexpr std::size_t max_homes_asked = 4;
constexpr std::uint32_t max_tokens_asked = 32;
/// Expected wait for a token while another home may lend one.
constexpr duration expected_loan_wait = std::chrono::milliseconds(60);
/// How often the homes are adapted to the membership.
constexpr duration member_check_period = std::chrono::milliseconds(100);

/// Minimum burst of a home's bucket, except where the team's is very small.
constexpr double min_tokens_per_home = 2;
/// Limits the part of the rate that is lost with one home.
constexpr std::size_t min_homes = 2;

/// A bucket with a burst below one token would never hold a whole one.
double usable_burst(const team_settings& t) { return std::max(1.0, t.burst); }

std::size_t home_count_for(double burst) {
  const std::size_t whole_tokens = static_cast<std::size_t>(burst);
  const std::size_t homes_by_burst =
      static_cast<std::size_t>(burst / min_tokens_per_home);
  return std::max(homes_by_burst, std::min(min_homes, whole_tokens));
}

} // namespace

team_quota::team_quota(member_table& members, message_sender send,
                       member_table::random_source random)
    : m_members(members), m_send(std::move(send)), m_random(std::move(random)) {
}

void team_quota::apply(const route_table& table, instant now) {
  std::map<std::string, team_state> next;
  for (const team_settings& it : table.teams()) {
    const auto known_it = m_teams.find(it.name);
    team_state state;
    if (known_it != m_teams.end()) {
      state = std::move(known_it->second);
    }
    state.rate_per_s = it.rate_per_s;
    state.burst = usable_burst(it);
    assign_homes(it.name, state, now);
    next.emplace(it.name, std::move(state));
  }
  m_teams = std::move(next);
}

void team_quota::tick(instant now) {
  follow_membership(now);
  for (std::pair<const std::string, team_state>& it : m_teams) {
    serve_held_asks(it.first, it.second, now);
  }
}

void team_quota::follow_membership(instant now) {
  if (now - m_members_checked_at < member_check_period) {
    return;
  }
  m_members_checked_at = now;
  // Members that are out of reach may be serving on the other side of a
  // partition, so they keep their parts; only those that left give theirs up.
  const std::uint64_t membership_hash = m_members.membership_hash();
  if (membership_hash == m_known_membership_hash) {
    return;
  }
  m_known_membership_hash = membership_hash;
  for (std::pair<const std::string, team_state>& it : m_teams) {
    assign_homes(it.first, it.second, now);
  }
}

void team_quota::assign_homes(const std::string& team, team_state& state,
                              instant now) const {
  std::vector<std::string> homes =
      m_members.ranked(team, home_count_for(state.burst));
  const double parts = static_cast<double>(homes.size());
  const auto own_it =
      std::find(homes.begin(), homes.end(), m_members.self().info.node);
  const bool home = own_it != homes.end();
  if (home) {
    homes.erase(own_it);
  }
  state.bucket.resize(home ? state.rate_per_s / parts : 0,
                      home ? state.burst / parts : 0, now);
  state.other_homes = std::move(homes);
  state.asked_in_round = 0;
}

void team_quota::on_queue_change(const std::string& team, std::size_t n,
                                 instant until, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return;
  }
  it->second.waiting_requests =
      static_cast<std::uint32_t>(std::min<std::size_t>(n, max_tokens_asked));
  it->second.last_wait_until = until;
  ask_homes(team, it->second, now);
}

double team_quota::available(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  return it == m_teams.end()
             ? 0
             : it->second.bucket.level(now) + it->second.borrowed;
}

bool team_quota::take(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return false;
  }
  team_state& state = it->second;
  if (state.rate_per_s <= 0) {
    return true;
  }
  if (state.borrowed > 0 && now < state.borrowed_until) {
    --state.borrowed;
    return true;
  }
  state.borrowed = 0;
  const bool others_first = state.granted_since_own < state.held_asks.size();
  if (others_first || !state.bucket.take(now)) {
    return false;
  }
  state.granted_since_own = 0;
  return true;
}

duration team_quota::expected_wait(const std::string& team, std::size_t ahead,
                                   instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return duration::max();
  }
  team_state& state = it->second;
  const duration first = state.bucket.time_until_token(now);
  const double each_us = state.bucket.rate_per_s() > 0
                             ? us_per_s / state.bucket.rate_per_s()
                             : us_per_s;
  const duration own = first == duration::max()
                           ? first
                           : first + duration(static_cast<duration::rep>(
                                         static_cast<double>(ahead) * each_us));
  const bool loan_likely =
      now >= state.no_loan_until && !state.other_homes.empty();
  return loan_likely ? std::min(own, expected_loan_wait) : own;
}

void team_quota::return_token(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return;
  }
  team_state& state = it->second;
  if (state.bucket.rate_per_s() > 0) {
    state.bucket.return_token(now);
    return;
  }
  state.borrowed = (now < state.borrowed_until ? state.borrowed : 0) + 1;
  state.borrowed_until = now + borrowed_token_lifetime;
}

void team_quota::on_ask(const std::string& from, const wire::quota_askT& m,
                        instant now) {
  const auto it = m_teams.find(m.team);
  if (it == m_teams.end()) {
    send_grant(from, m.team, 0, m.asked_us);
    return;
  }
  team_state& state = it->second;
  state.held_asks.erase(
      std::remove_if(state.held_asks.begin(), state.held_asks.end(),
                     [&from](const held_ask& a) { return a.node == from; }),
      state.held_asks.end());
  const bool can_hold = m.hold_ms > 0 && state.bucket.rate_per_s() > 0;
  if (can_hold) {
    const std::chrono::milliseconds hold(
        std::min<std::uint32_t>(m.hold_ms, max_hold.count()));
    state.held_asks.push_back(
        {from, std::min(m.tokens, max_tokens_asked), now + hold, m.asked_us});
    serve_held_asks(m.team, state, now);
    return;
  }
  std::uint32_t given = 0;
  const bool has_spare_tokens =
      state.held_asks.empty() && state.waiting_requests == 0;
  while (has_spare_tokens && given < std::min(m.tokens, max_tokens_asked) &&
         state.bucket.take(now)) {
    ++given;
  }
  send_grant(from, m.team, given, m.asked_us);
}

void team_quota::serve_held_asks(const std::string& team, team_state& state,
                                 instant now) {
  struct grant {
    std::uint32_t tokens = 0;
    std::int64_t asked_us = 0;
  };
  std::map<std::string, grant> granted;
  while (!state.held_asks.empty()) {
    if (state.held_asks.front().until <= now ||
        state.held_asks.front().tokens == 0) {
      state.held_asks.pop_front();
      continue;
    }
    const bool own_turn = state.waiting_requests > 0 &&
                          state.granted_since_own >= state.held_asks.size();
    if (own_turn || !state.bucket.take(now)) {
      break;
    }
    held_ask a = std::move(state.held_asks.front());
    state.held_asks.pop_front();
    grant& g = granted[a.node];
    ++g.tokens;
    g.asked_us = a.asked_us;
    ++state.granted_since_own;
    if (--a.tokens > 0) {
      state.held_asks.push_back(std::move(a));
    }
  }
  for (const std::pair<const std::string, grant>& it : granted) {
    send_grant(it.first, team, it.second.tokens, it.second.asked_us);
  }
}

void team_quota::send_grant(const std::string& to, const std::string& team,
                            std::uint32_t tokens, std::int64_t asked_us) const {
  wire::quota_grantT grant;
  grant.team = team;
  grant.tokens = tokens;
  grant.asked_us = asked_us;
  wire::payloadUnion body;
  body.Set(std::move(grant));
  m_send(to, std::move(body));
}

void team_quota::on_grant(const wire::quota_grantT& m, instant now) {
  const auto it = m_teams.find(m.team);
  if (it == m_teams.end()) {
    return;
  }
  team_state& state = it->second;
  // A grant that was on its way while this process was suspended has lapsed.
  const instant lapses_at = m.asked_us == 0 ? instant::max()
                                            : instant(m.asked_us) + max_hold +
                                                  borrowed_token_lifetime;
  if (now >= lapses_at) {
    return;
  }
  if (m.tokens == 0) {
    const bool round_in_progress = state.asked_in_round > 0;
    if (round_in_progress) {
      state.next_ask_at = now;
      ask_homes(m.team, state, now);
    }
    return;
  }
  state.no_loan_until = instant(0);
  state.next_ask_at = now;
  state.borrowed = (now < state.borrowed_until ? state.borrowed : 0) + m.tokens;
  state.borrowed_until = std::min(now + borrowed_token_lifetime, lapses_at);
  if (m_on_grant) {
    m_on_grant(m.team);
  }
}

token_source team_quota::make_token_source() {
  token_source out;
  out.count_demand = [](const std::string&, instant) {};
  out.take = [this](const std::string& team, instant now) {
    return take(team, now);
  };
  out.expected_wait = [this](const std::string& team, std::size_t ahead,
                             instant now) {
    return expected_wait(team, ahead, now);
  };
  out.on_queue_change = [this](const std::string& team, std::size_t n,
                               instant until, instant now) {
    on_queue_change(team, n, until, now);
  };
  return out;
}

void team_quota::ask_homes(const std::string& team, team_state& state,
                           instant now) {
  const std::size_t n = state.other_homes.size();
  if (state.waiting_requests == 0 || now < state.next_ask_at || n == 0) {
    return;
  }
  if (state.asked_in_round == 0) {
    state.round_start_index = m_random() % n;
  }
  const std::string& to =
      state.other_homes[(state.round_start_index + state.asked_in_round) % n];
  ++state.asked_in_round;
  const bool last = state.asked_in_round >= std::min(n, max_homes_asked);
  wire::quota_askT ask;
  ask.team = team;
  ask.asked_us = now.count();
  ask.tokens = state.waiting_requests;
  const std::chrono::milliseconds useful_hold =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          state.last_wait_until - now);
  const std::chrono::milliseconds hold =
      std::clamp(useful_hold, std::chrono::milliseconds(0), max_hold);
  ask.hold_ms = last ? static_cast<std::uint32_t>(hold.count()) : 0;
  wire::payloadUnion body;
  body.Set(std::move(ask));
  if (last) {
    state.asked_in_round = 0;
    state.next_ask_at = now + hold;
    state.no_loan_until = state.next_ask_at;
  } else {
    state.next_ask_at = now + ask_timeout;
  }
  m_send(to, std::move(body));
}

} // namespace kingcupslip
