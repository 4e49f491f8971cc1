// Parts of a team's rate, and lending of tokens between nodes.
#include "kingcupslip/core/team_quota.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

/// A loan that arrives later than this is not used any more.
constexpr duration loan_life = std::chrono::milliseconds(300);
constexpr duration first_ask_spacing = std::chrono::milliseconds(10);
constexpr duration longest_ask_spacing = std::chrono::milliseconds(500);
constexpr std::size_t most_peers_asked = 4;
constexpr std::uint32_t most_asked = 32;
/// A wait that is worth it while a loan may come.
constexpr duration loan_wait = std::chrono::milliseconds(60);
constexpr double us_per_s = 1e6;

} // namespace

team_quota::team_quota(member_table& members, message_sender send,
                       member_table::random_source random)
    : m_members(members), m_send(std::move(send)), m_random(std::move(random)) {
}

void team_quota::apply(const route_table& table, instant now) {
  std::map<std::string, team_state> next;
  for (const team_terms& it : table.teams()) {
    const auto known_it = m_teams.find(it.name);
    team_state s;
    if (known_it != m_teams.end()) {
      s = std::move(known_it->second);
    }
    s.rate_per_s = it.rate_per_s;
    s.burst = it.burst;
    resize(s, now);
    next.emplace(it.name, std::move(s));
  }
  m_teams = std::move(next);
}

void team_quota::tick(instant now) {
  // Members that are out of reach may be serving beyond a partition, so
  // they keep their parts; only those that said goodbye give theirs up.
  std::size_t parts = 0;
  for (const std::pair<const std::string, member>& it : m_members.all()) {
    parts += it.second.state() != member_state::left ? 1 : 0;
  }
  parts = std::max<std::size_t>(1, parts);
  const bool changed = parts != m_parts;
  m_parts = parts;
  if (!changed) {
    return;
  }
  for (std::pair<const std::string, team_state>& it : m_teams) {
    resize(it.second, now);
  }
}

void team_quota::on_line(const std::string& team, std::size_t n, instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return;
  }
  it->second.waiting =
      static_cast<std::uint32_t>(std::min<std::size_t>(n, most_asked));
  ask_peers(team, it->second, now);
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
  return s.bucket.take(now);
}

duration team_quota::expected_wait(const std::string& team, std::size_t ahead,
                                   instant now) {
  const auto it = m_teams.find(team);
  if (it == m_teams.end()) {
    return duration::max();
  }
  team_state& s = it->second;
  const duration first = s.bucket.until_token(now);
  const double each_us =
      s.bucket.rate_per_s() > 0 ? us_per_s / s.bucket.rate_per_s() : us_per_s;
  const duration own = first == duration::max()
                           ? first
                           : first + duration(static_cast<duration::rep>(
                                         static_cast<double>(ahead) * each_us));
  const bool loan_likely = s.ask_spacing <= first_ask_spacing * 4;
  return loan_likely ? std::min(own, loan_wait) : own;
}

void team_quota::give_back(const std::string& team, instant now) {
  const auto it = m_teams.find(team);
  if (it != m_teams.end()) {
    it->second.bucket.put_back(now);
  }
}

void team_quota::on_ask(const std::string& from, const wire::quota_askT& m,
                        instant now) {
  const auto it = m_teams.find(m.team);
  std::uint32_t given = 0;
  if (it != m_teams.end()) {
    team_state& s = it->second;
    // What this node's callers need next comes back the same way.
    const std::uint32_t most =
        s.waiting > 0 ? 0 : std::min(m.tokens, most_asked);
    while (given < most && s.bucket.take(now)) {
      ++given;
    }
  }
  wire::quota_grantT grant;
  grant.team = m.team;
  grant.tokens = given;
  wire::payloadUnion body;
  body.Set(std::move(grant));
  m_send(from, std::move(body));
}

void team_quota::on_grant(const wire::quota_grantT& m, instant now) {
  const auto it = m_teams.find(m.team);
  if (it == m_teams.end()) {
    return;
  }
  team_state& s = it->second;
  if (m.tokens == 0) {
    s.refusals_left -= std::min<std::uint32_t>(1, s.refusals_left);
    if (s.refusals_left > 0) {
      return;
    }
    s.ask_spacing = std::min(longest_ask_spacing,
                             std::max(s.ask_spacing, first_ask_spacing) * 2);
    return;
  }
  s.refusals_left = most_asked;
  s.ask_spacing = first_ask_spacing;
  s.lent = (now < s.lent_until ? s.lent : 0) + m.tokens;
  s.lent_until = now + loan_life;
  if (m_on_grant) {
    m_on_grant(m.team);
  }
}

token_source team_quota::source() {
  token_source out;
  out.count = [](const std::string&, instant) {};
  out.take = [this](const std::string& team, instant now) {
    return take(team, now);
  };
  out.expected_wait = [this](const std::string& team, std::size_t ahead,
                             instant now) {
    return expected_wait(team, ahead, now);
  };
  out.on_line = [this](const std::string& team, std::size_t n, instant now) {
    on_line(team, n, now);
  };
  return out;
}

void team_quota::resize(team_state& s, instant now) const {
  const double n = static_cast<double>(m_parts);
  // A bucket below one token would never hold a whole one.
  s.bucket.resize(s.rate_per_s / n, std::max(1.0, s.burst / n), now);
}

void team_quota::ask_peers(const std::string& team, team_state& s,
                           instant now) {
  if (s.waiting == 0 || now < s.ask_at) {
    return;
  }
  s.ask_spacing = std::max(s.ask_spacing, first_ask_spacing);
  s.ask_at = now + s.ask_spacing;
  const std::uint32_t each = (s.waiting + most_peers_asked - 1) /
                             static_cast<std::uint32_t>(most_peers_asked);
  const std::size_t peers_asked =
      std::min<std::size_t>(most_peers_asked, s.waiting + 1U);
  s.refusals_left = static_cast<std::uint32_t>(peers_asked);
  for (const std::string& to : m_members.random_peers("", peers_asked)) {
    wire::quota_askT ask;
    ask.team = team;
    ask.tokens = each;
    wire::payloadUnion body;
    body.Set(std::move(ask));
    m_send(to, std::move(body));
  }
}

} // namespace kingcupslip
