// Recognises doubled calls from other nodes.
#ifndef KINGCUPSLIP_CORE_DUPLICATE_CALL_FILTER_HPP
#define KINGCUPSLIP_CORE_DUPLICATE_CALL_FILTER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

namespace kingcupslip {

/// Remembers the last correlations of each peer. Correlations are never
/// used twice, so one that was seen before is a doubled frame.
class duplicate_call_filter {
public:
  /// Whether this is the first sight of the correlation; notes it.
  bool record_if_new(const std::string& peer, std::uint64_t correlation) {
    window& w = m_windows[peer];
    if (!w.seen.insert(correlation).second) {
      return false;
    }
    w.order.push_back(correlation);
    if (w.order.size() > max_remembered_per_peer) {
      w.seen.erase(w.order.front());
      w.order.pop_front();
    }
    return true;
  }

private:
  static constexpr std::size_t max_remembered_per_peer = 512;
  struct window {
    std::unordered_set<std::uint64_t> seen;
    std::deque<std::uint64_t> order;
  };
  std::map<std::string, window> m_windows;
};

} // namespace kingcupslip

#endif
