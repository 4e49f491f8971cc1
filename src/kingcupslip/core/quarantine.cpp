// Bounded, expiring entries of suspected and condemned requests.
#include "kingcupslip/core/quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t condemning_crashes = 2;
constexpr std::size_t most_entries = 1024;
constexpr duration entry_life = std::chrono::minutes(10);

} // namespace

void quarantine::on_crash(const std::vector<std::uint64_t>& in_flight,
                          instant now) {
  // Where a suspect was in flight, it is the likelier cause: newcomers
  // beside it are bystanders and gain nothing but suspicion.
  const bool suspect_present =
      std::any_of(in_flight.begin(), in_flight.end(),
                  [&](std::uint64_t d) { return crashes_of(d, now) > 0; });
  for (const std::uint64_t d : in_flight) {
    const std::uint32_t before = crashes_of(d, now);
    if (before == 0 && suspect_present) {
      continue;
    }
    make_room(now);
    m_entries[d] = entry{d, before + 1, now + entry_life};
  }
}

void quarantine::on_completed(std::uint64_t digest) {
  const auto it = m_entries.find(digest);
  if (it != m_entries.end() && it->second.crashes < condemning_crashes) {
    m_entries.erase(it);
  }
}

void quarantine::merge(std::uint64_t digest, std::uint32_t crashes,
                       duration life, instant now) {
  if (crashes_of(digest, now) >= crashes) {
    return;
  }
  make_room(now);
  m_entries[digest] = entry{digest, crashes, now + std::min(life, entry_life)};
}

bool quarantine::suspected(std::uint64_t digest, instant now) {
  return crashes_of(digest, now) > 0;
}

bool quarantine::condemned(std::uint64_t digest, instant now) {
  return crashes_of(digest, now) >= condemning_crashes;
}

std::vector<quarantine::entry> quarantine::to_tell(std::size_t most,
                                                   instant now) const {
  std::vector<entry> out;
  for (const std::pair<const std::uint64_t, entry>& it : m_entries) {
    if (it.second.expires > now) {
      out.push_back(it.second);
    }
  }
  std::sort(out.begin(), out.end(), [](const entry& a, const entry& b) {
    return a.expires > b.expires;
  });
  out.resize(std::min(most, out.size()));
  return out;
}

std::uint32_t quarantine::crashes_of(std::uint64_t digest, instant now) {
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

void quarantine::make_room(instant now) {
  if (m_entries.size() < most_entries) {
    return;
  }
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    it = it->second.expires <= now ? m_entries.erase(it) : std::next(it);
  }
  if (m_entries.size() < most_entries) {
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
