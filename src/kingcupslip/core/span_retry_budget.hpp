// Divides a request's remaining retries among the calls nested in it.
#ifndef KINGCUPSLIP_CORE_SPAN_RETRY_BUDGET_HPP
#define KINGCUPSLIP_CORE_SPAN_RETRY_BUDGET_HPP

#include <cstdint>
#include <unordered_map>

namespace kingcupslip {

/// Kept by the node beside the target, for each run in progress. A nested
/// call reserves part of what is left and returns what it did not use, so
/// the whole tree below a request never spends more than its root was given.
///
/// Invariant: for each span, left + reserved by nested calls + spent is what
/// `open` was given.
class span_retry_budget {
public:
  void open(std::uint64_t span, std::uint32_t retries);

  /// Ends a span and returns how many retries nested calls spent.
  std::uint32_t close(std::uint64_t span);

  /// Reserves for one nested call: all but a part kept for its siblings.
  /// 0 for a span that this node does not know.
  std::uint32_t reserve(std::uint64_t span);

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
