// Finds requests that crash targets among those in flight at crashes.
#ifndef KINGCUPSLIP_CORE_QUARANTINE_HPP
#define KINGCUPSLIP_CORE_QUARANTINE_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// How long a crash is remembered.
constexpr duration crash_record_ttl = std::chrono::minutes(10);

/// A crash of a target, with the digests of the requests that may have caused
/// it.
struct crash_record {
  std::uint64_t id = 0; ///< the same at all nodes
  std::vector<std::uint64_t> digests;
  /// Whether only one request can have caused it.
  bool conclusive = false;
  instant expires{0};
};

/// Counts, for each request digest, the recorded crashes at which it was in
/// flight. Each node records the crashes of its own target and merges the
/// records of others, so that the counts of all nodes add up.
///
/// After one crash a digest is a suspect: a target runs at most one suspect at
/// a time, so a second crash distinguishes its cause from the other requests.
/// After two crashes, one of them conclusive, or after three, the request is
/// refused until the records expire.
///
/// Invariant: the number of records and of digests in each is bounded; the
/// record that expires first is evicted.
class quarantine {
public:
  /// The ids of this node's records derive from `node`, which must be unique.
  explicit quarantine(std::string node = "") : m_node(std::move(node)) {}

  /// Called with each crash that `on_crash` records.
  void set_on_record(std::function<void(const crash_record&)> hook) {
    m_on_record = std::move(hook);
  }

  /// A target crashed with these digests in flight.
  void on_crash(const std::vector<std::uint64_t>& in_flight, instant now);

  /// A request with this digest ran and was answered: it is no longer a
  /// suspect. A quarantined digest stays so until its records expire.
  void on_completed(std::uint64_t digest);

  /// Merges a record of another node. Returns whether it was not known.
  bool merge(crash_record r, instant now);

  bool is_suspect(std::uint64_t digest, instant now);
  bool is_quarantined(std::uint64_t digest, instant now);

  /// Up to `max_count` records for another node, the least often sent first;
  /// only recent ones if the other node has `known_hash`.
  std::vector<crash_record> records_to_gossip(std::size_t max_count,
                                              std::uint64_t known_hash,
                                              instant now);
  /// Equal at nodes that know the same records.
  std::uint64_t records_hash() const;
  std::size_t size() const { return m_records.size(); }

private:
  struct known_record {
    crash_record record;
    std::uint32_t times_sent = 0;
  };
  struct tally {
    std::uint32_t crashes = 0;
    std::uint32_t conclusive = 0;
  };
  using record_map = std::map<std::uint64_t, known_record>; ///< by id

  void add(crash_record r);
  record_map::iterator remove(record_map::iterator it);
  void count(const crash_record& r, std::uint64_t digest, bool added);
  void expire(instant now);
  static bool is_quarantined(const tally& t);

  std::string m_node;
  std::function<void(const crash_record&)> m_on_record;
  record_map m_records;
  std::unordered_map<std::uint64_t, tally> m_tallies; ///< by digest
  std::uint64_t m_last_crash = 0;
  instant m_next_expiry = instant::max();
};

} // namespace kingcupslip

#endif
