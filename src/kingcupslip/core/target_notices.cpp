// Notices from answers and from other nodes.
#include "kingcupslip/core/target_notices.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

void target_notices::on_new_instance(const std::string& instance,
                                     std::uint64_t start_time_ms, instant now) {
  m_instance = instance;
  m_start_time_ms = start_time_ms;
  m_notice = target_notice{};
  m_answered = false;
  m_rate_limit.set(std::nullopt, now);
  const std::optional<wire::target_noticeT> reported =
      std::exchange(m_reported, std::nullopt);
  if (reported) {
    on_reported(*reported, now);
  }
}

void target_notices::on_answer(const std::optional<target_notice>& stated,
                               const std::string& request_id, instant now) {
  m_answered = true;
  if (!stated) {
    return;
  }
  target_notice n = *stated;
  if (n.rate_limit_unreadable) {
    m_log(event_id::target_limit_unreadable,
          {{"instance", m_instance}, {"request", request_id}});
    n.rate_limit_unreadable = false;
    n.rate_limit_per_s = m_notice.rate_limit_per_s;
  }
  apply(n, request_id, now);
}

void target_notices::on_goodbye(instant now) {
  target_notice n = m_notice;
  n.leaving = true;
  apply(n, "goodbye", now);
}

void target_notices::on_reported(const wire::target_noticeT& n, instant now) {
  if (n.instance != m_instance || n.start_time_ms != m_start_time_ms) {
    m_reported = n;
    return;
  }
  target_notice reported = m_notice;
  reported.leaving |= n.leaving;
  reported.draining_sequence =
      std::max(reported.draining_sequence, n.draining_sequence);
  if (!m_answered && n.rate_limit_per_s >= 0) {
    reported.rate_limit_per_s = n.rate_limit_per_s;
  }
  apply(reported, "peer", now);
}

std::unique_ptr<wire::target_noticeT> target_notices::to_report() const {
  if (m_notice.empty()) {
    return nullptr;
  }
  std::unique_ptr<wire::target_noticeT> out =
      std::make_unique<wire::target_noticeT>();
  out->instance = m_instance;
  out->start_time_ms = m_start_time_ms;
  out->rate_limit_per_s = m_notice.rate_limit_per_s.value_or(-1);
  out->leaving = m_notice.leaving;
  out->draining_sequence = m_notice.draining_sequence;
  return out;
}

void target_notices::apply(target_notice n, const std::string& source,
                           instant now) {
  if (n.rate_limit_per_s != m_notice.rate_limit_per_s) {
    m_log(n.rate_limit_per_s ? event_id::target_rate_limited
                             : event_id::target_rate_unlimited,
          {{"instance", m_instance},
           {"source", source},
           {"rate_per_s", std::to_string(n.rate_limit_per_s.value_or(0))}});
  }
  if (n.leaving && !m_notice.leaving) {
    m_log(event_id::target_leaving,
          {{"instance", m_instance}, {"source", source}});
  }
  // An instance that leaves does not return.
  n.leaving |= m_notice.leaving;
  n.draining_sequence =
      std::max(n.draining_sequence, m_notice.draining_sequence);
  m_notice = n;
  m_rate_limit.set(m_notice.rate_limit_per_s, now);
}

} // namespace kingcupslip
