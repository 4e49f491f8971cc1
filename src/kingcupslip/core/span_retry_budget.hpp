// Divides a request's remaining retries among the calls nested in it.
#ifndef KINGCUPSLIP_CORE_SPAN_RETRY_BUDGET_HPP
#define KINGCUPSLIP_CORE_SPAN_RETRY_BUDGET_HPP

#include <cstdint>
#include <unordered_map>

namespace kingcupslip {

/// Tracks the retries of each run in progress, at the node beside the target.
/// A nested call reserves part of what remains and releases what it did not
/// use, so the whole call tree below a request never spends more than the
/// request was given.
///
/// Invariant: for each span, remaining + reserved by nested calls + spent is
/// what `open` was given.
class span_retry_budget {
public:
  void open(std::uint64_t span, std::uint32_t retries);

  /// Ends a span and returns how many retries its nested calls spent; 0 for an
  /// unknown span.
  std::uint32_t close(std::uint64_t span);

  /// Reserves retries for one nested call and returns their number. The other
  /// half of what remains is kept for its siblings. 0 for an unknown span.
  std::uint32_t reserve(std::uint64_t span);

  /// Ends a reservation, of which `used` retries were spent.
  void release(std::uint64_t span, std::uint32_t reserved, std::uint32_t used);

private:
  struct budget {
    std::uint32_t remaining = 0;
    std::uint32_t spent = 0;
  };
  std::unordered_map<std::uint64_t, budget> m_spans;
};

} // namespace kingcupslip

#endif
