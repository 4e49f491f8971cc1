// Finds the request that crashes targets, among those in flight at crashes.
#ifndef KINGCUPSLIP_CORE_QUARANTINE_HPP
#define KINGCUPSLIP_CORE_QUARANTINE_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// Remembers digests of route and body that were in flight at a crash.
/// After one crash a digest is a suspect: a target runs at most one suspect
/// at a time, so a second crash tells the cause from its bystanders. After
/// two it is refused until its entry expires.
class quarantine {
public:
  struct entry {
    std::uint64_t digest;
    std::uint32_t crashes;
    instant expires;
  };

  /// A target crashed with these digests in flight.
  void on_crash(const std::vector<std::uint64_t>& in_flight, instant now);

  /// The digest ran to its end: no longer a suspect.
  void on_completed(std::uint64_t digest);

  /// Takes over what another node found; the larger count wins.
  void merge(std::uint64_t digest, std::uint32_t crashes, duration ttl,
             instant now);

  bool is_suspect(std::uint64_t digest, instant now);
  bool is_quarantined(std::uint64_t digest, instant now);

  /// The entries worth telling other nodes, newest first, at most `most`.
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
