// Detects calls from other nodes that were delivered more than once.
#ifndef KINGCUPSLIP_CORE_DUPLICATE_CALL_FILTER_HPP
#define KINGCUPSLIP_CORE_DUPLICATE_CALL_FILTER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

namespace kingcupslip {

/// Detects duplicate calls by the most recent correlations of each peer. A
/// peer never reuses a correlation, so a repeated one means that a frame was
/// delivered twice.
class duplicate_call_filter {
public:
  /// Records the correlation. Returns false if it is a duplicate of one that
  /// is still recorded for the peer.
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
