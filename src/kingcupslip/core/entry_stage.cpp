// The order of checks at the entry, and routing to targets and key owners.
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
constexpr std::size_t longest_idempotency_key = 255;
constexpr std::chrono::milliseconds longest_timeout{600'000};
constexpr std::chrono::milliseconds start_retry_after{1000};
/// For asking what became of a key whose request is refused anyway.
constexpr duration peek_time = std::chrono::milliseconds(200);

/// Splits "/SERVICE/PATH" into both; the path keeps its leading slash.
bool split_target(const std::string& target, std::string& service,
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

bool well_formed(const caller_request& r) {
  const std::string_view key =
      header_value(r.headers, header_names::idempotency_key);
  const bool printable = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (key.size() > longest_idempotency_key || !printable) {
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

token_source tokens_of(share_book& shares) {
  token_source out;
  out.count = [&shares](const std::string& team, instant now) {
    shares.count(team, now);
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

std::chrono::milliseconds to_ms_up(duration d) {
  return std::chrono::ceil<std::chrono::milliseconds>(d);
}

} // namespace

entry_stage::entry_stage(entry_options options, dependencies p,
                         const clock_reading& clock)
    : m_options(std::move(options)), m_dependencies(std::move(p)),
      m_clock(clock), m_gate(tokens_of(m_dependencies.shares), clock) {}

void entry_stage::on_request(caller_request request, outcome_handler handler) {
  std::string service;
  std::string path;
  if (!split_target(request.target, service, path) || !well_formed(request)) {
    handler(refusal(reason::malformed));
    return;
  }
  if (request.body.size() > m_options.max_body_bytes) {
    handler(refusal(reason::body_too_large));
    return;
  }
  if (!m_dependencies.sync.ready()) {
    // Whether a keyed request ran before cannot even be asked yet.
    const bool keyed =
        !header_value(request.headers, header_names::idempotency_key).empty();
    handler(refusal(reason::starting,
                    keyed ? verdict::may_have_run : verdict::not_run,
                    start_retry_after));
    return;
  }
  admission a;
  const reason why = identify(request, service, path, a);
  const std::string team =
      a.team_contract == nullptr ? "" : a.team_contract->team;
  const tally_key counted{
      team, service + (a.route == nullptr ? "" : a.route->path_prefix)};
  m_counts.on_asked(counted);
  ++m_in_progress;
  const outcome_handler done = [this, counted, handler](outcome o) {
    m_counts.on_outcome(counted, o);
    --m_in_progress;
    handler(std::move(o));
  };
  if (why != reason::none) {
    done(refusal(why));
    return;
  }
  set_deadline(request, a);
  if (m_draining) {
    refuse(std::move(request), a, service, path, counted,
           refusal(reason::draining, verdict::not_run, start_retry_after),
           done);
    return;
  }
  if (a.context || !m_options.rate_limits) {
    // Counted where it entered the fleet, not once more at each call below.
    note_admitted(a, team);
    pass(std::move(request), a, service, path, counted, done);
    return;
  }
  const std::shared_ptr<caller_request> held =
      std::make_shared<caller_request>(std::move(request));
  m_gate.enter(team, a.deadline,
               [this, held, service, path, counted, done,
                deadline = a.deadline](bool passed, duration retry_after) {
                 // Contracts and keys may have changed while it waited.
                 admission now;
                 const reason why = identify(*held, service, path, now);
                 if (why != reason::none) {
                   done(refusal(why));
                   return;
                 }
                 now.deadline = deadline;
                 if (!passed) {
                   refuse(std::move(*held), now, service, path, counted,
                          refusal(reason::over_rate, verdict::not_run,
                                  to_ms_up(retry_after)),
                          done);
                   return;
                 }
                 note_admitted(now, now.team_contract->team);
                 pass(std::move(*held), now, service, path, counted, done);
               });
}

void entry_stage::note_admitted(const admission& a,
                                const std::string& team) const {
  if (!a.context && m_options.on_admitted) {
    m_options.on_admitted(team);
  }
}

void entry_stage::refuse(caller_request request, const admission& a,
                         const std::string& service, const std::string& path,
                         const tally_key& counted, const outcome& o,
                         outcome_handler done) {
  const bool has_key =
      !header_value(request.headers, header_names::idempotency_key).empty();
  if (a.route->idempotent || !has_key) {
    done(o);
    return;
  }
  wire::callT call = make_call(request, a, service, path);
  call.peek = true;
  call.body.clear();
  call.headers.clear();
  const outcome_handler with_verdict = [done, o](const outcome& known) {
    outcome out = o;
    out.execution = known.execution;
    done(out);
  };
  const instant deadline = std::min(a.deadline, m_clock.now + peek_time);
  ask_owner(std::make_shared<owner_call>(
      owner_call{std::move(call), deadline, 0, counted, with_verdict, 0}));
}

void entry_stage::pass(caller_request request, const admission& a,
                       const std::string& service, const std::string& path,
                       const tally_key& counted, outcome_handler done) {
  const std::uint64_t connection = request.connection;
  const std::uint64_t digest =
      digest_of(service, path, request.method, request.body);
  if (m_dependencies.crash_quarantine.is_quarantined(digest, m_clock.now)) {
    refuse(std::move(request), a, service, path, counted,
           refusal(reason::quarantined), std::move(done));
    return;
  }
  wire::callT call = make_call(request, a, service, path);
  call.digest = digest;
  route(std::move(call), a, connection, counted, std::move(done));
}

void entry_stage::on_caller_disconnected(std::uint64_t connection) {
  const auto it = m_jobs.find(connection);
  if (it == m_jobs.end()) {
    return;
  }
  const std::shared_ptr<dispatch_job> job = it->second.lock();
  m_jobs.erase(it);
  if (job) {
    m_dependencies.dispatch.cancel(job);
  }
}

reason entry_stage::identify(const caller_request& r,
                             const std::string& service,
                             const std::string& path, admission& out) const {
  const std::string_view context =
      header_value(r.headers, header_names::context);
  const std::string_view auth =
      header_value(r.headers, header_names::authorization);
  const bool has_key = begins_with(auth, bearer_prefix);
  reason why = reason::none;
  if (!context.empty()) {
    why = identify_nested(context, out);
  } else if (has_key) {
    why = identify_by_key(auth.substr(bearer_prefix.size()), out);
  } else {
    out.team_contract = m_dependencies.config.find_open(service, path);
    if (out.team_contract == nullptr) {
      const reason unknown = no_route(service);
      return unknown == reason::unknown_service ? unknown : reason::no_key;
    }
  }
  if (why != reason::none) {
    return why;
  }
  out.route = out.team_contract->find_route(service, path);
  return out.route == nullptr ? no_route(service) : reason::none;
}

reason entry_stage::identify_nested(std::string_view text,
                                    admission& out) const {
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

reason entry_stage::identify_by_key(std::string_view secret,
                                    admission& out) const {
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

reason entry_stage::no_route(const std::string& service) const {
  const bool known = m_dependencies.config.knows_service(service) ||
                     m_dependencies.dispatch.has_target_for(service);
  return known ? reason::route_not_in_contract : reason::unknown_service;
}

void entry_stage::set_deadline(const caller_request& r, admission& a) const {
  std::chrono::milliseconds left = a.route->timeout;
  const std::string_view text =
      header_value(r.headers, header_names::timeout_ms);
  if (!text.empty()) {
    std::uint64_t ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    left = std::chrono::milliseconds(std::min<std::uint64_t>(
        ms, static_cast<std::uint64_t>(longest_timeout.count())));
  }
  if (a.context) {
    left = std::min<std::chrono::milliseconds>(left, a.context->deadline -
                                                         m_clock.wall);
  }
  a.deadline = m_clock.now + left;
}

wire::callT entry_stage::make_call(caller_request& r, const admission& a,
                                   const std::string& service,
                                   const std::string& path) {
  wire::callT call;
  call.service = service;
  call.path = path;
  call.method = r.method;
  call.team = a.team_contract->team;
  call.weight = a.team_contract->weight;
  call.priority = static_cast<std::uint8_t>(a.route->rank);
  call.retries = a.team_contract->retries;
  call.idempotent = a.route->idempotent;
  call.patient = a.route->wait == patience::patient;
  call.min_share_percent = a.route->min_share_percent;
  call.api_key_id = a.key_id;
  call.idempotency_key =
      std::string(header_value(r.headers, header_names::idempotency_key));
  if (a.context) {
    // Urgency travels down the chain, never up by a nested route's terms.
    call.priority = static_cast<std::uint8_t>(a.context->rank);
    call.depth = a.context->depth;
    call.retries = m_dependencies.local_target.spans().reserve(a.context->span);
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

void entry_stage::route(wire::callT call, const admission& a,
                        std::uint64_t connection, tally_key counted,
                        outcome_handler done) {
  outcome_handler handler = std::move(done);
  if (a.context) {
    const std::uint64_t span = a.context->span;
    const std::uint32_t reserved = call.retries;
    const outcome_handler rest = std::move(handler);
    handler = [this, span, reserved, rest](outcome o) {
      m_dependencies.local_target.spans().give_back(span, reserved,
                                                    o.retries_used);
      rest(std::move(o));
    };
  }
  const bool remembered = !call.idempotent && !call.idempotency_key.empty();
  if (remembered) {
    ask_owner(std::make_shared<owner_call>(
        owner_call{std::move(call), a.deadline, connection, counted,
                   std::move(handler), 0}));
    return;
  }
  std::shared_ptr<dispatch_job> job = std::make_shared<dispatch_job>();
  if (!call.idempotent) {
    // Nothing would recognise a second run, so this is sent once.
    call.retries = 0;
  }
  job->request = std::move(call);
  job->deadline = a.deadline;
  job->done = std::move(handler);
  job->on_retry = [this, counted](reason why) {
    m_counts.on_retry(counted, why);
  };
  follow(connection, job);
  m_dependencies.dispatch.dispatch(job);
}

void entry_stage::ask_owner(const std::shared_ptr<owner_call>& c) {
  ++c->attempts;
  const std::uint32_t slot = slot_of(c->call.team, c->call.idempotency_key);
  const std::string owner = owner_of(slot);
  const outcome_handler answer = [this, c](outcome o) {
    on_owner_answer(c, std::move(o));
  };
  if (owner.empty()) {
    answer(refusal(reason::owner_unreachable, verdict::may_have_run,
                   start_retry_after));
    return;
  }
  wire::callT call = copy_of(c->call);
  if (owner == m_dependencies.members.self().info.node) {
    const tally_key counted = c->counted;
    const std::shared_ptr<dispatch_job> job = m_dependencies.owner.handle(
        std::move(call), c->deadline, answer,
        [this, counted](reason why) { m_counts.on_retry(counted, why); });
    if (job) {
      follow(c->connection, job);
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

void entry_stage::on_owner_answer(const std::shared_ptr<owner_call>& c,
                                  outcome o) {
  const bool moving = o.refusal_reason == reason::owner_unreachable ||
                      o.refusal_reason == reason::node_unreachable ||
                      o.refusal_reason == reason::connection_lost;
  if (!moving) {
    c->done(std::move(o));
    return;
  }
  const instant again =
      m_clock.now + retry_delay(c->attempts + 4, m_dependencies.random);
  if (again < c->deadline) {
    m_counts.on_retry(c->counted, o.refusal_reason);
    m_asking_again.emplace(again, c);
    return;
  }
  // An earlier sending may have reached the owner, now or long ago.
  c->done(refusal(reason::owner_unreachable, verdict::may_have_run,
                  start_retry_after));
}

void entry_stage::tick() {
  m_gate.tick();
  while (!m_asking_again.empty() &&
         m_asking_again.begin()->first <= m_clock.now) {
    const std::shared_ptr<owner_call> c = m_asking_again.begin()->second;
    m_asking_again.erase(m_asking_again.begin());
    ask_owner(c);
  }
}

std::string entry_stage::owner_of(std::uint32_t slot) const {
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

void entry_stage::follow(std::uint64_t connection,
                         const std::shared_ptr<dispatch_job>& job) {
  if (connection != 0) {
    m_jobs[connection] = job;
  }
}

} // namespace kingcupslip
