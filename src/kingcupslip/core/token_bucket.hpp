// A token bucket whose rate and burst follow the node's share of a team's.
#ifndef KINGCUPSLIP_CORE_TOKEN_BUCKET_HPP
#define KINGCUPSLIP_CORE_TOKEN_BUCKET_HPP

#include "kingcupslip/core/time.hpp"

namespace kingcupslip {

/// Invariant: 0 <= level <= burst. A new bucket is empty, so that a share
/// that moved from another node brings no second burst with it.
class token_bucket {
public:
  /// Takes one token; false where there is none.
  bool take(instant now);

  /// Puts a taken token back, as far as the burst allows.
  void return_token(instant now);

  /// Changes rate (tokens per second) and burst (tokens). A larger burst
  /// adds no tokens; a smaller one cuts the level at once.
  void resize(double rate_per_s, double burst, instant now);

  /// Time until one token will be there; `duration::max()` at rate 0.
  duration time_until_token(instant now);

  double level(instant now);
  double rate_per_s() const { return m_rate_per_s; }
  double burst() const { return m_burst; }

private:
  void refill(instant now);

  double m_rate_per_s = 0;
  double m_burst = 0;
  double m_level = 0;
  instant m_refilled_at{0};
};

} // namespace kingcupslip

#endif
