// Bounded table of crash records, with expiry, and the counts by digest.
#include "kingcupslip/core/quarantine.hpp"

#include "kingcupslip/core/digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t quarantine_crashes = 3;
constexpr std::uint32_t quarantine_crashes_if_conclusive = 2;
constexpr std::size_t max_records = 256;
constexpr std::size_t max_digests_per_record = 512;
/// A record counts as recent until it was sent to this many nodes.
constexpr std::uint32_t recent_sends = 8;

} // namespace

void quarantine::on_crash(const std::vector<std::uint64_t>& in_flight,
                          instant now) {
  expire(now);
  crash_record r;
  r.id = placement_hash(m_node + "/" + std::to_string(now.count()) + "/" +
                        std::to_string(++m_last_crash));
  r.expires = now + crash_record_ttl;
  // If a suspect was in flight it is the most likely cause, so requests that
  // were not suspect before are not recorded.
  const bool suspect_present =
      std::any_of(in_flight.begin(), in_flight.end(),
                  [&](std::uint64_t d) { return m_tallies.count(d) != 0; });
  for (const std::uint64_t d : in_flight) {
    if (!suspect_present || m_tallies.count(d) != 0) {
      r.digests.push_back(d);
    }
  }
  std::sort(r.digests.begin(), r.digests.end());
  r.digests.erase(std::unique(r.digests.begin(), r.digests.end()),
                  r.digests.end());
  r.conclusive = r.digests.size() == 1;
  add(r);
  if (m_on_record) {
    m_on_record(r);
  }
}

void quarantine::on_completed(std::uint64_t digest) {
  const auto tally_it = m_tallies.find(digest);
  if (tally_it == m_tallies.end() || is_quarantined(tally_it->second)) {
    return;
  }
  for (std::pair<const std::uint64_t, known_record>& it : m_records) {
    std::vector<std::uint64_t>& digests = it.second.record.digests;
    digests.erase(std::remove(digests.begin(), digests.end(), digest),
                  digests.end());
  }
  m_tallies.erase(tally_it);
}

bool quarantine::merge(crash_record r, instant now) {
  expire(now);
  if (r.expires <= now || m_records.count(r.id) != 0) {
    return false;
  }
  r.expires = std::min(r.expires, now + crash_record_ttl);
  add(std::move(r));
  return true;
}

bool quarantine::is_suspect(std::uint64_t digest, instant now) {
  expire(now);
  return m_tallies.count(digest) != 0;
}

bool quarantine::is_quarantined(std::uint64_t digest, instant now) {
  expire(now);
  const auto it = m_tallies.find(digest);
  return it != m_tallies.end() && is_quarantined(it->second);
}

bool quarantine::is_quarantined(const tally& t) {
  return t.crashes >= quarantine_crashes ||
         (t.crashes >= quarantine_crashes_if_conclusive && t.conclusive > 0);
}

std::vector<crash_record>
quarantine::records_to_gossip(std::size_t max_count, std::uint64_t known_hash,
                              instant now) {
  expire(now);
  const bool recent_only = known_hash == records_hash();
  std::vector<known_record*> chosen;
  for (std::pair<const std::uint64_t, known_record>& it : m_records) {
    if (!recent_only || it.second.times_sent < recent_sends) {
      chosen.push_back(&it.second);
    }
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const known_record* a, const known_record* b) {
              return a->times_sent < b->times_sent;
            });
  chosen.resize(std::min(max_count, chosen.size()));
  std::vector<crash_record> out;
  for (known_record* it : chosen) {
    ++it->times_sent;
    out.push_back(it->record);
  }
  return out;
}

std::uint64_t quarantine::records_hash() const {
  std::uint64_t out = 0;
  for (const std::pair<const std::uint64_t, known_record>& it : m_records) {
    out ^= it.first;
  }
  return out;
}

void quarantine::add(crash_record r) {
  r.digests.resize(std::min(r.digests.size(), max_digests_per_record));
  if (m_records.size() >= max_records) {
    remove(std::min_element(
        m_records.begin(), m_records.end(),
        [](const record_map::value_type& a, const record_map::value_type& b) {
          return a.second.record.expires < b.second.record.expires;
        }));
  }
  for (const std::uint64_t d : r.digests) {
    count(r, d, true);
  }
  m_next_expiry = std::min(m_next_expiry, r.expires);
  m_records[r.id].record = std::move(r);
}

quarantine::record_map::iterator quarantine::remove(record_map::iterator it) {
  for (const std::uint64_t d : it->second.record.digests) {
    count(it->second.record, d, false);
  }
  return m_records.erase(it);
}

void quarantine::count(const crash_record& r, std::uint64_t digest,
                       bool added) {
  tally& t = m_tallies[digest];
  const std::uint32_t conclusive = r.conclusive ? 1 : 0;
  if (added) {
    ++t.crashes;
    t.conclusive += conclusive;
    return;
  }
  --t.crashes;
  t.conclusive -= conclusive;
  if (t.crashes == 0) {
    m_tallies.erase(digest);
  }
}

void quarantine::expire(instant now) {
  if (now < m_next_expiry) {
    return;
  }
  m_next_expiry = instant::max();
  for (auto it = m_records.begin(); it != m_records.end();) {
    if (it->second.record.expires <= now) {
      it = remove(it);
      continue;
    }
    m_next_expiry = std::min(m_next_expiry, it->second.record.expires);
    ++it;
  }
}

} // namespace kingcupslip
