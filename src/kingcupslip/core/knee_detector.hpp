// Finds the concurrency above which a target slows down for all of its runs.
#ifndef KINGCUPSLIP_CORE_KNEE_DETECTOR_HPP
#define KINGCUPSLIP_CORE_KNEE_DETECTOR_HPP

#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace kingcupslip {

/// Answers the pattern of a target that announces more slots than it can use
/// well: once nearly all of them are taken, each run takes so much longer that
/// the target completes fewer runs than with some slots free. A queue that has
/// formed then keeps the target in that state after the load has gone.
///
/// Compares the latencies of runs that began in the upper bands of concurrency
/// with those of the same kind that began below, and limits the concurrency to
/// the band in which most runs complete. Bands above the limit get no runs, so
/// what is known of them expires, and they are tried again.
///
/// Invariant: limit() is between `min_part` of the slots and all of them.
class knee_detector {
public:
  /// A run of this kind, without nested calls, was answered. `running`: the
  /// number of runs when it began, itself included.
  void on_answer(const std::string& kind, duration latency, std::size_t running,
                 std::size_t slots, instant now);

  /// Runs that the target should be given at once.
  std::size_t limit(std::size_t slots, instant now) const;

  void on_target_restart() { *this = knee_detector(); }

  static constexpr double min_part = 0.8;

private:
  static constexpr std::size_t band_count = 4;
  /// Runs of a target with fewer slots are too few to compare.
  static constexpr std::size_t min_slots = 8;
  static constexpr std::size_t max_kinds = 64;
  static constexpr std::size_t min_samples = 48;
  /// More make the averages too slow to follow a target that changes.
  static constexpr std::size_t max_samples = 256;
  /// How long runs are kept below the bands, at most, to learn how long they
  /// take there.
  static constexpr duration max_probe_time = std::chrono::milliseconds(400);
  /// For this long a band in which runs are slow gets none.
  static constexpr duration max_age = std::chrono::seconds(10);
  /// Gain in completed runs that is worth a lower limit.
  static constexpr double min_gain = 1.08;

  /// A moving average. The first samples are weighted equally.
  struct average {
    double value = 0;
    std::size_t samples = 0;
    instant updated_at{0};
    void add(double sample, instant now);
    bool known(instant now) const {
      return samples >= min_samples && now - updated_at <= max_age;
    }
  };

  /// Part of the slots up to which band `i` reaches.
  static double upper_edge(std::size_t i);

  std::map<std::string, average> m_baselines; ///< latency below the bands
  /// Latency of runs that began in a band, relative to the baseline.
  std::array<average, band_count> m_slowdowns;
  /// Answers in a row that could not be compared, as nothing began below.
  std::size_t m_not_comparable = 0;
  instant m_probe_until{0};
};

} // namespace kingcupslip

#endif
