// Homes of a team's rate, and lending of tokens between nodes.
#include "kingcupslip/core/team_quota.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

/// A loan that arrives later than this is not used any more.
constexpr duration loan_life = std::chrono::milliseconds(300);
/// A home that has not answered for so long is passed over.
constexpr duration ask_timeout = std::chrono::milliseconds(15);
/// How long a home holds an ask that it cannot serve yet.
constexpr std::chrono::milliseconds hold_span{200};
constexpr std::size_t most_homes_asked = 4;
constexpr std::uint32_t most_asked = 32;
/// A wait that is worth it while a loan may come.
constexpr duration loan_wait = std::chrono::milliseconds(60);
/// How often homes follow the members.
constexpr duration follow_period = std::chrono::milliseconds(100);

/// Tokens that a home's bucket holds at least, but for very small bursts.
constexpr double tokens_per_home = 2;
/// So that the loss of one home costs little of the rate.
constexpr std::size_t least_homes = 2;

/// A burst below one token would never hold a whole one.
double burst_of(const team_settings& t) { return std::max(1.0, t.burst); }

std::size_t homes_for(double burst) {
  const std::size_t whole = static_cast<std::size_t>(burst);
  const std::size_t roomy = static_cast<std::size_t>(burst / tokens_per_home);
  return std::max(roomy, std::min(least_homes, whole));
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
    team_state s;
    if (known_it != m_teams.end()) {
      s = std::move(known_it->second);
    }
    s.rate_per_s = it.rate_per_s;
    s.burst = burst_of(it);
    settle_homes(it.name, s, now);
    next.emplace(it.name, std::move(s));
  }
  m_teams = std::move(next);
}

void team_quota::tick(instant now) {
  follow_members(now);
  for (std::pair<const std::string, team_state>& it : m_teams) {
    serve_asks(it.first, it.second, now);
  }
}

void team_quota::follow_members(instant now) {
  if (now - m_followed_at < follow_period) {
    return;
  }
  m_followed_at = now;
  // Members that are out of reach may be serving beyond a partition, so
  // they keep their parts; only those that said goodbye give theirs up.
  const std::uint64_t membership_hash = m_members.membership_hash();
  if (membership_hash == m_roster) {
    return;
  }
  m_roster = membership_hash;
  for (std::pair<const std::string, team_state>& it : m_teams) {
    settle_homes(it.first, it.second, now);
  }
}

void team_quota::settle_homes(const std::string& team, team_state& s,
                              instant now) const {
  std::vector<std::string> homes = m_members.ranked(team, homes_for(s.burst));
  const double parts = static_cast<double>(homes.size());
  const auto own_it =
      std::find(homes.begin(), homes.end(), m_members.self().info.node);
  const bool home = own_it != homes.end();
  if (home) {
    homes.erase(own_it);
  }
  s.bucket.resize(home ? s.rate_per_s / parts : 0, home ? s.burst / parts : 0,
                  now);
  s.other_homes = std::move(homes);
  s.asked_in_round = 0;
}

void team_quota::on_queue_change(const std::string& team, std::size_t n,
                                 instant until, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return;
  }
  it->second.waiting =
      static_cast<std::uint32_t>(std::min<std::size_t>(n, most_asked));
  it->second.waiting_until = until;
  ask_homes(team, it->second, now);
}

bool team_quota::take(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return false;
  }
  team_state& s = it->second;
  if (s.rate_per_s <= 0) {
    return true;
  }
  if (s.lent > 0 && now < s.lent_until) {
    --s.lent;
    return true;
  }
  s.lent = 0;
  const bool others_first = s.granted_since < s.asks.size();
  if (others_first || !s.bucket.take(now)) {
    return false;
  }
  s.granted_since = 0;
  return true;
}

duration team_quota::expected_wait(const std::string& team, std::size_t ahead,
                                   instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return duration::max();
  }
  team_state& s = it->second;
  const duration first = s.bucket.time_until_token(now);
  const double each_us =
      s.bucket.rate_per_s() > 0 ? us_per_s / s.bucket.rate_per_s() : us_per_s;
  const duration own = first == duration::max()
                           ? first
                           : first + duration(static_cast<duration::rep>(
                                         static_cast<double>(ahead) * each_us));
  const bool loan_likely = now >= s.short_until && !s.other_homes.empty();
  return loan_likely ? std::min(own, loan_wait) : own;
}

void team_quota::return_token(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return;
  }
  team_state& s = it->second;
  if (s.bucket.rate_per_s() > 0) {
    s.bucket.return_token(now);
    return;
  }
  s.lent = (now < s.lent_until ? s.lent : 0) + 1;
  s.lent_until = now + loan_life;
}

void team_quota::on_ask(const std::string& from, const wire::quota_askT& m,
                        instant now) {
  const auto it = m_teams.find(m.team);
  if (it == m_teams.end()) {
    send_grant(from, m.team, 0);
    return;
  }
  team_state& s = it->second;
  s.asks.erase(
      std::remove_if(s.asks.begin(), s.asks.end(),
                     [&from](const held_ask& a) { return a.node == from; }),
      s.asks.end());
  const bool waits = m.hold_ms > 0 && s.bucket.rate_per_s() > 0;
  if (waits) {
    const std::chrono::milliseconds hold(
        std::min<std::uint32_t>(m.hold_ms, hold_span.count()));
    s.asks.push_back({from, std::min(m.tokens, most_asked), now + hold});
    serve_asks(m.team, s, now);
    return;
  }
  std::uint32_t given = 0;
  const bool spare = s.asks.empty() && s.waiting == 0;
  while (spare && given < std::min(m.tokens, most_asked) &&
         s.bucket.take(now)) {
    ++given;
  }
  send_grant(from, m.team, given);
}

void team_quota::serve_asks(const std::string& team, team_state& s,
                            instant now) {
  std::map<std::string, std::uint32_t> granted;
  while (!s.asks.empty()) {
    if (s.asks.front().until <= now || s.asks.front().tokens == 0) {
      s.asks.pop_front();
      continue;
    }
    const bool own_turn = s.waiting > 0 && s.granted_since >= s.asks.size();
    if (own_turn || !s.bucket.take(now)) {
      break;
    }
    held_ask a = std::move(s.asks.front());
    s.asks.pop_front();
    ++granted[a.node];
    ++s.granted_since;
    if (--a.tokens > 0) {
      s.asks.push_back(std::move(a));
    }
  }
  for (const std::pair<const std::string, std::uint32_t>& it : granted) {
    send_grant(it.first, team, it.second);
  }
}

void team_quota::send_grant(const std::string& to, const std::string& team,
                            std::uint32_t tokens) const {
  wire::quota_grantT grant;
  grant.team = team;
  grant.tokens = tokens;
  wire::payloadUnion body;
  body.Set(std::move(grant));
  m_send(to, std::move(body));
}

void team_quota::on_grant(const wire::quota_grantT& m, instant now) {
  const auto it = m_teams.find(m.team);
  if (it == m_teams.end()) {
    return;
  }
  team_state& s = it->second;
  if (m.tokens == 0) {
    const bool round_goes_on = s.asked_in_round > 0;
    if (round_goes_on) {
      s.ask_at = now;
      ask_homes(m.team, s, now);
    }
    return;
  }
  s.short_until = instant(0);
  s.ask_at = now;
  s.lent = (now < s.lent_until ? s.lent : 0) + m.tokens;
  s.lent_until = now + loan_life;
  if (m_on_grant) {
    m_on_grant(m.team);
  }
}

token_source team_quota::source() {
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

void team_quota::ask_homes(const std::string& team, team_state& s,
                           instant now) {
  const std::size_t n = s.other_homes.size();
  if (s.waiting == 0 || now < s.ask_at || n == 0) {
    return;
  }
  if (s.asked_in_round == 0) {
    s.round_began_at = m_random() % n;
  }
  const std::string& to =
      s.other_homes[(s.round_began_at + s.asked_in_round) % n];
  ++s.asked_in_round;
  const bool last = s.asked_in_round >= std::min(n, most_homes_asked);
  wire::quota_askT ask;
  ask.team = team;
  ask.tokens = s.waiting;
  const std::chrono::milliseconds useful =
      std::chrono::duration_cast<std::chrono::milliseconds>(s.waiting_until -
                                                            now);
  const std::chrono::milliseconds hold =
      std::clamp(useful, std::chrono::milliseconds(0), hold_span);
  ask.hold_ms = last ? static_cast<std::uint32_t>(hold.count()) : 0;
  wire::payloadUnion body;
  body.Set(std::move(ask));
  if (last) {
    s.asked_in_round = 0;
    s.ask_at = now + hold;
    s.short_until = s.ask_at;
  } else {
    s.ask_at = now + ask_timeout;
  }
  m_send(to, std::move(body));
}

} // namespace kingcupslip
