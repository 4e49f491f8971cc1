// Admits requests at their team's rate, after a short wait where necessary.
#ifndef KINGCUPSLIP_CORE_RATE_LIMITER_HPP
#define KINGCUPSLIP_CORE_RATE_LIMITER_HPP

#include "kingcupslip/core/time.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace kingcupslip {

/// Functions of the object that issues the teams' tokens.
struct token_source {
  /// Counts one request as demand; called once for each request.
  std::function<void(const std::string& team, instant now)> count_demand;
  /// Takes one token; false if there is none.
  std::function<bool(const std::string& team, instant now)> take;
  /// Expected time until a token is available to a request behind `ahead`
  /// others; `duration::max()` if none is expected.
  std::function<duration(const std::string& team, std::size_t ahead,
                         instant now)>
      expected_wait;
  /// Reports that `n` requests wait for a token, the last of them at most until
  /// `until`; may be null.
  std::function<void(const std::string& team, std::size_t n, instant until,
                     instant now)>
      on_queue_change;
};

/// Admits requests that take a token of their team. A team's rate is split
/// over nodes in small shares, so a node's own share may be exhausted for a
/// moment while the team is well within its rate. Requests are therefore
/// queued if a token is expected soon.
///
/// Invariant: each request is counted once and takes exactly one token to be
/// admitted.
class rate_limiter {
public:
  /// `admitted`: the request has its token. Otherwise it exceeds the rate, and
  /// `retry_after` is the expected time until a token is available.
  using admission_handler =
      std::function<void(bool admitted, duration retry_after)>;

  rate_limiter(token_source tokens, const clock_reading& clock);

  /// Takes a token for a request, or queues the request for one. `next` is
  /// called once, possibly before this returns.
  void acquire(const std::string& team, instant deadline,
               admission_handler next);
  void tick();
  /// Tokens of the team became available.
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
