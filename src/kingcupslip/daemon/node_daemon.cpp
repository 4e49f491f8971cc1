// Assembly of a node and its event loop.
#include "kingcupslip/daemon/node_daemon.hpp"

#include "kingcupslip/core/json_field.hpp"
#include "kingcupslip/daemon/daemon_common.hpp"
#include "kingcupslip/daemon/event_log.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <string_view>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::chrono::milliseconds tick_period{5};
/// How long the process waits, once drained, for answers to be written.
constexpr duration answer_flush_time = std::chrono::seconds(2);
constexpr duration peer_check_period = std::chrono::milliseconds(500);
constexpr std::string_view internal_path_prefix = "/-/";

std::string http_url(const listen_address& a) {
  return "http://" + a.ip + ":" + std::to_string(a.port);
}

} // namespace

node_daemon::node_daemon(const node_settings& settings)
    : m_settings(settings), m_timer(m_loop), m_signals(m_loop, SIGTERM, SIGINT),
      m_log(make_event_log(settings.log, settings.node)),
      m_table_client(m_loop, to_endpoint(settings.table)),
      m_target_client(m_loop, to_endpoint(settings.target), m_log) {
  const node_options options = make_node_options(settings);
  m_node = std::make_unique<node>(options, make_node_hooks());
  m_node->set_clock(read_clocks());
  peer_hooks network_hooks =
      make_peer_hooks([this]() -> node& { return refresh_clock(); }, m_log);
  m_peer_network = std::make_unique<peer_network>(
      m_loop, options.self, settings.fleet_secret, settings.peers.ip,
      settings.peers.port, std::move(network_hooks));
  m_caller_server = std::make_unique<http_server>(
      m_loop, settings.callers.ip, settings.callers.port, settings.limits,
      server_hooks{[this](caller_request r, const response_sender& send) {
                     on_caller_request(std::move(r), send);
                   },
                   [this](std::uint64_t connection) {
                     refresh_clock().on_caller_disconnected(connection);
                   },
                   nullptr, m_log});
  m_announcement_server = std::make_unique<http_server>(
      m_loop, settings.announcements.ip, settings.announcements.port,
      settings.limits,
      server_hooks{
          [this](const caller_request& r, const response_sender& send) {
            on_announcement(r, send);
          },
          nullptr, nullptr});
  m_admin_service =
      std::make_unique<admin_service>(*m_node, settings.operator_token, m_log);
  m_admin_listener = std::make_unique<admin_listener>(m_loop, *m_admin_service,
                                                      http_url(settings.admin));
  for (const seed_node& it : settings.seeds) {
    m_node->add_seed(it.node, it.address);
  }
}

node_daemon::~node_daemon() = default;

void node_daemon::run() {
  m_log(event_id::node_started, {{"data_centre", m_settings.data_centre},
                                 {"service", m_settings.service}});
  wait_for_signal();
  tick();
  try {
    m_loop.run();
  } catch (const std::exception& e) {
    // What the handler was to do is half done and timers may not be set again,
    // so that the process ends rather than goes on.
    m_log(event_id::node_failed, {{"error", e.what()}});
    throw;
  }
  m_log(event_id::node_stopped, {});
}

node_options node_daemon::make_node_options(const node_settings& s) const {
  node_options out;
  out.self.node = s.node;
  out.self.data_centre = s.data_centre;
  out.self.service = s.service;
  out.self.address = s.peers.ip + ":" + std::to_string(s.peers.port);
  out.self.admin_url = http_url(s.admin);
  out.self.incarnation = static_cast<std::uint64_t>(read_clocks().wall.count());
  out.fleet_secret = s.fleet_secret;
  out.max_in_flight = s.max_in_flight;
  out.drain_limit = s.drain_limit;
  out.entry.max_body_bytes = s.limits.max_body_bytes;
  out.entry.unconfirmed = s.unconfirmed;
  out.entry.confirmed_within = s.confirmed_within;
  return out;
}

node_hooks node_daemon::make_node_hooks() {
  node_hooks out;
  out.send = [this](const std::string& to, const wire::payloadUnion& body) {
    m_peer_network->send(to, body);
  };
  out.target = make_target_hooks([this]() -> node& { return refresh_clock(); },
                                 m_target_client, m_log);
  out.table =
      with_clock_refresh(m_table_client.hooks(), [this] { refresh_clock(); });
  out.random = make_random_source();
  out.log = m_log;
  return out;
}

node& node_daemon::refresh_clock() {
  m_node->set_clock(read_clocks());
  return *m_node;
}

void node_daemon::on_caller_request(caller_request request,
                                    const response_sender& send) {
  if (handle_internal_path(request, send)) {
    return;
  }
  const instant started_at = read_clocks().now;
  refresh_clock().on_request(std::move(request),
                             [this, started_at, send](outcome o) {
                               m_latencies.add(read_clocks().now - started_at);
                               send(std::move(o));
                             });
}

bool node_daemon::handle_internal_path(const caller_request& request,
                                       const response_sender& send) {
  if (request.request_target.substr(0, internal_path_prefix.size()) !=
      internal_path_prefix) {
    return false;
  }
  if (request.request_target == "/-/healthz") {
    const bool healthy = m_node->sync().ready() && !m_node->draining();
    send(plain_response(healthy ? 200 : 503, "text/plain",
                        healthy ? "ok\n" : "not ready\n"));
  } else if (request.request_target == "/-/metrics") {
    refresh_clock();
    send(plain_response(
        200, "text/plain; version=0.0.4",
        render_metrics(*m_node, *m_peer_network, m_table_client, m_latencies)));
  } else {
    send(refusal(reason::unknown_service));
  }
  return true;
}

void node_daemon::on_announcement(const caller_request& request,
                                  const response_sender& send) {
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, false);
  const bool is_valid = request.method == "POST" &&
                        request.request_target == "/announce" &&
                        body.is_object() && body.contains("instance") &&
                        body["instance"].is_string();
  if (!is_valid) {
    send(refusal(reason::malformed));
    return;
  }
  refresh_clock().on_target_announce(body["instance"].get<std::string>(),
                                     bool_field(body, "draining"));
  send(plain_response(204, "text/plain", ""));
}

void node_daemon::tick() {
  refresh_clock().tick();
  if (m_node->clock().now - m_peers_checked_at >= peer_check_period) {
    m_peers_checked_at = m_node->clock().now;
    m_peer_network->tick();
  }
  if (m_node->draining()) {
    // Further responses close their connections, so that callers connect to
    // another node.
    m_caller_server->stop_accepting();
  }
  if (may_exit()) {
    m_loop.stop();
    return;
  }
  m_timer.expires_after(tick_period);
  m_timer.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      tick();
    }
  });
}

bool node_daemon::may_exit() {
  const instant now = m_node->clock().now;
  if (!m_node->drained()) {
    m_drained_at = now;
    return false;
  }
  const std::size_t unanswered = m_caller_server->unanswered_requests();
  const bool exits = unanswered == 0 || now - m_drained_at >= answer_flush_time;
  if (exits && unanswered > 0) {
    m_log(event_id::node_stopped_busy,
          {{"unanswered", std::to_string(unanswered)}});
  }
  return exits;
}

void node_daemon::wait_for_signal() {
  m_signals.async_wait([this](const boost::system::error_code& ec, int) {
    if (!ec) {
      refresh_clock().start_draining();
      wait_for_signal();
    }
  });
}

} // namespace kingcupslip
