// Finds requests that crash targets among those in flight at crashes.
#ifndef KINGCUPSLIP_CORE_QUARANTINE_HPP
#define KINGCUPSLIP_CORE_QUARANTINE_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// Counts, for each request digest, the crashes at which it was in flight.
/// After one crash a digest is a suspect: a target runs at most one suspect at
/// a time, so a second crash distinguishes its cause from the other requests.
/// After two crashes the request is refused until its entry expires.
///
/// Invariant: the number of entries is bounded; the one that expires first is
/// evicted.
class quarantine {
public:
  struct entry {
    std::uint64_t digest;
    std::uint32_t crashes;
    instant expires;
  };

  /// A target crashed with these digests in flight.
  void on_crash(const std::vector<std::uint64_t>& in_flight, instant now);

  /// A request with this digest was answered: it is no longer a suspect. A
  /// quarantined digest stays so until its entry expires.
  void on_completed(std::uint64_t digest);

  /// Merges the count of another node; the larger one is kept. Returns whether
  /// that is the one of the other node.
  bool merge(std::uint64_t digest, std::uint32_t crashes, duration ttl,
             instant now);

  bool is_suspect(std::uint64_t digest, instant now);
  bool is_quarantined(std::uint64_t digest, instant now);

  /// Up to `max_count` unexpired entries for other nodes, those that expire
  /// last first.
  std::vector<entry> entries_to_gossip(std::size_t max_count,
                                       instant now) const;
  std::size_t size() const { return m_entries.size(); }

private:
  std::uint32_t crash_count(std::uint64_t digest, instant now);
  void evict_if_full(instant now);

  std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace kingcupslip

#endif
