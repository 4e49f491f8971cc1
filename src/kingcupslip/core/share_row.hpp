// Division of a team's rate among nodes: one row of the table per team.
#ifndef KINGCUPSLIP_CORE_SHARE_ROW_HPP
#define KINGCUPSLIP_CORE_SHARE_ROW_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

/// Shares are parts per million of the team's rate and burst, so that a
/// changed contract changes every holder's rate and burst at once.
constexpr std::uint32_t full_share_ppm = 1'000'000;

/// The share of one node.
struct share_entry {
  std::string lease; ///< key of the lease that backs the share
  std::uint32_t held = 0;
  std::uint32_t wanted = 0;
  bool floor_only = false; ///< the lease was fenced, half reclaimed
};

/// All shares of a team. Invariant: the held shares add up to at most
/// `full_share_ppm`.
struct share_row {
  std::vector<share_entry> entries;

  share_entry* find(std::string_view lease);
  std::uint32_t total_held() const;
};

/// The part of a share that stays usable after its lease ended, until
/// `outage_grace_period` has passed.
constexpr std::uint32_t floor_of(std::uint32_t held) { return held / 2; }

/// The fair share of each entry, in entry order: max-min fair over what the
/// entries want. What remains is divided evenly, but adds at most as much
/// again as an entry wants; the rest stays free for nodes that want it later.
std::vector<std::uint32_t> fair_shares(const share_row& row);

std::string to_json(const share_row& row);
share_row parse_share_row(std::string_view json_text);

} // namespace kingcupslip

#endif
