// Connects the components, routes messages and shuts down gracefully.
#include "kingcupslip/core/node.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/reply_codec.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint64_t correlation_prefix_mask = 0xffffff;
/// Time for which a draining node still accepts requests, so that load
/// balancers can notice that it is going away.
constexpr duration drain_grace = std::chrono::milliseconds(1500);
/// Time for returned shares and leave announcements to be sent.
constexpr duration leave_flush_time = std::chrono::milliseconds(700);
constexpr duration report_timeout = std::chrono::seconds(2);
constexpr std::string_view report_prefix = "report/";

entry_options with_secret(entry_options o, const std::string& secret) {
  o.fleet_secret = secret;
  return o;
}

target_options target_options_for(const node_options& o) {
  target_options out;
  out.service = o.self.service;
  out.fleet_secret = o.fleet_secret;
  out.max_in_flight = o.max_in_flight;
  out.plain_forwarding = o.dispatch.plain_forwarding;
  return out;
}

} // namespace

node::node(node_options options, node_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_quarantine(m_options.self.node),
      m_members(m_options.self, m_hooks.random),
      m_sync(m_config, m_members, m_hooks.table, m_hooks.send, m_hooks.random),
      m_lease(m_options.self, m_hooks.table),
      m_sweeper(m_options.self.node, m_hooks.table),
      m_slots(m_lease, m_hooks.table),
      m_shares(
          m_lease, m_hooks.table,
          [this](const std::string& team) {
            return m_config.find_contract(team);
          },
          [this](const std::string& lease, const std::string& team) {
            for (const std::pair<const std::string, member>& it :
                 m_members.all()) {
              if (it.second.info.lease == lease) {
                wire::share_hintT hint;
                hint.team = team;
                wire::payloadUnion body;
                body.Set(std::move(hint));
                m_hooks.send(it.first, std::move(body));
              }
            }
          },
          m_hooks.random),
      m_calls(m_hooks.random() & correlation_prefix_mask),
      m_local_target(target_options_for(m_options), m_hooks.target, m_clock,
                     m_quarantine),
      m_dispatcher(
          m_options.dispatch, m_clock, m_members,
          [this](const wire::memberT& m) {
            return m_config.target_out_of_service(m.node) ||
                   m_config.data_centre_out_of_service(m.data_centre);
          },
          m_calls, m_local_target, m_hooks.send, m_hooks.random, m_hooks.log),
      m_owner(m_clock, m_slots, m_dispatcher),
      m_entry(with_secret(m_options.entry, m_options.fleet_secret),
              entry_stage::dependencies{m_config, m_sync, m_members, m_shares,
                                        m_quarantine, m_dispatcher, m_owner,
                                        m_slots, m_local_target, m_calls,
                                        m_hooks.send, m_hooks.random},
              m_clock),
      m_agent(
          fleet_agent::dependencies{
              m_options.self, m_config, m_sync, m_members, m_lease, m_sweeper,
              m_slots, m_owner, m_shares, m_quarantine, m_entry.counts(),
              m_hooks.table, m_hooks.send, m_hooks.random, m_hooks.log},
          m_clock),
      m_incoming_calls(
          [this](wire::callT call, instant deadline,
                 const outcome_handler& handler, const silence_handler&) {
            return start_call(std::move(call), deadline, handler);
          },
          m_local_target, m_hooks.send, m_clock) {}

void node::tick() {
  m_agent.tick();
  tick_config();
  m_local_target.tick();
  m_agent.gossip().set_ready(m_local_target.ready());
  m_dispatcher.tick();
  m_entry.tick();
  m_owner.tick();
  m_calls.expire(m_clock.now);
  std::vector<std::uint64_t> overdue;
  for (const std::pair<const std::uint64_t, report_pull>& it : m_reports) {
    if (it.second.deadline <= m_clock.now) {
      overdue.push_back(it.first);
    }
  }
  for (const std::uint64_t id : overdue) {
    finish_report(id);
  }
  tick_drain();
}

void node::on_request(caller_request request, outcome_handler handler) {
  m_entry.on_request(std::move(request), std::move(handler));
}

void node::on_caller_disconnected(std::uint64_t connection) {
  m_entry.on_caller_disconnected(connection);
}

void node::on_message(const std::string& from, wire::payloadUnion& body) {
  switch (body.type) {
  case wire::payload::call:
    m_incoming_calls.on_call(from, std::move(*body.Ascall()));
    break;
  case wire::payload::reply:
    on_reply(from, *body.Asreply());
    break;
  case wire::payload::cancel:
    m_incoming_calls.on_cancel(from, *body.Ascancel());
    break;
  case wire::payload::ping:
    m_agent.on_ping(from, *body.Asping());
    break;
  case wire::payload::pong:
    m_agent.on_pong(from, *body.Aspong());
    break;
  case wire::payload::gossip:
    m_agent.gossip().on_gossip(from, *body.Asgossip());
    break;
  case wire::payload::config_pull:
    m_sync.on_pull(from, *body.Asconfig_pull(), m_clock.now);
    break;
  case wire::payload::config_delta:
    m_sync.on_delta(from, *body.Asconfig_delta(), m_clock.now);
    tick_config();
    break;
  case wire::payload::share_hint:
    m_agent.on_share_hint(*body.Asshare_hint());
    break;
  case wire::payload::slot_handover:
    m_agent.on_handover(from, *body.Asslot_handover());
    break;
  case wire::payload::slot_handover_done:
    m_agent.on_handover_done(from, *body.Asslot_handover_done());
    break;
  case wire::payload::report_pull:
    on_report_pull(from, *body.Asreport_pull());
    break;
  case wire::payload::report_rows:
    on_report_rows(from, *body.Asreport_rows());
    break;
  case wire::payload::hello:
  case wire::payload::hello_proof:
  case wire::payload::desired_state_pull:
  case wire::payload::desired_state:
  case wire::payload::quota_ask:
  case wire::payload::quota_grant:
  case wire::payload::run_silent:
  case wire::payload::rollout_evidence:
  case wire::payload::NONE:
    break;
  }
}

void node::on_call_unsent(std::uint64_t correlation) {
  m_calls.on_unsent(correlation);
}

void node::on_peer_lost(const std::string& peer) { m_calls.on_peer_lost(peer); }

void node::on_call_lost(std::uint64_t correlation) {
  m_calls.on_lost(correlation);
}

void node::on_target_result(std::uint64_t run, target_result result) {
  m_local_target.on_result(run, std::move(result));
}

void node::on_target_announce(const std::string& instance, bool draining) {
  target_announcement a;
  a.instance = instance;
  a.draining = draining;
  m_local_target.on_announce(a);
  m_agent.gossip().set_ready(m_local_target.ready());
}

void node::add_seed(const std::string& name, const std::string& address) {
  m_agent.gossip().add_seed(name, address);
}

void node::start_draining() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drain_started_at = m_clock.now;
  m_hooks.log(event_id::node_draining, {});
  m_local_target.start_draining(m_clock.now + m_options.drain_limit);
  m_agent.gossip().set_ready(false);
  m_agent.start_handover();
}

void node::write_config(change_request request, write_handler handler) {
  const std::string key = request.key;
  const std::string value = request.value;
  const write_handler caller_handler = std::move(handler);
  const write_handler on_result = [this, key, value,
                                   caller_handler](const write_result& r) {
    if (r.status == write_status::accepted) {
      m_sync.on_written({key, value, r.sequence}, m_clock.now);
      m_hooks.log(event_id::config_written,
                  {{"key", key}, {"sequence", std::to_string(r.sequence)}});
      tick_config();
    }
    caller_handler(r);
  };
  std::make_shared<config_writer>(m_hooks.table, std::move(request), on_result)
      ->start();
}

void node::collect_report(std::function<void(fleet_report)> handler) {
  const std::uint64_t id = ++m_next_report;
  report_pull& pull = m_reports[id];
  pull.handler = std::move(handler);
  pull.deadline = m_clock.now + report_timeout;
  const std::string& self = m_options.self.node;
  for (const std::string& it : m_members.usable()) {
    if (it != self) {
      pull.pending_nodes.push_back(it);
    }
  }
  const std::string own_key =
      self + "#" + std::to_string(m_options.self.incarnation);
  pull.rows[own_key] = counts().to_json();
  for (const std::string& it : std::vector<std::string>(pull.pending_nodes)) {
    wire::report_pullT m;
    m.correlation = id;
    wire::payloadUnion body;
    body.Set(std::move(m));
    m_hooks.send(it, std::move(body));
  }
  m_hooks.table.read(
      {std::string(report_prefix), "", 100'000},
      [this, id](table_status status, const std::vector<table_row>& rows) {
        const auto it = m_reports.find(id);
        if (it == m_reports.end() || status != table_status::ok) {
          return;
        }
        it->second.report.table_read = true;
        for (const table_row& row : rows) {
          // Rows received from a live node are newer than its table row.
          it->second.rows.emplace(row.key.substr(report_prefix.size()),
                                  row.value);
        }
        if (it->second.pending_nodes.empty()) {
          finish_report(id);
        }
      });
}

incoming_calls::cancel_function
node::start_call(wire::callT call, instant deadline,
                 const outcome_handler& handler) {
  if (call.kind == wire::call_kind::own) {
    const std::weak_ptr<dispatch_job> owned =
        m_owner.handle(std::move(call), deadline, handler);
    return [this, owned] {
      if (const std::shared_ptr<dispatch_job> job = owned.lock()) {
        m_dispatcher.cancel(job);
      }
    };
  }
  const bool fenced =
      call.epoch != 0 && !m_local_target.accept_epoch(call.slot, call.epoch);
  if (fenced) {
    handler(refusal(reason::owner_unreachable, verdict::may_have_run));
    return nullptr;
  }
  const std::uint64_t ticket =
      m_local_target.submit(std::move(call), deadline, handler);
  return [this, ticket] { m_local_target.cancel(ticket); };
}

void node::on_reply(const std::string& from, wire::replyT& m) {
  m_dispatcher.on_target_report(from, m);
  m_members.on_message_received(from, m_clock.now);
  m_calls.on_reply(from, m);
}

void node::on_report_pull(const std::string& from,
                          const wire::report_pullT& m) {
  wire::report_rowsT rows;
  rows.correlation = m.correlation;
  rows.node =
      m_options.self.node + "#" + std::to_string(m_options.self.incarnation);
  rows.rows = counts().to_json();
  wire::payloadUnion body;
  body.Set(std::move(rows));
  m_hooks.send(from, std::move(body));
}

void node::on_report_rows(const std::string& from,
                          const wire::report_rowsT& m) {
  const auto it = m_reports.find(m.correlation);
  if (it == m_reports.end()) {
    return;
  }
  it->second.rows[m.node] = m.rows;
  std::vector<std::string>& pending_nodes = it->second.pending_nodes;
  pending_nodes.erase(
      std::remove(pending_nodes.begin(), pending_nodes.end(), from),
      pending_nodes.end());
  if (pending_nodes.empty() && it->second.report.table_read) {
    finish_report(m.correlation);
  }
}

void node::finish_report(std::uint64_t id) {
  const auto it = m_reports.find(id);
  report_pull pull = std::move(it->second);
  m_reports.erase(it);
  pull.report.unreachable = std::move(pull.pending_nodes);
  for (const std::pair<const std::string, std::string>& row : pull.rows) {
    pull.report.counts.add_from_json(row.second);
  }
  pull.handler(std::move(pull.report));
}

void node::tick_drain() {
  if (!m_draining || m_left) {
    return;
  }
  const duration since = m_clock.now - m_drain_started_at;
  if (since >= drain_grace) {
    m_entry.start_draining();
  }
  const bool settled = since >= drain_grace && m_entry.in_progress() == 0 &&
                       m_local_target.idle() && m_incoming_calls.empty() &&
                       m_agent.handover_complete();
  if (!m_leaving && (settled || since >= m_options.drain_limit)) {
    m_leaving = true;
    m_leave_started_at = m_clock.now;
    m_agent.leave();
  }
  if (m_leaving && m_clock.now - m_leave_started_at >= leave_flush_time) {
    m_lease.release();
    m_entry.end_all();
    m_left = true;
  }
}

void node::tick_config() {
  const std::vector<std::string> withdrawn = m_config.take_withdrawn_keys();
  if (!withdrawn.empty()) {
    m_local_target.refuse_withdrawn_keys(withdrawn);
  }
  m_local_target.set_out_of_service(
      m_config.target_out_of_service(m_options.self.node) ||
      m_config.data_centre_out_of_service(m_options.self.data_centre));
  const bool stale = m_sync.ready() &&
                     m_sync.age(m_clock.now) > m_options.entry.confirmed_within;
  if (stale && !m_logged_stale) {
    m_hooks.log(event_id::config_stale,
                {{"sequence", std::to_string(m_config.sequence())}});
  }
  m_logged_stale = stale;
  if (m_config.sequence() != m_logged_sequence) {
    m_logged_sequence = m_config.sequence();
    m_hooks.log(event_id::config_applied,
                {{"sequence", std::to_string(m_logged_sequence)}});
  }
}

} // namespace kingcupslip
