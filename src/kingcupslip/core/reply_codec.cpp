// Field-by-field conversion of headers, outcomes and calls.
#include "kingcupslip/core/reply_codec.hpp"

#include "kingcupslip/core/http_status.hpp"

#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint16_t max_status = 599;

} // namespace

wire_headers to_wire(const std::vector<header>& headers) {
  wire_headers out;
  out.reserve(headers.size());
  for (const header& it : headers) {
    std::unique_ptr<wire::header_fieldT> h =
        std::make_unique<wire::header_fieldT>();
    h->name = it.name;
    h->value = it.value;
    out.push_back(std::move(h));
  }
  return out;
}

std::vector<header> from_wire(const wire_headers& headers) {
  std::vector<header> out;
  out.reserve(headers.size());
  for (const std::unique_ptr<wire::header_fieldT>& it : headers) {
    out.push_back({it->name, it->value});
  }
  return out;
}

wire::replyT to_reply(std::uint64_t correlation, outcome o) {
  wire::replyT out;
  out.correlation = correlation;
  out.verdict = static_cast<std::uint8_t>(o.execution);
  out.reason = static_cast<std::uint8_t>(o.refusal_reason);
  out.status = o.status;
  out.retry_after_ms = static_cast<std::uint32_t>(o.retry_after.count());
  out.retries_used = o.retries_used;
  out.overload_below = o.nested_overload;
  out.headers = to_wire(o.headers);
  out.body = std::move(o.body);
  return out;
}

outcome from_reply(wire::replyT& reply) {
  const bool known =
      reply.verdict <= static_cast<std::uint8_t>(verdict::may_have_run) &&
      reply.reason < reason_count;
  // An answer with another status would reach the caller as no status of HTTP.
  const bool is_answer =
      reply.reason == static_cast<std::uint8_t>(reason::none);
  const bool has_status =
      reply.status >= http_status::ok && reply.status <= max_status;
  if (!known || (is_answer && !has_status)) {
    return refusal(reason::connection_lost, verdict::may_have_run);
  }
  outcome out;
  out.execution = static_cast<verdict>(reply.verdict);
  out.refusal_reason = static_cast<reason>(reply.reason);
  out.status = reply.status;
  out.retry_after = std::chrono::milliseconds(reply.retry_after_ms);
  out.retries_used = reply.retries_used;
  out.nested_overload = reply.overload_below;
  out.pressure = reply.pressure;
  out.overload_level = reply.overload_level;
  out.reported = true;
  out.headers = from_wire(reply.headers);
  out.body = std::move(reply.body);
  return out;
}

wire::callT copy_of(const wire::callT& c) {
  wire::callT out;
  out.correlation = c.correlation;
  out.kind = c.kind;
  out.service = c.service;
  out.path = c.path;
  out.method = c.method;
  out.team = c.team;
  out.weight = c.weight;
  out.time_left_us = c.time_left_us;
  out.priority = c.priority;
  out.retries = c.retries;
  out.depth = c.depth;
  out.idempotent = c.idempotent;
  out.patient = c.patient;
  out.min_share_percent = c.min_share_percent;
  out.idempotency_key = c.idempotency_key;
  out.slot = c.slot;
  out.epoch = c.epoch;
  out.digest = c.digest;
  for (const std::unique_ptr<wire::header_fieldT>& it : c.headers) {
    out.headers.push_back(std::make_unique<wire::header_fieldT>(*it));
  }
  out.body = c.body;
  out.api_key_id = c.api_key_id;
  out.peek = c.peek;
  out.host = c.host;
  out.request_id = c.request_id;
  out.caller_service = c.caller_service;
  out.route = c.route;
  out.rollout_order = c.rollout_order;
  if (c.known_notice) {
    out.known_notice = std::make_unique<wire::target_noticeT>(*c.known_notice);
  }
  return out;
}

} // namespace kingcupslip
