// Detection of requests that their target will never answer.
#ifndef KINGCUPSLIP_CORE_SILENCE_DETECTOR_HPP
#define KINGCUPSLIP_CORE_SILENCE_DETECTOR_HPP

#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace kingcupslip {

/// Answers the pattern of lost work that looks like slow work: a target drops
/// a request that it cannot queue and says nothing, while it answers others.
///
/// A run counts as silent once it has taken much longer than any recent answer
/// to a request of its kind, and several runs that started later have been
/// answered. A target that is slow for all of its requests is therefore not
/// taken for silent, and neither is one that answers nothing at all.
class silence_detector {
public:
  /// A run of this kind that started at `started_at` succeeded.
  void on_success(const std::string& kind, instant started_at, instant now);

  /// Whether a run that has no answer yet will get none.
  bool is_silent(const std::string& kind, instant started_at,
                 instant now) const;

  /// A new instance of the target has its own latencies.
  void on_target_restart() { m_kinds.clear(); }

private:
  /// Answers that overtake a run before it counts as silent.
  static constexpr std::size_t overtaking_answers = 8;
  static constexpr std::size_t max_kinds = 256;

  struct kind_state {
    /// Longest latencies of the current window and of the one before.
    duration longest{0};
    duration previous_longest{0};
    instant window_start{0};
    /// The latest starts of runs that succeeded, in ascending order; 0: none.
    std::array<instant, overtaking_answers> latest_starts{};
  };

  std::map<std::string, kind_state> m_kinds;
};

} // namespace kingcupslip

#endif
