// Max-min fair division, and the JSON form of a row.
#include "kingcupslip/core/share_row.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>

namespace kingcupslip {

namespace {

using nlohmann::json;

} // namespace

share_entry* share_row::find(std::string_view lease) {
  for (share_entry& it : entries) {
    if (it.lease == lease) {
      return &it;
    }
  }
  return nullptr;
}

std::uint32_t share_row::total_held() const {
  std::uint32_t n = 0;
  for (const share_entry& it : entries) {
    n += it.held;
  }
  return n;
}

std::vector<std::uint32_t> fair_shares(const share_row& row) {
  std::vector<std::uint32_t> out(row.entries.size(), 0);
  std::uint32_t remaining = full_share_ppm;
  std::vector<std::size_t> unsatisfied;
  for (std::size_t i = 0; i < row.entries.size(); ++i) {
    const share_entry& it = row.entries[i];
    if (it.floor_only) {
      // The holder may still use the floor, so no other node can get it.
      out[i] = it.held;
      remaining -= std::min(remaining, it.held);
    } else if (it.wanted > 0) {
      unsatisfied.push_back(i);
    }
  }
  std::sort(unsatisfied.begin(), unsatisfied.end(),
            [&row](std::size_t a, std::size_t b) {
              return row.entries[a].wanted < row.entries[b].wanted;
            });
  for (std::size_t k = 0; k < unsatisfied.size(); ++k) {
    const std::uint32_t even_share =
        remaining / static_cast<std::uint32_t>(unsatisfied.size() - k);
    out[unsatisfied[k]] =
        std::min(row.entries[unsatisfied[k]].wanted, even_share);
    remaining -= out[unsatisfied[k]];
  }
  for (std::size_t k = 0; k < unsatisfied.size(); ++k) {
    const std::uint32_t even_share =
        remaining / static_cast<std::uint32_t>(unsatisfied.size() - k);
    const std::uint32_t extra =
        std::min(even_share, row.entries[unsatisfied[k]].wanted);
    out[unsatisfied[k]] += extra;
    remaining -= extra;
  }
  return out;
}

std::string to_json(const share_row& row) {
  json out = json::array();
  for (const share_entry& it : row.entries) {
    out.push_back({{"lease", it.lease},
                   {"held", it.held},
                   {"wanted", it.wanted},
                   {"floor_only", it.floor_only}});
  }
  return out.dump();
}

share_row parse_share_row(std::string_view json_text) {
  share_row out;
  const json rows = json::parse(json_text, nullptr, false);
  if (!rows.is_array()) {
    return out;
  }
  for (const json& it : rows) {
    share_entry e;
    e.lease = text_field(it, "lease");
    e.held = static_cast<std::uint32_t>(unsigned_field(it, "held"));
    e.wanted = static_cast<std::uint32_t>(unsigned_field(it, "wanted"));
    e.floor_only = bool_field(it, "floor_only");
    out.entries.push_back(e);
  }
  return out;
}

} // namespace kingcupslip
