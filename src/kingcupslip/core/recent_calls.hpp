// Recognises doubled calls from other nodes.
#ifndef KINGCUPSLIP_CORE_RECENT_CALLS_HPP
#define KINGCUPSLIP_CORE_RECENT_CALLS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

namespace kingcupslip {

/// Remembers the last correlations of each peer. Correlations are never
/// used twice, so one that was seen before is a doubled frame.
class recent_calls {
public:
  /// Whether this is the first sight of the correlation; notes it.
  bool first_sight(const std::string& peer, std::uint64_t correlation) {
    window& w = m_windows[peer];
    if (!w.seen.insert(correlation).second) {
      return false;
    }
    w.order.push_back(correlation);
    if (w.order.size() > most_remembered) {
      w.seen.erase(w.order.front());
      w.order.pop_front();
    }
    return true;
  }

private:
  static constexpr std::size_t most_remembered = 512;
  struct window {
    std::unordered_set<std::uint64_t> seen;
    std::deque<std::uint64_t> order;
  };
  std::map<std::string, window> m_windows;
};

} // namespace kingcupslip

#endif
