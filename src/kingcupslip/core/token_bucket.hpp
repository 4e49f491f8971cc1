// Token bucket whose rate and burst can change while in use.
#ifndef KINGCUPSLIP_CORE_TOKEN_BUCKET_HPP
#define KINGCUPSLIP_CORE_TOKEN_BUCKET_HPP

#include "kingcupslip/core/time.hpp"

namespace kingcupslip {

/// Limits events to a rate with bursts. Rate and burst follow the node's share
/// of a team's rate. A new bucket is empty, so that a share that moved from
/// another node brings no second burst.
///
/// Invariant: 0 <= level <= burst.
class token_bucket {
public:
  /// Takes one token; false if there is none.
  bool take(instant now);

  /// Returns a taken token, as far as the burst allows.
  void return_token(instant now);

  /// Changes rate (tokens per second) and burst (tokens). A larger burst
  /// adds no tokens; a smaller one lowers the level at once.
  void resize(double rate_per_s, double burst, instant now);

  /// Time until a token is available; `duration::max()` at rate 0 or with a
  /// burst below one token.
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
