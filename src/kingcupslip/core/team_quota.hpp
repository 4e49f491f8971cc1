// Fleet-wide rate of a team: a few home nodes issue tokens and lend them.
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

/// Admits requests against a team's rate over the whole fleet. Each team has
/// home nodes, chosen by rendezvous hashing, which issue its rate in equal
/// parts. Each home fills a token bucket with an equal part of the burst; the
/// number of homes is chosen so that each bucket holds at least a few tokens.
/// A node that runs short asks homes for tokens, which lapse if they are not
/// spent soon. A home that has none left serves its own callers and the
/// waiting nodes in turn.
///
/// Invariant: over all nodes, the tokens spent within any span never exceed
/// rate x (span + lifetime of borrowed tokens) + burst, whatever is
/// partitioned, restarted or lost: a token is taken out of one bucket before
/// another node is told of it, a bucket starts empty, and a home that is out
/// of reach keeps its part. The one exception is a node that joins as a home:
/// until the other homes know of it, it issues tokens beside parts that have
/// not shrunk yet.
class team_quota {
public:
  team_quota(member_table& members, message_sender send,
             member_table::random_source random);

  /// Applies the teams of a new version of the desired state.
  void apply(const route_table& table, instant now);
  void tick(instant now);

  /// Tokens that this node has for a team's requests.
  double available(const std::string& team, instant now);
  bool take(const std::string& team, instant now);
  duration expected_wait(const std::string& team, std::size_t ahead,
                         instant now);
  /// Sets the hook to call when another node has lent this one tokens.
  void set_on_grant(std::function<void(const std::string& team)> hook) {
    m_on_grant = std::move(hook);
  }
  /// `n` requests wait for a token here, the last of them at most until
  /// `until`.
  void on_queue_change(const std::string& team, std::size_t n, instant until,
                       instant now);
  /// Returns the token of a request that has not run after all.
  void return_token(const std::string& team, instant now);

  void on_ask(const std::string& from, const wire::quota_askT& m, instant now);
  void on_grant(const wire::quota_grantT& m, instant now);

  token_source make_token_source();

private:
  /// The ask of another node that waits for tokens issued here.
  struct held_ask {
    std::string node;
    std::uint32_t tokens = 0;
    instant until{0};
    std::int64_t asked_us = 0; ///< repeated in the grant
  };
  struct team_state {
    double rate_per_s = 0;
    double burst = 0;
    std::vector<std::string> other_homes;
    token_bucket bucket;        ///< rate 0 unless this node is a home
    std::uint32_t borrowed = 0; ///< unspent tokens of other homes
    instant borrowed_until{0};
    std::uint32_t waiting_requests = 0; ///< for a token, on this node
    instant last_wait_until{0};
    /// Homes are asked one after another; the last of a round is to hold the
    /// ask until it can serve it.
    std::size_t round_start_index = 0;
    std::size_t asked_in_round = 0;
    instant next_ask_at{0};
    /// No loan is likely before this time: all homes of a round were asked.
    instant no_loan_until{0};
    std::deque<held_ask> held_asks;
    /// Tokens granted to other nodes since a caller of this one took one.
    std::size_t granted_since_own = 0;
  };

  void follow_membership(instant now);
  void assign_homes(const std::string& team, team_state& state,
                    instant now) const;
  void ask_homes(const std::string& team, team_state& state, instant now);
  /// Grants available tokens to waiting nodes, in turn with own callers.
  void serve_held_asks(const std::string& team, team_state& state, instant now);
  void send_grant(const std::string& to, const std::string& team,
                  std::uint32_t tokens, std::int64_t asked_us) const;

  member_table& m_members;
  message_sender m_send;
  member_table::random_source m_random;
  std::map<std::string, team_state> m_teams;
  std::function<void(const std::string& team)> m_on_grant;
  std::uint64_t m_known_membership_hash = 0;
  instant m_members_checked_at{0};
};

} // namespace kingcupslip

#endif
