// Connects the components of a node that routes by host and path, routes
// messages and shuts down.
#include "kingcupslip/core/routed_node.hpp"

#include "kingcupslip/core/reply_codec.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint64_t correlation_prefix_mask = 0xffffff;
/// Readiness is polled once a second, and callers are diverted after two failed
/// polls.
constexpr duration unready_propagation_time = std::chrono::milliseconds(3000);
/// Time for leave announcements to be sent.
constexpr duration leave_flush_time = std::chrono::milliseconds(200);
/// Time left of the drain limit at which the node leaves even if requests are
/// still running.
constexpr duration exit_margin = std::chrono::milliseconds(750);
/// Time left of the drain limit at which the process exits even if answers are
/// still being written.
constexpr duration hard_exit_margin = std::chrono::milliseconds(250);
/// Between two questions to senders of calls for the departures of this node's
/// target.
constexpr duration ask_interval = std::chrono::milliseconds(100);
/// A retry repeats its nested calls, which also count as retries: one level per
/// service on the path.
constexpr double retry_levels = 4;
/// Over which the retries of all nodes are bounded.
constexpr duration retry_window = std::chrono::seconds(10);

target_options target_options_for(const routed_options& o,
                                  const target_protocol& protocol) {
  target_options out;
  out.service = o.self.service;
  out.max_in_flight = o.max_in_flight;
  out.announce_timeout = o.announce_timeout;
  out.answer_grace = std::chrono::milliseconds(50);
  out.protocol = protocol;
  return out;
}

} // namespace

routed_node::routed_node(routed_options options, routed_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_quarantine(m_options.self.node),
      m_members(m_options.self, m_hooks.random),
      m_gossip({m_options.self, m_members, m_quarantine, m_hooks.table,
                m_hooks.send, m_hooks.random, m_hooks.log,
                [this](const std::string& to, wire::gossipT& g) {
                  m_state.fill_gossip(g);
                  m_rollouts.fill_gossip(g);
                  fill_departures(to, g);
                },
                [this](const std::string& from, const wire::gossipT& g) {
                  m_state.on_gossip(from, g);
                  m_rollouts.on_gossip(g);
                  on_gossiped_departures(from, g);
                }},
               m_clock),
      m_crash_records({m_hooks.table, m_quarantine, m_members, m_hooks.log},
                      m_clock),
      m_state(m_hooks.watch, m_hooks.send, m_hooks.random, m_hooks.log,
              m_clock),
      m_calls(m_hooks.random() & correlation_prefix_mask),
      m_local_target(target_options_for(m_options, m_hooks.protocol),
                     m_hooks.target, m_clock, m_quarantine),
      m_departures({m_options.self, m_hooks.table, m_local_target.departed(),
                    [this] {
                      return m_members.preferred("departure-sweeper") ==
                             m_options.self.node;
                    },
                    [this] { on_departures_learned(); },
                    [this](const wire::target_noticeT& n) {
                      m_local_target.on_reported_notice(n);
                    },
                    m_hooks.log},
                   m_clock),
      m_rollouts({m_options.rollout_share},
                 {m_members, m_local_target, m_hooks.table, m_hooks.send,
                  m_hooks.random, m_hooks.log,
                  [this](std::size_t n) { m_gossip.gossip_to_random(n); }},
                 m_clock),
      m_dispatcher(
          dispatcher::options{false, {}, true, m_options.locality_options},
          m_clock, m_members,
          [this](const wire::memberT& m) {
            return m_state.data_centre_out_of_service(m.data_centre);
          },
          m_calls, m_local_target, m_hooks.send, m_hooks.random, m_hooks.log),
      m_lost_runs(m_quarantine, m_members, m_hooks.random, m_hooks.log,
                  m_clock),
      m_quota(m_members, m_hooks.send, m_hooks.random),
      m_entry(routed_entry::dependencies{m_state, m_dispatcher, m_local_target,
                                         m_quota, m_quarantine, m_hooks.random,
                                         m_hooks.log},
              m_clock),
      m_incoming_calls(
          [this](wire::callT call, instant deadline, outcome_handler handler,
                 silence_handler on_silent) {
            if (call.known_notice) {
              m_local_target.on_reported_notice(*call.known_notice);
            }
            const std::uint64_t ticket =
                m_local_target.submit(std::move(call), deadline,
                                      std::move(handler), std::move(on_silent));
            return [this, ticket] { m_local_target.cancel(ticket); };
          },
          m_local_target, m_hooks.send, m_clock) {
  m_state.set_on_change([this] { apply_desired_state(); });
  m_state.set_on_store_restored([this] {
    m_gossip.on_table_restored();
    m_crash_records.on_table_restored();
    m_departures.on_table_restored();
  });
  m_quarantine.set_on_record([this](const crash_record& r) {
    m_crash_records.write(r);
    m_gossip.on_crash_recorded();
  });
  m_dispatcher.set_on_run_lost(
      [this](const std::string& node, std::uint64_t digest) {
        m_lost_runs.on_run_lost(node, digest);
      });
  m_quarantine.set_on_shrink(
      [this](const crash_record& r) { m_crash_records.on_shrink(r); });
  m_local_target.set_cold_start(std::nullopt);
  m_local_target.set_departures_known(false);
  if (m_options.rollout_share > 0) {
    connect_rollouts();
  }
}

void routed_node::connect_rollouts() {
  m_dispatcher.set_version_hooks(
      {[this](const std::string& service, bool first_attempt) {
         return m_rollouts.choose_order(service, first_attempt);
       },
       [this](const wire::memberT& m, std::uint64_t order) {
         return m_rollouts.allows(m, order);
       }});
  m_local_target.set_call_check(
      [this](const wire::callT& call) { return m_rollouts.check_call(call); });
  m_local_target.set_on_run_ended(
      [this](const run_report& r) { m_rollouts.on_run_ended(r); });
}

void routed_node::tick() {
  m_gossip.tick();
  m_crash_records.tick();
  m_departures.tick();
  m_state.tick();
  update_retry_budget();
  m_quota.tick(m_clock.now);
  m_local_target.tick();
  update_target_state();
  m_rollouts.tick();
  m_dispatcher.tick();
  m_lost_runs.tick();
  m_entry.tick();
  m_calls.expire(m_clock.now);
  tick_drain();
}

void routed_node::on_request(routed_request request, outcome_handler handler) {
  m_entry.on_request(std::move(request), std::move(handler));
}

void routed_node::on_caller_disconnected(std::uint64_t connection) {
  m_entry.on_caller_disconnected(connection);
}

void routed_node::on_message(const std::string& from,
                             wire::payloadUnion& body) {
  switch (body.type) {
  case wire::payload::call:
    if (m_state.routes() == nullptr) {
      m_state.pull_from(from);
    }
    if (!m_departures.known() && m_clock.now >= m_next_ask_at) {
      m_next_ask_at = m_clock.now + ask_interval;
      m_gossip.ask(from);
    }
    m_incoming_calls.on_call(from, std::move(*body.Ascall()));
    break;
  case wire::payload::reply:
    m_dispatcher.on_target_report(from, *body.Asreply());
    m_members.on_message_received(from, m_clock.now);
    m_calls.on_reply(from, *body.Asreply());
    break;
  case wire::payload::cancel:
    m_incoming_calls.on_cancel(from, *body.Ascancel());
    break;
  case wire::payload::rollout_evidence:
    m_rollouts.on_evidence(from, *body.Asrollout_evidence());
    break;
  case wire::payload::run_silent:
    m_calls.on_run_silent(from, body.Asrun_silent()->correlation);
    break;
  case wire::payload::gossip:
    if (body.Asgossip()->known_notice) {
      m_local_target.on_reported_notice(*body.Asgossip()->known_notice);
      update_target_state();
    }
    m_gossip.on_gossip(from, *body.Asgossip());
    break;
  case wire::payload::desired_state_pull:
    m_state.on_pull(from, *body.Asdesired_state_pull());
    break;
  case wire::payload::desired_state:
    m_state.on_desired_state(*body.Asdesired_state());
    break;
  case wire::payload::quota_ask:
    m_quota.on_ask(from, *body.Asquota_ask(), m_clock.now);
    break;
  case wire::payload::quota_grant:
    m_quota.on_grant(*body.Asquota_grant(), m_clock.now);
    break;
  default:
    // The other messages are used only by nodes with idempotency keys and
    // contracts.
    break;
  }
}

void routed_node::on_call_unsent(std::uint64_t correlation) {
  m_calls.on_unsent(correlation);
}

void routed_node::on_peer_lost(const std::string& peer) {
  m_calls.on_peer_lost(peer);
}

void routed_node::on_call_lost(std::uint64_t correlation) {
  m_calls.on_lost(correlation);
}

void routed_node::on_peer_unresponsive(const std::string& peer,
                                       bool unresponsive) {
  if (member* m = m_members.find(peer)) {
    m->unresponsive = unresponsive;
  }
}

void routed_node::on_target_result(std::uint64_t run, target_result result) {
  m_local_target.on_result(run, std::move(result));
}

bool routed_node::on_target_announce(const target_announcement& a,
                                     const announcement_handler& handler) {
  if (!is_local_target(a)) {
    m_hooks.log(event_id::announcement_ignored,
                {{"instance", a.instance},
                 {"service", a.service},
                 {"data_centre", a.data_centre}});
    if (handler) {
      handler(announcement_result::not_local);
    }
    return false;
  }
  m_local_target.on_announce(a);
  update_target_state();
  if (a.draining) {
    answer_when_recorded(handler);
  } else if (handler) {
    handler(announcement_result::acknowledged);
  }
  return true;
}

void routed_node::answer_when_recorded(const announcement_handler& handler) {
  if (!handler) {
    return;
  }
  m_departures.when_recorded([handler](bool recorded) {
    handler(recorded ? announcement_result::acknowledged
                     : announcement_result::not_recorded);
  });
}

bool routed_node::is_local_target(const target_announcement& a) const {
  const node_identity& self = m_options.self;
  const bool same_service = a.service.empty() || a.service == self.service;
  const bool same_data_centre =
      a.data_centre.empty() || a.data_centre == self.data_centre;
  return same_service && same_data_centre;
}

void routed_node::on_target_leave(const std::string& instance,
                                  std::uint64_t start_time_ms,
                                  const announcement_handler& handler) {
  if (m_local_target.on_deregister(instance, start_time_ms)) {
    update_target_state();
    answer_when_recorded(handler);
  } else if (handler) {
    handler(announcement_result::not_local);
  }
}

void routed_node::on_departures_learned() {
  m_local_target.set_departures_known(m_departures.known());
  m_local_target.check_departed();
  update_target_state();
}

void routed_node::fill_departures(const std::string& to, wire::gossipT& g) {
  const wire::target_noticeT* last = m_departures.notice_of(to);
  if (!g.known_notice && last != nullptr) {
    g.known_notice = std::make_unique<wire::target_noticeT>(*last);
  }
  g.departures_known = m_departures.complete();
  g.departures_wanted = m_departures.wants_list();
  if (m_departures.complete() && m_departures_wanted_by.erase(to) != 0) {
    g.departures = m_departures.list();
  }
}

void routed_node::on_gossiped_departures(const std::string& from,
                                         const wire::gossipT& g) {
  for (const std::unique_ptr<wire::memberT>& it : g.members) {
    // Not from the update itself, which may be an old one.
    const member* m = m_members.find(it->node);
    if (m != nullptr && m->info.departure && it->node != m_options.self.node) {
      m_departures.on_departure_at(it->node, *m->info.departure);
    }
  }
  if (g.departures_wanted) {
    m_departures_wanted_by.insert(from);
  }
  if (g.departures) {
    m_departures.on_list(from, *g.departures);
  } else if (g.departures_known) {
    m_departures.on_confirmed_by_peer(from);
  }
}

void routed_node::set_options(const routed_options& o) {
  node_identity self = m_options.self;
  self.service = o.self.service;
  m_options = o;
  m_options.self = self;
  m_fleet_size = 0;
  m_local_target.set_service(self.service);
  update_target_state();
}

bool routed_node::ready() const {
  // Without other members this node cannot know its part of the teams' rates.
  const bool fleet_known = m_gossip.joined() || m_members.all().size() > 1;
  return m_state.routes() != nullptr && fleet_known && !m_draining;
}

void routed_node::start_draining() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drain_started_at = m_clock.now;
  m_hooks.log(event_id::node_draining, {});
  const instant answer_by = m_clock.now + m_options.drain_limit - exit_margin;
  m_local_target.start_draining(answer_by);
  m_entry.start_draining(answer_by);
  m_gossip.set_ready(false);
}

bool routed_node::must_exit() const {
  return m_draining && m_clock.now - m_drain_started_at >=
                           m_options.drain_limit - hard_exit_margin;
}

bool routed_node::closing() const {
  return m_draining &&
         m_clock.now - m_drain_started_at >= unready_propagation_time;
}

void routed_node::apply_desired_state() {
  const route_table* table = m_state.routes();
  if (table != nullptr) {
    m_quota.apply(*table, m_clock.now);
  }
  m_rollouts.apply_orders(m_state.rollout_orders());
  const bool out =
      m_state.data_centre_out_of_service(m_options.self.data_centre);
  m_local_target.set_out_of_service(out);
  if (m_out_of_service && !out) {
    // The target may have become cold in the meantime.
    m_local_target.assume_cold();
  }
  m_out_of_service = out;
  update_target_state();
  m_gossip.gossip_to_random(2);
}

std::optional<cold_start_settings> routed_node::target_cold_start() const {
  const route_table* table = m_state.routes();
  if (table == nullptr) {
    return std::nullopt;
  }
  const service_settings* s = table->find_service(m_local_target.service());
  return s == nullptr
             ? cold_start_settings{}
             : cold_start_settings{s->cold_requests_per_s, s->cold_start};
}

void routed_node::update_target_state() {
  m_local_target.set_cold_start(target_cold_start());
  m_gossip.set_service(m_local_target.service());
  if (m_options.rollout_share > 0) {
    m_gossip.set_version(m_local_target.version());
  }
  m_gossip.set_ready(m_local_target.ready(),
                     static_cast<double>(m_local_target.capacity()));
  const target_notice& notice = m_local_target.notices().current();
  if (notice.leaving || notice.draining_sequence != 0) {
    m_gossip.set_departure(*m_local_target.notices().to_report());
  }
}

void routed_node::tick_drain() {
  if (!m_draining || m_left) {
    return;
  }
  if (closing()) {
    m_entry.refuse_new_requests();
  }
  const duration since = m_clock.now - m_drain_started_at;
  const bool idle = m_entry.in_progress() == 0 && m_local_target.idle();
  const bool out_of_time = since >= m_options.drain_limit - exit_margin;
  if (!m_leaving && ((closing() && idle) || out_of_time)) {
    m_leaving = true;
    m_leave_started_at = m_clock.now;
    m_gossip.leave();
  }
  if (m_leaving && m_clock.now - m_leave_started_at >= leave_flush_time) {
    m_entry.end_all();
    m_left = true;
  }
}

void routed_node::update_retry_budget() {
  const std::size_t n = m_members.all().size();
  if (n == m_fleet_size) {
    return;
  }
  m_fleet_size = n;
  retry_budget::options o;
  o.tokens_per_first_attempt = m_options.retry_part / retry_levels;
  o.max_tokens =
      std::max(1.0, m_options.retry_slack / 2 / static_cast<double>(n));
  o.release_time = retry_window;
  m_dispatcher.set_retry_options(o);
}

} // namespace kingcupslip
