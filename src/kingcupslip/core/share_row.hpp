// How a team's rate is divided among nodes: one row of the table per team.
#ifndef KINGCUPSLIP_CORE_SHARE_ROW_HPP
#define KINGCUPSLIP_CORE_SHARE_ROW_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

/// Shares are counted in millionths of the team's rate and burst, so that a
/// changed contract changes every holder's part at once.
constexpr std::uint32_t full_share_ppm = 1'000'000;

struct share_entry {
  std::string lease; ///< under which the share is held
  std::uint32_t held = 0;
  std::uint32_t wanted = 0;
  bool floor_only = false; ///< the lease was fenced; half was taken back
};

/// Invariant: the held shares add up to at most `full_share_ppm`.
struct share_row {
  std::vector<share_entry> entries;

  share_entry* find(std::string_view lease);
  std::uint32_t total_held() const;
};

/// The part of a share that outlives its lease, until `outage_grace_period`.
constexpr std::uint32_t floor_of(std::uint32_t held) { return held / 2; }

/// What each entry is due: max-min fair over what they want, and of what is
/// left over an even part, but no more than they want once again; the rest
/// stays free for nodes that come to need some. In entry order.
std::vector<std::uint32_t> fair_shares(const share_row& row);

std::string to_json(const share_row& row);
share_row parse_share_row(std::string_view json_text);

} // namespace kingcupslip

#endif
