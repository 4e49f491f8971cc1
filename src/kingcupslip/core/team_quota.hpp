// A team's rate over the whole fleet: minted at few nodes, lent to the rest.
#ifndef KINGCUPSLIP_CORE_TEAM_QUOTA_HPP
#define KINGCUPSLIP_CORE_TEAM_QUOTA_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/rate_limiter.hpp"
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/token_bucket.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// A team's homes, chosen by rendezvous hashing, mint its rate in equal
/// parts, each into a bucket of its part of the burst; there are as many
/// homes as the burst fills buckets of some tokens. A node that runs short
/// asks homes for tokens, which are spent at once or lapse. Homes that have
/// none serve their own callers and the nodes that wait in turn.
///
/// Invariant: over all nodes, the tokens spent within any span never exceed
/// rate x (span + the life of a loan) + burst, whatever is cut off,
/// restarted or lost: a token is taken out of one bucket before another node
/// hears of it, a bucket starts empty, and a home that is out of reach keeps
/// its part. Only a node that joins as a home mints beside parts that have
/// not shrunk yet, until it is known.
class team_quota {
public:
  team_quota(member_table& members, message_sender send,
             member_table::random_source random);

  /// Follows a new version of the desired state.
  void apply(const route_table& table, instant now);
  void tick(instant now);

  bool take(const std::string& team, instant now);
  duration expected_wait(const std::string& team, std::size_t ahead,
                         instant now);
  /// Called when tokens of a team were lent to this node.
  void set_on_grant(std::function<void(const std::string& team)> hook) {
    m_on_grant = std::move(hook);
  }
  /// So many requests wait for a token here, the last of them until then.
  void on_queue_change(const std::string& team, std::size_t n, instant until,
                       instant now);
  /// A request that took a token has not run after all.
  void return_token(const std::string& team, instant now);

  void on_ask(const std::string& from, const wire::quota_askT& m, instant now);
  void on_grant(const wire::quota_grantT& m, instant now);

  token_source make_token_source();

private:
  /// A node that waits for tokens minted here.
  struct held_ask {
    std::string node;
    std::uint32_t tokens = 0;
    instant until{0};
  };
  struct team_state {
    double rate_per_s = 0;
    double burst = 0;
    std::vector<std::string> other_homes;
    token_bucket bucket;        ///< at rate 0 where this node is no home
    std::uint32_t borrowed = 0; ///< tokens of other homes, to be spent at once
    instant borrowed_until{0};
    std::uint32_t waiting_requests = 0; ///< requests in line for a token here
    instant longest_wait_until{0};
    /// Homes are asked one after the other, the last one to hold the ask.
    std::size_t round_start_index = 0;
    std::size_t asked_in_round = 0;
    instant next_ask_at{0};
    instant no_loan_until{0}; ///< a round brought nothing: no loan is likely
    std::deque<held_ask> held_asks;
    /// Tokens granted to others since this node's callers took one.
    std::size_t granted_since_own = 0;
  };

  void follow_membership(instant now);
  void assign_homes(const std::string& team, team_state& state,
                    instant now) const;
  void ask_homes(const std::string& team, team_state& state, instant now);
  /// Grants what is there to those who wait, in turn with own callers.
  void serve_held_asks(const std::string& team, team_state& state, instant now);
  void send_grant(const std::string& to, const std::string& team,
                  std::uint32_t tokens) const;

  member_table& m_members;
  message_sender m_send;
  member_table::random_source m_random;
  std::map<std::string, team_state> m_teams;
  std::function<void(const std::string& team)> m_on_grant;
  std::uint64_t m_known_roster = 0;
  instant m_members_checked_at{0};
};

} // namespace kingcupslip

#endif
