// Bounded table of suspect and quarantined requests, with expiry.
#include "kingcupslip/core/quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t quarantine_threshold = 2;
constexpr std::size_t max_entries = 1024;
constexpr duration entry_ttl = std::chrono::minutes(10);

} // namespace

void quarantine::on_crash(const std::vector<std::uint64_t>& in_flight,
                          instant now) {
  // If a suspect was in flight it is the most likely cause, so requests that
  // were not suspect before are not recorded.
  const bool suspect_present =
      std::any_of(in_flight.begin(), in_flight.end(),
                  [&](std::uint64_t d) { return crash_count(d, now) > 0; });
  for (const std::uint64_t d : in_flight) {
    const std::uint32_t before = crash_count(d, now);
    if (before == 0 && suspect_present) {
      continue;
    }
    evict_if_full(now);
    m_entries[d] = entry{d, before + 1, now + entry_ttl};
  }
}

void quarantine::on_completed(std::uint64_t digest) {
  const auto it = m_entries.find(digest);
  if (it != m_entries.end() && it->second.crashes < quarantine_threshold) {
    m_entries.erase(it);
  }
}

bool quarantine::merge(std::uint64_t digest, std::uint32_t crashes,
                       duration ttl, instant now) {
  if (crash_count(digest, now) >= crashes) {
    return false;
  }
  evict_if_full(now);
  m_entries[digest] = entry{digest, crashes, now + std::min(ttl, entry_ttl)};
  return true;
}

bool quarantine::is_suspect(std::uint64_t digest, instant now) {
  return crash_count(digest, now) > 0;
}

bool quarantine::is_quarantined(std::uint64_t digest, instant now) {
  return crash_count(digest, now) >= quarantine_threshold;
}

std::vector<quarantine::entry>
quarantine::entries_to_gossip(std::size_t max_count, instant now) const {
  std::vector<entry> out;
  for (const std::pair<const std::uint64_t, entry>& it : m_entries) {
    if (it.second.expires > now) {
      out.push_back(it.second);
    }
  }
  std::sort(out.begin(), out.end(), [](const entry& a, const entry& b) {
    return a.expires > b.expires;
  });
  out.resize(std::min(max_count, out.size()));
  return out;
}

std::uint32_t quarantine::crash_count(std::uint64_t digest, instant now) {
  const auto it = m_entries.find(digest);
  if (it == m_entries.end()) {
    return 0;
  }
  if (it->second.expires <= now) {
    m_entries.erase(it);
    return 0;
  }
  return it->second.crashes;
}

void quarantine::evict_if_full(instant now) {
  if (m_entries.size() < max_entries) {
    return;
  }
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    it = it->second.expires <= now ? m_entries.erase(it) : std::next(it);
  }
  if (m_entries.size() < max_entries) {
    return;
  }
  const auto oldest_it =
      std::min_element(m_entries.begin(), m_entries.end(),
                       [](const std::pair<const std::uint64_t, entry>& a,
                          const std::pair<const std::uint64_t, entry>& b) {
                         return a.second.expires < b.second.expires;
                       });
  m_entries.erase(oldest_it);
}

} // namespace kingcupslip
