// Likelihood ratios of windows of answers.
#include "kingcupslip/core/rollout_evaluator.hpp"

#include <algorithm>
#include <cmath>

namespace kingcupslip {

namespace {

/// Weight that the baseline keeps from one window to the next.
constexpr double baseline_decay = 0.9;
/// Answers slower than nearly all of the baseline by this many bins, a factor
/// of four, are bad. Targets of one version differ by a factor of up to three.
constexpr std::size_t slow_margin_bins = 4;
constexpr double nearly_all = 0.9;
/// A baseline with fewer answers says nothing about latencies.
constexpr double min_baseline_answers = 20;
/// The part of bad answers that is assumed before the baseline shows one, with
/// the weight of this many answers.
constexpr double prior_bad_part = 0.02;
constexpr double prior_answers = 25;
constexpr double prior_answers_now = 5; ///< for a single window
/// A version is worse if this part of its answers, or half of the baseline's
/// part, is bad beyond the baseline.
constexpr double min_worse_by = 0.1;
constexpr double worse_by_factor = 0.5;
constexpr double max_bad_part = 0.95;
/// About one false alarm in e^9 windows.
constexpr double alarm_bound = 9;
/// A single event, such as the loss of a machine, is no evidence.
constexpr std::size_t min_windows_with_bad = 2;

/// The logarithm of how much likelier `bad` of `n` answers are with a worse
/// version than with one like the baseline.
double log_likelihood_ratio(double base_part, std::uint32_t bad,
                            std::uint32_t n) {
  const double p0 = std::min(base_part, max_bad_part - min_worse_by);
  const double p1 =
      std::min(max_bad_part, p0 + std::max(min_worse_by, worse_by_factor * p0));
  return bad * std::log(p1 / p0) + (n - bad) * std::log((1 - p1) / (1 - p0));
}

} // namespace

void answer_counts::add_success(duration latency) {
  const double ms = std::max(1.0, static_cast<double>(latency.count()) * 1e-3);
  const std::size_t bin = static_cast<std::size_t>(2 * std::log2(ms));
  ++answered;
  ++latencies[std::min(bin, latency_bins - 1)];
}

void answer_counts::add_failure() {
  ++answered;
  ++failed;
}

answer_counts& answer_counts::operator+=(const answer_counts& o) {
  answered += o.answered;
  failed += o.failed;
  for (std::size_t i = 0; i < latency_bins; ++i) {
    latencies[i] += o.latencies[i];
  }
  return *this;
}

void rollout_evaluator::add(const std::string& kind, bool new_version,
                            const answer_counts& n) {
  kind_state& s = m_kinds[kind];
  (new_version ? s.next : s.current) += n;
}

void rollout_evaluator::close_window() {
  double ratio_of_all = 0;
  bool has_bad = false;
  for (std::pair<const std::string, kind_state>& it : m_kinds) {
    kind_state& s = it.second;
    update_baseline(s);
    if (s.next.answered > 0) {
      const std::uint32_t bad = count_bad(s);
      const double ratio =
          log_likelihood_ratio(bad_part(s), bad, s.next.answered);
      ratio_of_all += ratio;
      has_bad |= bad > 0;
      m_new_answers += s.next.answered;
      m_new_bad_answers += bad;
      if (s.sum.add(ratio, bad > 0) && !m_is_worse) {
        m_is_worse = true;
        m_worse_kind = it.first;
      }
    }
    s.current = {};
    s.next = {};
  }
  m_is_worse |= m_sum.add(ratio_of_all, has_bad);
}

bool rollout_evaluator::cumulative_sum::add(double log_likelihood_ratio,
                                            bool has_bad) {
  value = std::max(0.0, value + log_likelihood_ratio);
  windows_with_bad = value <= 0 ? 0 : windows_with_bad + (has_bad ? 1 : 0);
  return value > alarm_bound && windows_with_bad >= min_windows_with_bad;
}

void rollout_evaluator::update_baseline(kind_state& s) {
  baseline& b = s.base;
  b.answered = b.answered * baseline_decay + s.current.answered;
  b.failed = b.failed * baseline_decay + s.current.failed;
  for (std::size_t i = 0; i < b.latencies.size(); ++i) {
    b.latencies[i] = b.latencies[i] * baseline_decay + s.current.latencies[i];
  }
}

std::size_t rollout_evaluator::slow_bin(const baseline& b) {
  if (b.answered < min_baseline_answers) {
    return answer_counts::latency_bins;
  }
  const double needed = (b.answered - b.failed) * nearly_all;
  double seen = 0;
  std::size_t bin = 0;
  while (bin + 1 < b.latencies.size() && seen + b.latencies[bin] < needed) {
    seen += b.latencies[bin];
    ++bin;
  }
  return bin + slow_margin_bins;
}

std::uint32_t rollout_evaluator::count_bad(const kind_state& s) {
  std::uint32_t out = s.next.failed;
  for (std::size_t i = slow_bin(s.base); i < s.next.latencies.size(); ++i) {
    out += s.next.latencies[i];
  }
  return out;
}

double rollout_evaluator::bad_part(const kind_state& s) {
  double bad = s.base.failed;
  double bad_now = s.current.failed;
  for (std::size_t i = slow_bin(s.base); i < s.base.latencies.size(); ++i) {
    bad += s.base.latencies[i];
    bad_now += s.current.latencies[i];
  }
  const auto part = [](double n_bad, double n, double prior_n) {
    return (n_bad + prior_bad_part * prior_n) / (n + prior_n);
  };
  // The baseline follows a fault that both versions see with a delay.
  return std::max(part(bad, s.base.answered, prior_answers),
                  part(bad_now, s.current.answered, prior_answers_now));
}

} // namespace kingcupslip
