// The records by which an owner of idempotency keys recognises duplicates.
#ifndef KINGCUPSLIP_CORE_IDEMPOTENCY_STORE_HPP
#define KINGCUPSLIP_CORE_IDEMPOTENCY_STORE_HPP

#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// How long the record of a finished request is kept. A key that carries no
/// creation time may be resent for at most this long after it was first sent.
constexpr duration idempotency_record_ttl = std::chrono::minutes(10);

/// Tolerated difference between the wall clocks of two machines.
constexpr wall_time max_wall_clock_skew{2000};

/// The creation time in a key that is a UUID version 7; nothing for other
/// keys.
std::optional<wall_time> uuid_v7_time(std::string_view idempotency_key);

/// The record of one request. A request that is known not to have run has no
/// record.
struct idempotency_record {
  std::string team;
  std::string key;
  std::uint64_t digest = 0; ///< of method, service, path and body
  bool running = false;
  outcome answer; ///< once the request has ended
  instant finished_at{0};
};

/// Keeps the records of requests with an idempotency key, by team and key, so
/// that each of them runs at most once. The store is bounded: when it is full
/// it refuses new requests instead of dropping a record whose request may
/// still be resent.
///
/// Invariant: a request has a record from before it is sent to a target until
/// `idempotency_record_ttl` after its end, unless it is known not to have run.
class idempotency_store {
public:
  explicit idempotency_store(std::size_t max_entries, std::size_t max_bytes);

  /// Decides whether a request may run. If it may, records it as running and
  /// returns nothing; otherwise returns the answer for the caller.
  /// `complete_since`: the store has the records of all requests of the key's
  /// slot that were first sent after this wall time.
  std::optional<outcome> begin(const std::string& team, const std::string& key,
                               std::uint64_t digest, wall_time complete_since,
                               clock_reading t);

  /// Whether the request of a key may have run, for a refusal that is decided
  /// before `begin`. Adds no record.
  verdict execution_of(const std::string& team, const std::string& key,
                       wall_time complete_since, clock_reading t) const;

  /// Records the end of a request. If it has not run its record is removed,
  /// so that it may run when it is resent.
  void finish(const std::string& team, const std::string& key,
              const outcome& answer, instant now);

  /// Adds a record received from the previous owner of the slot, unless the
  /// key already has one.
  void insert(idempotency_record entry);

  /// Copies of all records for which `predicate` holds.
  std::vector<idempotency_record> entries_matching(
      const std::function<bool(const idempotency_record&)>& predicate) const;

  /// Removes records that are older than `idempotency_record_ttl`.
  void expire(instant now);
  std::size_t size() const { return m_entries.size(); }

private:
  std::size_t m_max_entries;
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0; ///< headers and bodies of all recorded answers
  std::unordered_map<std::string, idempotency_record> m_entries;
};

} // namespace kingcupslip

#endif
