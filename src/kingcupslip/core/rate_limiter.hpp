// Lets requests in at their team's rate; a short wait comes before refusal.
#ifndef KINGCUPSLIP_CORE_RATE_LIMITER_HPP
#define KINGCUPSLIP_CORE_RATE_LIMITER_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace kingcupslip {

/// Where a team's tokens come from.
struct token_source {
  /// Counts one request as demand; each request once.
  std::function<void(const std::string& team, instant now)> count_demand;
  std::function<bool(const std::string& team, instant now)> take;
  /// When a token should be there for a request behind `ahead` others;
  /// `duration::max()` where none is in sight.
  std::function<duration(const std::string& team, std::size_t ahead,
                         instant now)>
      expected_wait;
  /// So many requests are in line for a token, the last of them until then;
  /// may be null.
  std::function<void(const std::string& team, std::size_t n, instant until,
                     instant now)>
      on_queue_change;
};

/// A team's rate is split over nodes in small shares, so a node's own share
/// may be out for a moment while the team is well within its rate. Requests
/// wait in line for the next token where it is surely near.
///
/// Invariant: each request counts once and takes exactly one token to pass.
class rate_limiter {
public:
  /// `passed`: the request has its token. Otherwise it is over the rate, and
  /// `retry_after` says when a token should be there.
  using admission_handler =
      std::function<void(bool admitted, duration retry_after)>;

  rate_limiter(token_source tokens, const clock_reading& clock);

  void acquire(const std::string& team, instant deadline,
               admission_handler next);
  void tick();
  /// Tokens of the team have come.
  void on_tokens_available(const std::string& team);

private:
  struct queued_request {
    instant expires_at{0};
    admission_handler next;
  };
  using wait_queue = std::deque<queued_request>;
  void serve_queue(const std::string& team, wait_queue& queue);
  void report_queue(const std::string& team, const wait_queue& queue) const;

  token_source m_tokens;
  const clock_reading& m_clock;
  std::map<std::string, wait_queue> m_queues;
};

} // namespace kingcupslip

#endif
