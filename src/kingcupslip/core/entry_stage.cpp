// Checks callers' requests in order and forwards them to targets or owners.
#include "kingcupslip/core/entry_stage.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/reply_codec.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_idempotency_key_length = 255;
constexpr std::chrono::milliseconds max_timeout{600'000};
constexpr std::chrono::milliseconds starting_retry_after{1000};
/// For asking the owner of a key for the verdict of a refused request.
constexpr duration verdict_query_timeout = std::chrono::milliseconds(200);

/// Splits "/SERVICE/PATH" into service and path; the path keeps its leading
/// slash. Returns false if there is no service.
bool split_request_target(const std::string& target, std::string& service,
                          std::string& path) {
  if (target.size() < 2 || target.front() != '/') {
    return false;
  }
  const std::size_t slash = target.find_first_of("/?", 1);
  service = target.substr(1, slash - 1);
  path = slash == std::string::npos ? "/" : target.substr(slash);
  if (path.front() == '?') {
    path.insert(path.begin(), '/');
  }
  return !service.empty();
}

bool has_valid_headers(const caller_request& r) {
  const std::string_view key =
      header_value(r.headers, header_names::idempotency_key);
  const bool printable = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (key.size() > max_idempotency_key_length || !printable) {
    return false;
  }
  const std::string_view timeout =
      header_value(r.headers, header_names::timeout_ms);
  std::uint64_t ms = 0;
  const std::from_chars_result read =
      std::from_chars(timeout.data(), timeout.data() + timeout.size(), ms);
  return timeout.empty() || (read.ec == std::errc() &&
                             read.ptr == timeout.data() + timeout.size());
}

std::uint64_t digest_of(const std::string& service, const std::string& path,
                        const std::string& method, const body_bytes& body) {
  std::string text = method + " " + service + path + "\n";
  text.append(body.begin(), body.end());
  return digest64(text);
}

token_source make_token_source(rate_shares& shares) {
  token_source out;
  out.count_demand = [&shares](const std::string& team, instant now) {
    shares.count_demand(team, now);
  };
  out.take = [&shares](const std::string& team, instant now) {
    return shares.take(team, now);
  };
  out.expected_wait = [&shares](const std::string& team, std::size_t ahead,
                                instant now) {
    return shares.expected_wait(team, ahead, now);
  };
  return out;
}

std::chrono::milliseconds ceil_to_ms(duration d) {
  return std::chrono::ceil<std::chrono::milliseconds>(d);
}

} // namespace

entry_stage::entry_stage(entry_options options, dependencies d,
                         const clock_reading& clock)
    : m_options(std::move(options)), m_dependencies(std::move(d)),
      m_clock(clock),
      m_rate_limiter(make_token_source(m_dependencies.shares), clock) {}

void entry_stage::on_request(caller_request request, outcome_handler handler) {
  std::string service;
  std::string path;
  if (!split_request_target(request.request_target, service, path) ||
      !has_valid_headers(request)) {
    handler(refusal(reason::malformed));
    return;
  }
  if (request.body.size() > m_options.max_body_bytes) {
    handler(refusal(reason::body_too_large));
    return;
  }
  if (m_ended || !m_dependencies.sync.ready()) {
    // The owner of an idempotency key is not known yet, so an earlier run of
    // the request cannot be ruled out.
    const bool keyed =
        !header_value(request.headers, header_names::idempotency_key).empty();
    handler(refusal(m_ended ? reason::draining : reason::starting,
                    keyed ? verdict::may_have_run : verdict::not_run,
                    starting_retry_after));
    return;
  }
  request_terms terms;
  const reason refused_for = authorize(request, service, path, terms);
  const std::string team =
      terms.team_contract == nullptr ? "" : terms.team_contract->team;
  const team_route_key team_and_route{
      team, service + (terms.route == nullptr ? "" : terms.route->path_prefix)};
  m_counts.on_asked(team_and_route);
  const std::uint64_t id = ++m_last_id;
  m_unanswered.emplace(id,
                       unanswered_request{team_and_route, std::move(handler)});
  const outcome_handler done = [this, id](outcome o) {
    answer(id, std::move(o));
  };
  if (refused_for != reason::none) {
    done(refusal(refused_for));
    return;
  }
  set_deadline(request, terms);
  if (m_draining) {
    refuse(std::move(request), terms, service, path, team_and_route,
           refusal(reason::draining, verdict::not_run, starting_retry_after),
           done);
    return;
  }
  if (terms.context || !m_options.rate_limits) {
    // A nested call takes no token: its request took one on entering the
    // fleet.
    report_admitted(terms, team);
    admit(std::move(request), terms, service, path, team_and_route, done);
    return;
  }
  const std::shared_ptr<caller_request> waiting =
      std::make_shared<caller_request>(std::move(request));
  m_rate_limiter.acquire(
      team, terms.deadline,
      [this, waiting, service, path, team_and_route, done,
       deadline = terms.deadline](bool passed, duration retry_after) {
        // Contracts and keys may have changed while the request waited.
        request_terms current_terms;
        const reason refused_for =
            authorize(*waiting, service, path, current_terms);
        if (refused_for != reason::none) {
          done(refusal(refused_for));
          return;
        }
        current_terms.deadline = deadline;
        if (!passed) {
          refuse(std::move(*waiting), current_terms, service, path,
                 team_and_route,
                 refusal(reason::over_rate, verdict::not_run,
                         ceil_to_ms(retry_after)),
                 done);
          return;
        }
        report_admitted(current_terms, current_terms.team_contract->team);
        admit(std::move(*waiting), current_terms, service, path, team_and_route,
              done);
      });
}

void entry_stage::answer(std::uint64_t id, outcome o) {
  const auto it = m_unanswered.find(id);
  if (it == m_unanswered.end()) {
    return;
  }
  const unanswered_request r = std::move(it->second);
  m_unanswered.erase(it);
  m_counts.on_outcome(r.team_and_route, o);
  r.handler(std::move(o));
}

void entry_stage::end_all() {
  m_ended = true;
  while (!m_unanswered.empty()) {
    answer(m_unanswered.begin()->first,
           refusal(reason::draining, verdict::may_have_run));
  }
}

void entry_stage::report_admitted(const request_terms& terms,
                                  const std::string& team) const {
  if (!terms.context && m_options.on_admitted) {
    m_options.on_admitted(team);
  }
}

void entry_stage::refuse(caller_request request, const request_terms& terms,
                         const std::string& service, const std::string& path,
                         const team_route_key& team_and_route, const outcome& o,
                         outcome_handler done) {
  const bool has_key =
      !header_value(request.headers, header_names::idempotency_key).empty();
  if (terms.route->idempotent || !has_key) {
    done(o);
    return;
  }
  wire::callT call = make_call(request, terms, service, path);
  call.peek = true;
  call.body.clear();
  call.headers.clear();
  const outcome_handler done_with_verdict = [done, o](const outcome& known) {
    outcome out = o;
    out.execution = known.execution;
    done(out);
  };
  const instant deadline =
      std::min(terms.deadline, m_clock.now + verdict_query_timeout);
  send_to_owner(std::make_shared<owner_call>(owner_call{
      std::move(call), deadline, 0, team_and_route, done_with_verdict, 0}));
}

void entry_stage::admit(caller_request request, const request_terms& terms,
                        const std::string& service, const std::string& path,
                        const team_route_key& team_and_route,
                        outcome_handler done) {
  const std::uint64_t connection = request.connection;
  const std::uint64_t digest =
      digest_of(service, path, request.method, request.body);
  if (m_dependencies.crash_quarantine.is_quarantined(digest, m_clock.now)) {
    refuse(std::move(request), terms, service, path, team_and_route,
           refusal(reason::quarantined), std::move(done));
    return;
  }
  wire::callT call = make_call(request, terms, service, path);
  call.digest = digest;
  forward(std::move(call), terms, connection, team_and_route, std::move(done));
}

void entry_stage::on_caller_disconnected(std::uint64_t connection) {
  const auto it = m_jobs_by_connection.find(connection);
  if (it == m_jobs_by_connection.end()) {
    return;
  }
  const std::shared_ptr<dispatch_job> job = it->second.lock();
  m_jobs_by_connection.erase(it);
  if (job) {
    m_dependencies.dispatch.cancel(job);
  }
}

reason entry_stage::authorize(const caller_request& r,
                              const std::string& service,
                              const std::string& path,
                              request_terms& out) const {
  const std::string_view context =
      header_value(r.headers, header_names::context);
  const std::string_view auth =
      header_value(r.headers, header_names::authorization);
  const bool has_key = starts_with(auth, bearer_prefix);
  reason refused_for = reason::none;
  if (!context.empty()) {
    refused_for = authorize_nested(context, out);
  } else if (has_key) {
    refused_for = authorize_by_key(auth.substr(bearer_prefix.size()), out);
  } else {
    out.team_contract = m_dependencies.config.find_open_contract(service, path);
    if (out.team_contract == nullptr) {
      const reason unknown = no_route_reason(service);
      return unknown == reason::unknown_service ? unknown : reason::no_key;
    }
  }
  if (refused_for != reason::none) {
    return refused_for;
  }
  out.route = out.team_contract->find_route(service, path);
  return out.route == nullptr ? no_route_reason(service) : reason::none;
}

reason entry_stage::authorize_nested(std::string_view text,
                                     request_terms& out) const {
  out.context = verify_context(text, m_options.fleet_secret);
  if (!out.context) {
    return reason::bad_context;
  }
  out.team_contract = m_dependencies.config.find_contract(out.context->team);
  if (out.team_contract == nullptr) {
    return reason::bad_context;
  }
  if (out.context->depth > max_call_depth) {
    return reason::too_deep;
  }
  if (out.context->deadline <= m_clock.wall) {
    return reason::deadline;
  }
  out.key_id = out.context->api_key_id;
  return m_dependencies.config.key_withdrawn(out.key_id) ? reason::withdrawn_key
                                                         : reason::none;
}

reason entry_stage::authorize_by_key(std::string_view secret,
                                     request_terms& out) const {
  const api_key* key = m_dependencies.config.find_key(secret);
  if (key == nullptr) {
    return reason::unknown_key;
  }
  out.team_contract = m_dependencies.config.find_contract(key->team);
  out.key_id = key->id;
  if (key->withdrawn) {
    return reason::withdrawn_key;
  }
  if (out.team_contract == nullptr) {
    return reason::unknown_key;
  }
  const bool stale =
      m_dependencies.sync.age(m_clock.now) > m_options.confirmed_within;
  if (stale && m_options.unconfirmed == unconfirmed_keys::refuse) {
    return reason::unconfirmed_key;
  }
  return reason::none;
}

reason entry_stage::no_route_reason(const std::string& service) const {
  const bool known = m_dependencies.config.has_service(service) ||
                     m_dependencies.dispatch.has_target_for(service);
  return known ? reason::route_not_in_contract : reason::unknown_service;
}

void entry_stage::set_deadline(const caller_request& r,
                               request_terms& terms) const {
  std::chrono::milliseconds left = terms.route->timeout;
  const std::string_view text =
      header_value(r.headers, header_names::timeout_ms);
  if (!text.empty()) {
    std::uint64_t ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    left = std::chrono::milliseconds(std::min<std::uint64_t>(
        ms, static_cast<std::uint64_t>(max_timeout.count())));
  }
  if (terms.context) {
    left = std::min<std::chrono::milliseconds>(left, terms.context->deadline -
                                                         m_clock.wall);
  }
  terms.deadline = m_clock.now + left;
}

wire::callT entry_stage::make_call(caller_request& r,
                                   const request_terms& terms,
                                   const std::string& service,
                                   const std::string& path) {
  wire::callT call;
  call.service = service;
  call.path = path;
  call.method = r.method;
  call.team = terms.team_contract->team;
  call.weight = terms.team_contract->weight;
  call.priority = static_cast<std::uint8_t>(terms.route->rank);
  call.retries = terms.team_contract->retries;
  call.idempotent = terms.route->idempotent;
  call.patient = terms.route->wait == patience::patient;
  call.min_share_percent = terms.route->min_share_percent;
  call.api_key_id = terms.key_id;
  call.idempotency_key =
      std::string(header_value(r.headers, header_names::idempotency_key));
  if (terms.context) {
    // A nested call keeps the priority of its caller, so that the terms of its
    // own route cannot raise it.
    call.priority = static_cast<std::uint8_t>(terms.context->rank);
    call.depth = terms.context->depth;
    call.retries = m_dependencies.local_target.span_retry_budgets().reserve(
        terms.context->span_id);
  }
  for (const header& it : r.headers) {
    if (is_forwarded_to_target(it.name)) {
      std::unique_ptr<wire::header_fieldT> h =
          std::make_unique<wire::header_fieldT>();
      h->name = it.name;
      h->value = it.value;
      call.headers.push_back(std::move(h));
    }
  }
  call.body = std::move(r.body);
  return call;
}

void entry_stage::forward(wire::callT call, const request_terms& terms,
                          std::uint64_t connection,
                          team_route_key team_and_route, outcome_handler done) {
  outcome_handler handler = std::move(done);
  if (terms.context) {
    const std::uint64_t span_id = terms.context->span_id;
    const std::uint32_t reserved = call.retries;
    const outcome_handler rest = std::move(handler);
    handler = [this, span_id, reserved, rest](outcome o) {
      m_dependencies.local_target.span_retry_budgets().release(
          span_id, reserved, o.retries_used);
      rest(std::move(o));
    };
  }
  const bool remembered = !call.idempotent && !call.idempotency_key.empty();
  if (remembered) {
    send_to_owner(std::make_shared<owner_call>(
        owner_call{std::move(call), terms.deadline, connection, team_and_route,
                   std::move(handler), 0}));
    return;
  }
  std::shared_ptr<dispatch_job> job = std::make_shared<dispatch_job>();
  if (!call.idempotent) {
    // Without a key a second run would not be recognised, so the request is
    // sent only once.
    call.retries = 0;
  }
  job->request = std::move(call);
  job->deadline = terms.deadline;
  job->done = std::move(handler);
  job->on_retry = [this, team_and_route](reason retry_reason) {
    m_counts.on_retry(team_and_route, retry_reason);
  };
  track_job(connection, job);
  m_dependencies.dispatch.dispatch(job);
}

void entry_stage::send_to_owner(const std::shared_ptr<owner_call>& c) {
  ++c->attempts;
  const std::uint32_t slot = slot_of(c->call.team, c->call.idempotency_key);
  const std::string owner = find_owner(slot);
  const outcome_handler answer = [this, c](outcome o) {
    on_owner_reply(c, std::move(o));
  };
  if (owner.empty()) {
    answer(refusal(reason::owner_unreachable, verdict::may_have_run,
                   starting_retry_after));
    return;
  }
  wire::callT call = copy_of(c->call);
  if (owner == m_dependencies.members.self().info.node) {
    const team_route_key team_and_route = c->team_and_route;
    const std::shared_ptr<dispatch_job> job = m_dependencies.owner.handle(
        std::move(call), c->deadline, answer,
        [this, team_and_route](reason retry_reason) {
          m_counts.on_retry(team_and_route, retry_reason);
        });
    if (job) {
      track_job(c->connection, job);
    }
    return;
  }
  call.kind = wire::call_kind::own;
  call.time_left_us = (c->deadline - m_clock.now).count();
  call.correlation = m_dependencies.calls.add(owner, c->deadline, answer);
  wire::payloadUnion body;
  body.Set(std::move(call));
  m_dependencies.send(owner, std::move(body));
}

void entry_stage::on_owner_reply(const std::shared_ptr<owner_call>& c,
                                 outcome o) {
  const bool owner_unavailable =
      o.refusal_reason == reason::owner_unreachable ||
      o.refusal_reason == reason::node_unreachable ||
      o.refusal_reason == reason::connection_lost;
  if (!owner_unavailable) {
    c->done(std::move(o));
    return;
  }
  const instant retry_at =
      m_clock.now + retry_delay(c->attempts + 4, m_dependencies.random);
  if (retry_at < c->deadline) {
    m_counts.on_retry(c->team_and_route, o.refusal_reason);
    m_owner_retries.emplace(retry_at, c);
    return;
  }
  // The owner may have received this request or an earlier one with the same
  // key.
  c->done(refusal(reason::owner_unreachable, verdict::may_have_run,
                  starting_retry_after));
}

void entry_stage::tick() {
  m_rate_limiter.tick();
  while (!m_owner_retries.empty() &&
         m_owner_retries.begin()->first <= m_clock.now) {
    const std::shared_ptr<owner_call> c = m_owner_retries.begin()->second;
    m_owner_retries.erase(m_owner_retries.begin());
    send_to_owner(c);
  }
}

std::string entry_stage::find_owner(std::uint32_t slot) const {
  if (m_dependencies.slots.owned(slot, m_clock.now) != nullptr) {
    return m_dependencies.members.self().info.node;
  }
  std::string best;
  std::uint64_t epoch = 0;
  for (const std::pair<const std::string, member>& it :
       m_dependencies.members.all()) {
    if (!it.second.usable()) {
      continue;
    }
    for (const std::unique_ptr<wire::slot_claimT>& claim :
         it.second.info.slots) {
      if (claim->slot == slot && claim->epoch > epoch) {
        epoch = claim->epoch;
        best = it.first;
      }
    }
  }
  return best == m_dependencies.members.self().info.node ? std::string() : best;
}

void entry_stage::track_job(std::uint64_t connection,
                            const std::shared_ptr<dispatch_job>& job) {
  if (connection != 0) {
    m_jobs_by_connection[connection] = job;
  }
}

} // namespace kingcupslip
