// What an owner of idempotency keys remembers of the requests it let run.
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

/// How long a finished request is remembered, and the longest time after
/// its first sending that a caller may resend a key without minting time.
constexpr duration idempotency_record_ttl = std::chrono::minutes(10);

/// Allowance for the difference between two wall clocks.
constexpr wall_time max_wall_clock_skew{2000};

/// The minting time that a UUID version 7 carries; nothing for other keys.
std::optional<wall_time> uuid_v7_time(std::string_view idempotency_key);

/// One remembered request. A `verdict::not_run` entry never stays.
struct idempotency_record {
  std::string team;
  std::string key;
  std::uint64_t digest = 0; ///< of route and body
  bool running = false;
  outcome answer;
  instant finished_at{0};
};

/// Remembers by (team, key). Bounded: when full it takes no new request
/// rather than forget one that may be resent.
///
/// Invariant: an entry exists from before the request is sent until
/// `idempotency_record_ttl` after its end.
class idempotency_store {
public:
  explicit idempotency_store(std::size_t max_entries, std::size_t max_bytes);

  /// Decides on an arriving request. `complete_since`: this memory holds
  /// every request of the key's slot first sent after that wall time.
  /// Returns nothing where the request may run; it is then remembered as
  /// running. Otherwise the answer to give.
  std::optional<outcome> begin(const std::string& team, const std::string& key,
                               std::uint64_t digest, wall_time complete_since,
                               clock_reading t);

  /// What is known of a key's request, for a refusal that comes before it
  /// is let in. Remembers nothing.
  verdict execution_of(const std::string& team, const std::string& key,
                       wall_time complete_since, clock_reading t) const;

  /// The request ended. `not_run` forgets it, so that a resend may run.
  void finish(const std::string& team, const std::string& key,
              const outcome& answer, instant now);

  /// Takes an entry that a leaving owner handed over.
  void insert(idempotency_record entry);

  /// Visits every entry of the keys that `picked` says.
  std::vector<idempotency_record> entries_matching(
      const std::function<bool(const idempotency_record&)>& predicate) const;

  void expire(instant now);
  std::size_t size() const { return m_entries.size(); }

private:
  std::size_t m_max_entries;
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::unordered_map<std::string, idempotency_record> m_entries;
};

} // namespace kingcupslip

#endif
