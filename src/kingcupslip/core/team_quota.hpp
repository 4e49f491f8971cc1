// A team's rate over the whole fleet: equal parts, and tokens lent by peers.
#ifndef KINGCUPSLIP_CORE_TEAM_QUOTA_HPP
#define KINGCUPSLIP_CORE_TEAM_QUOTA_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/rate_gate.hpp"
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/token_bucket.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Every registered node mints its equal part of a team's rate into a bucket
/// of its part of the burst. A node that runs short asks peers for tokens
/// that they have minted; these are spent at once or lapse.
///
/// Invariant: over all nodes, the tokens spent within any span never exceed
/// rate x span + burst, whatever is cut off, restarted or lost: a token is
/// taken out of one bucket before another node hears of it, a bucket starts
/// empty, and a node that is out of reach keeps its part. Only a node that
/// joins mints beside parts that have not shrunk yet, until it is known.
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
  /// So many requests wait for a token here.
  void on_line(const std::string& team, std::size_t n, instant now);
  /// A request that took a token has not run after all.
  void give_back(const std::string& team, instant now);

  void on_ask(const std::string& from, const wire::quota_askT& m, instant now);
  void on_grant(const wire::quota_grantT& m, instant now);

  token_source source();

private:
  struct team_state {
    double rate_per_s = 0;
    double burst = 0;
    token_bucket bucket;
    std::uint32_t lent = 0; ///< tokens from peers, to be spent at once
    instant lent_until{0};
    std::uint32_t waiting = 0; ///< requests in line for a token here
    instant ask_at{0};
    duration ask_spacing{0}; ///< grows while no peer has anything to lend
    std::uint32_t refusals_left = 0; ///< until a round was all in vain
  };

  void resize(team_state& s, instant now) const;
  void ask_peers(const std::string& team, team_state& s, instant now);

  member_table& m_members;
  message_sender m_send;
  member_table::random_source m_random;
  std::map<std::string, team_state> m_teams;
  std::function<void(const std::string& team)> m_on_grant;
  std::size_t m_parts = 1;
};

} // namespace kingcupslip

#endif
