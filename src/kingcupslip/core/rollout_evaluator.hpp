// Canary analysis: whether a new version answers worse than the current one.
#ifndef KINGCUPSLIP_CORE_ROLLOUT_EVALUATOR_HPP
#define KINGCUPSLIP_CORE_ROLLOUT_EVALUATOR_HPP

#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace kingcupslip {

/// Answers to requests of one kind. Requests that were refused, cancelled, or
/// failed for a service below are not counted.
struct answer_counts {
  /// Bin n holds latencies from 2^(n/2) ms on; the last bin has no upper end.
  static constexpr std::size_t latency_bins = 28;

  std::uint32_t answered = 0; ///< failures included
  std::uint32_t failed = 0;
  std::array<std::uint32_t, latency_bins> latencies{}; ///< of the others

  void add_success(duration latency);
  void add_failure();
  answer_counts& operator+=(const answer_counts& o);
};

/// Compares the answers of the targets of a new version with those of the
/// current version over the same time, by kind of request, so that a burst, a
/// fault below or a slow data centre, which both see, is not taken for a fault
/// of the new version, and one that shows on a rare kind only is found.
///
/// An answer is bad if it is a failure, or several times slower than nearly all
/// answers of the current version. For each kind, and for all together, a
/// cumulative sum test compares the part of bad answers: it forgets good times,
/// so that a version that becomes bad later is found as fast.
class rollout_evaluator {
public:
  /// Adds answers that have arrived since the last call.
  void add(const std::string& kind, bool new_version, const answer_counts& n);

  /// Ends a window of time and compares what was added during it.
  void close_window();

  /// Whether the new version is worse. Stays so.
  bool is_worse() const { return m_is_worse; }
  /// The kind that showed it; empty: all together.
  const std::string& worse_kind() const { return m_worse_kind; }
  /// Answers of the new version.
  std::uint64_t new_answers() const { return m_new_answers; }
  std::uint64_t new_bad_answers() const { return m_new_bad_answers; }

private:
  /// Answers of the current version, older ones with less weight.
  struct baseline {
    double answered = 0;
    double failed = 0;
    std::array<double, answer_counts::latency_bins> latencies{};
  };
  struct cumulative_sum {
    double value = 0;
    std::size_t windows_with_bad = 0; ///< since the sum was last zero

    /// Returns whether the sum has passed its bound.
    bool add(double log_likelihood_ratio, bool has_bad);
  };
  struct kind_state {
    answer_counts current;
    answer_counts next;
    baseline base;
    cumulative_sum sum;
  };

  static void update_baseline(kind_state& s);
  static std::uint32_t count_bad(const kind_state& s);
  /// The part of the current version's answers that count as bad.
  static double bad_part(const kind_state& s);
  static std::size_t slow_bin(const baseline& b);

  std::map<std::string, kind_state> m_kinds;
  cumulative_sum m_sum;
  std::string m_worse_kind;
  std::uint64_t m_new_answers = 0;
  std::uint64_t m_new_bad_answers = 0;
  bool m_is_worse = false;
};

} // namespace kingcupslip

#endif
