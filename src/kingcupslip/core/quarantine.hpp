// Finds requests that crash targets among those in flight at crashes.
#ifndef KINGCUPSLIP_CORE_QUARANTINE_HPP
#define KINGCUPSLIP_CORE_QUARANTINE_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcupslip {

/// How long a crash is remembered.
constexpr duration crash_record_ttl = std::chrono::minutes(10);
/// A request that was answered so shortly before a crash has not caused it.
constexpr duration completion_ttl = std::chrono::seconds(30);

/// A crash of a target, with the digests of the requests that may have caused
/// it. The digests are those that the node beside the target recorded, less
/// those that any node has found innocent since, so that records of the same id
/// merge to the digests that are in both.
struct crash_record {
  std::uint64_t id = 0; ///< the same at all nodes
  std::string node;     ///< beside the target
  /// Recorded by another node, which knows only some of what was in flight.
  bool partial = false;
  std::vector<std::uint64_t> digests; ///< sorted
  instant expires{0};
};

/// Counts, for each request digest, the recorded crashes that it may have
/// caused. Each node records the crashes of its own target and merges the
/// records of others, so that the counts of all nodes add up.
///
/// A request that crashes targets is never answered. One that is answered, at
/// any target, is removed from all records of crashes from before and shortly
/// after, and the other nodes learn of that with the records. What is left over
/// of a busy target's requests is their cause.
///
/// A request is refused after three crashes, or after two, one of which nothing
/// else can have caused, until the records expire.
///
/// Invariant: the numbers of records, of digests in each and of remembered
/// completions are bounded. Records without digests are evicted first, then
/// those that expire first.
class quarantine {
public:
  using record_hook = std::function<void(const crash_record&)>;

  /// The ids of this node's records derive from `node`, which must be unique.
  explicit quarantine(std::string node = "") : m_node(std::move(node)) {}

  /// Called with each crash that `on_crash` records.
  void set_on_record(record_hook hook) { m_on_record = std::move(hook); }
  /// Called with each record that has lost digests.
  void set_on_shrink(record_hook hook) { m_on_shrink = std::move(hook); }

  /// A target crashed with these digests in flight. Returns the id of the
  /// record; 0: none of the digests can be the cause.
  std::uint64_t on_crash(const std::vector<std::uint64_t>& in_flight,
                         instant now);
  /// The target beside another node crashed, and the node ended before it
  /// could record that.
  void on_crash_beside(const std::string& node,
                       const std::vector<std::uint64_t>& in_flight,
                       instant now);
  /// Whether a crash beside `node` since then is recorded: by that node itself,
  /// or by another one with this digest.
  bool is_recorded(const std::string& node, std::uint64_t digest,
                   instant since) const;
  /// What was recorded under this id was no crash.
  void withdraw(std::uint64_t id);

  /// A request with this digest ran and was answered.
  void on_completed(std::uint64_t digest, instant now);

  /// Merges a record of another node. Returns whether it was not known.
  bool merge(crash_record r, instant now);

  bool is_suspect(std::uint64_t digest, instant now);
  /// Whether a target may run it only while no other such request runs there,
  /// so that the next crash has one cause.
  bool must_run_alone(std::uint64_t digest, instant now);
  bool is_quarantined(std::uint64_t digest, instant now);

  /// Up to `max_count` records for another node, the least often sent first;
  /// only recent ones if the other node has `known_hash`.
  std::vector<crash_record> records_to_gossip(std::size_t max_count,
                                              std::uint64_t known_hash,
                                              instant now);
  /// Equal at nodes that have the same records with the same digests.
  std::uint64_t records_hash() const { return m_hash; }
  std::size_t size() const { return m_records.size(); }

private:
  struct known_record {
    crash_record record;
    std::uint32_t times_sent = 0; ///< since the digests changed
  };
  struct tally {
    std::uint32_t crashes = 0;
    std::uint32_t as_only_cause = 0;
  };
  using record_map = std::map<std::uint64_t, known_record>; ///< by id

  std::uint64_t record(crash_record r,
                       const std::vector<std::uint64_t>& in_flight,
                       instant now);
  void add(crash_record r);
  void evict_one();
  record_map::iterator remove(record_map::iterator it);
  /// Replaces the digests of a record by a part of them.
  void shrink(known_record& r, std::vector<std::uint64_t> digests);
  /// Adds the record to the tallies and the hash, or takes it out of them.
  void count(const crash_record& r, bool added);
  bool completed_lately(std::uint64_t digest, instant crashed_at) const;
  void expire(instant now);
  tally tally_of(std::uint64_t digest, instant now);

  std::string m_node;
  record_hook m_on_record;
  record_hook m_on_shrink;
  record_map m_records;
  std::unordered_map<std::uint64_t, tally> m_tallies; ///< by digest
  /// The last completion of each digest, and all of them in order.
  std::unordered_map<std::uint64_t, instant> m_completed_at;
  std::deque<std::pair<instant, std::uint64_t>> m_completions;
  std::uint64_t m_hash = 0;
  std::uint64_t m_last_crash = 0;
  instant m_next_expiry = instant::max();
};

} // namespace kingcupslip

#endif
