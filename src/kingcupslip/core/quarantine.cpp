// Bounded table of crash records, with expiry, and the counts by digest.
#include "kingcupslip/core/quarantine.hpp"

#include "kingcupslip/core/digest.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace kingcupslip {

namespace {

constexpr std::uint32_t quarantine_crashes = 3;
constexpr std::uint32_t quarantine_crashes_as_only_cause = 2;
constexpr std::uint32_t alone_crashes = 2;
constexpr std::size_t max_records = 256;
constexpr std::size_t max_digests_per_record = 512;
constexpr std::size_t max_completions = 4096;
/// A record counts as recent until it was sent to this many nodes.
constexpr std::uint32_t recent_sends = 8;

/// The finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

std::uint64_t hash_of(const crash_record& r) {
  std::uint64_t out = mix(r.id);
  for (const std::uint64_t d : r.digests) {
    out ^= mix(r.id + mix(d));
  }
  return out;
}

void sort_unique(std::vector<std::uint64_t>& digests) {
  std::sort(digests.begin(), digests.end());
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
}

} // namespace

std::uint64_t quarantine::on_crash(const std::vector<std::uint64_t>& in_flight,
                                   instant now) {
  crash_record r;
  r.node = m_node;
  return record(std::move(r), in_flight, now);
}

void quarantine::on_crash_beside(const std::string& node,
                                 const std::vector<std::uint64_t>& in_flight,
                                 instant now) {
  crash_record r;
  r.node = node;
  r.partial = true;
  record(std::move(r), in_flight, now);
}

std::uint64_t quarantine::record(crash_record r,
                                 const std::vector<std::uint64_t>& in_flight,
                                 instant now) {
  expire(now);
  r.id = placement_hash(m_node + "/" + std::to_string(now.count()) + "/" +
                        std::to_string(++m_last_crash));
  r.expires = now + crash_record_ttl;
  std::copy_if(
      in_flight.begin(), in_flight.end(), std::back_inserter(r.digests),
      [this, now](std::uint64_t d) { return !completed_lately(d, now); });
  if (r.digests.empty()) {
    return 0;
  }
  sort_unique(r.digests);
  const std::uint64_t id = r.id;
  add(std::move(r));
  if (m_on_record) {
    m_on_record(m_records.at(id).record);
  }
  return id;
}

bool quarantine::is_recorded(const std::string& node, std::uint64_t digest,
                             instant since) const {
  return std::any_of(
      m_records.begin(), m_records.end(),
      [&node, digest, since](const record_map::value_type& it) {
        const crash_record& r = it.second.record;
        return r.node == node && r.expires - crash_record_ttl >= since &&
               (!r.partial ||
                std::binary_search(r.digests.begin(), r.digests.end(), digest));
      });
}

void quarantine::withdraw(std::uint64_t id) {
  const auto it = m_records.find(id);
  if (it != m_records.end()) {
    shrink(it->second, {});
  }
}

void quarantine::on_completed(std::uint64_t digest, instant now) {
  m_completed_at[digest] = now;
  m_completions.emplace_back(now, digest);
  while (m_completions.size() > max_completions ||
         now - m_completions.front().first > completion_ttl) {
    const auto it = m_completed_at.find(m_completions.front().second);
    if (it != m_completed_at.end() &&
        it->second == m_completions.front().first) {
      m_completed_at.erase(it);
    }
    m_completions.pop_front();
  }
  if (m_tallies.count(digest) == 0) {
    return;
  }
  for (std::pair<const std::uint64_t, known_record>& it : m_records) {
    std::vector<std::uint64_t> left = it.second.record.digests;
    const auto found = std::lower_bound(left.begin(), left.end(), digest);
    if (found != left.end() && *found == digest) {
      left.erase(found);
      shrink(it.second, std::move(left));
    }
  }
}

bool quarantine::completed_lately(std::uint64_t digest,
                                  instant crashed_at) const {
  const auto it = m_completed_at.find(digest);
  return it != m_completed_at.end() && crashed_at - it->second < completion_ttl;
}

bool quarantine::merge(crash_record r, instant now) {
  expire(now);
  if (r.expires <= now) {
    return false;
  }
  r.expires = std::min(r.expires, now + crash_record_ttl);
  sort_unique(r.digests);
  const auto known = m_records.find(r.id);
  if (known != m_records.end()) {
    std::vector<std::uint64_t> both;
    const std::vector<std::uint64_t>& mine = known->second.record.digests;
    std::set_intersection(mine.begin(), mine.end(), r.digests.begin(),
                          r.digests.end(), std::back_inserter(both));
    shrink(known->second, std::move(both));
    return false;
  }
  std::vector<std::uint64_t> left;
  const instant crashed_at = r.expires - crash_record_ttl;
  std::copy_if(r.digests.begin(), r.digests.end(), std::back_inserter(left),
               [this, crashed_at](std::uint64_t d) {
                 return !completed_lately(d, crashed_at);
               });
  const std::uint64_t id = r.id;
  add(std::move(r));
  shrink(m_records.at(id), std::move(left));
  return true;
}

quarantine::tally quarantine::tally_of(std::uint64_t digest, instant now) {
  expire(now);
  const auto it = m_tallies.find(digest);
  return it == m_tallies.end() ? tally{} : it->second;
}

bool quarantine::is_suspect(std::uint64_t digest, instant now) {
  return tally_of(digest, now).crashes > 0;
}

bool quarantine::must_run_alone(std::uint64_t digest, instant now) {
  return tally_of(digest, now).crashes >= alone_crashes;
}

bool quarantine::is_quarantined(std::uint64_t digest, instant now) {
  const tally t = tally_of(digest, now);
  return t.crashes >= quarantine_crashes ||
         (t.crashes >= quarantine_crashes_as_only_cause && t.as_only_cause > 0);
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
              return std::make_tuple(a->times_sent, b->record.expires) <
                     std::make_tuple(b->times_sent, a->record.expires);
            });
  chosen.resize(std::min(max_count, chosen.size()));
  std::vector<crash_record> out;
  for (known_record* it : chosen) {
    ++it->times_sent;
    out.push_back(it->record);
  }
  return out;
}

void quarantine::add(crash_record r) {
  r.digests.resize(std::min(r.digests.size(), max_digests_per_record));
  if (m_records.size() >= max_records) {
    evict_one();
  }
  m_next_expiry = std::min(m_next_expiry, r.expires);
  count(r, true);
  const std::uint64_t id = r.id;
  m_records[id].record = std::move(r);
}

void quarantine::evict_one() {
  const auto sorts_before = [](const record_map::value_type& a,
                               const record_map::value_type& b) {
    const crash_record& x = a.second.record;
    const crash_record& y = b.second.record;
    return std::make_tuple(!x.digests.empty(), x.expires) <
           std::make_tuple(!y.digests.empty(), y.expires);
  };
  remove(std::min_element(m_records.begin(), m_records.end(), sorts_before));
}

quarantine::record_map::iterator quarantine::remove(record_map::iterator it) {
  count(it->second.record, false);
  return m_records.erase(it);
}

void quarantine::shrink(known_record& r, std::vector<std::uint64_t> digests) {
  if (digests.size() == r.record.digests.size()) {
    return;
  }
  count(r.record, false);
  r.record.digests = std::move(digests);
  r.times_sent = 0;
  count(r.record, true);
  if (m_on_shrink) {
    m_on_shrink(r.record);
  }
}

void quarantine::count(const crash_record& r, bool added) {
  m_hash ^= hash_of(r);
  const std::uint32_t only_cause = !r.partial && r.digests.size() == 1 ? 1 : 0;
  for (const std::uint64_t d : r.digests) {
    tally& t = m_tallies[d];
    if (added) {
      ++t.crashes;
      t.as_only_cause += only_cause;
      continue;
    }
    --t.crashes;
    t.as_only_cause -= only_cause;
    if (t.crashes == 0) {
      m_tallies.erase(d);
    }
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
