// Assembly of a routed node and its event loop.
#include "kingcupslip/daemon/routed_daemon.hpp"

#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/http_status.hpp"
#include "kingcupslip/core/text.hpp"
#include "kingcupslip/daemon/daemon_common.hpp"
#include "kingcupslip/daemon/event_log.hpp"
#include "kingcupslip/daemon/route_preview_json.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::chrono::milliseconds tick_period{10};
constexpr duration peer_check_period = std::chrono::milliseconds(100);
/// For changes that take effect without a request, and those that the state of
/// the file does not show.
constexpr duration settings_check_period = std::chrono::seconds(5);
/// Such a body fits into a frame between nodes together with its headers.
constexpr std::size_t max_request_body_bytes = 8UL * 1024 * 1024;
/// Of requests to the node itself. Parsed JSON takes far more than its text.
constexpr std::size_t max_control_body_bytes = 64UL * 1024;
/// Of callers of the node itself, for each of its addresses.
constexpr std::size_t max_control_connections = 64;
/// A page of rows takes 1 MB, besides its encoding.
constexpr std::size_t max_store_response_bytes = 4UL * 1024 * 1024;
constexpr std::size_t max_store_buffered_bytes = 16UL * 1024 * 1024;
/// A target that misses this many announcements is considered gone.
constexpr int max_missed_announcements = 4;

outcome announcement_response(announcement_result r) {
  switch (r) {
  case announcement_result::acknowledged:
    return plain_response(http_status::ok, "application/json", "{}");
  case announcement_result::not_local:
    return plain_response(http_status::bad_request, "text/plain",
                          "not the target of this node\n");
  case announcement_result::not_recorded:
    break;
  }
  return plain_response(http_status::unavailable, "text/plain",
                        "not recorded yet\n");
}

} // namespace

routed_daemon::routed_daemon(const routed_settings& settings,
                             routed_protocol protocol,
                             watched_file settings_file)
    : m_settings(settings), m_protocol(std::move(protocol)),
      m_settings_file(std::move(settings_file)), m_timer(m_loop),
      m_signals(m_loop, SIGTERM, SIGINT, SIGHUP),
      m_log(make_event_log(settings.log, settings.node)),
      m_store_client(m_loop, to_endpoint(settings.store), nullptr,
                     max_store_response_bytes, max_store_buffered_bytes),
      m_target_client(m_loop, to_endpoint(settings.target), m_log) {
  const routed_options options = make_node_options(settings);
  m_node = std::make_unique<routed_node>(options, make_node_hooks());
  m_node->set_clock(read_clocks());
  peer_hooks network_hooks = make_peer_hooks(
      [this]() -> routed_node& { return refresh_clock(); }, m_log);
  network_hooks.on_unresponsive = [this](const std::string& peer,
                                         bool unresponsive) {
    refresh_clock().on_peer_unresponsive(peer, unresponsive);
  };
  m_peer_network = std::make_unique<peer_network>(
      m_loop, options.self, settings.fleet_secret, settings.peers.ip,
      settings.peers.port, std::move(network_hooks));
  const auto listen =
      [this](const listen_address& at, server_hooks h,
             std::size_t max_body_bytes = max_control_body_bytes,
             std::size_t max_connections = max_control_connections,
             std::size_t max_pipelined = 1) {
        server_limits limits;
        limits.max_pipelined = max_pipelined;
        limits.max_body_bytes = max_body_bytes;
        limits.max_connections = max_connections;
        return std::make_unique<http_server>(m_loop, at.ip, at.port, limits,
                                             std::move(h));
      };
  m_caller_server =
      listen(settings.callers,
             {[this](caller_request r, const response_sender& send) {
                on_caller_request(std::move(r), send);
              },
              [this](std::uint64_t connection) {
                refresh_clock().on_caller_disconnected(connection);
              },
              m_protocol.encode_response, m_log,
              [this](const caller_request& r) { return may_overlap(r); }},
             max_request_body_bytes, max_caller_connections(settings),
             static_cast<std::size_t>(settings.pipelined_requests));
  m_readiness_server =
      listen(settings.readiness,
             {[this](const caller_request& r, const response_sender& send) {
                const bool is_ready = m_protocol.is_readiness_request(r) &&
                                      refresh_clock().ready();
                send(plain_response(is_ready ? http_status::ok
                                             : http_status::unavailable,
                                    "text/plain", ""));
              },
              nullptr, nullptr});
  m_announcement_server =
      listen(settings.announcements,
             {[this](const caller_request& r, const response_sender& send) {
                on_announcement(r, send);
              },
              nullptr, nullptr});
  m_metrics_server =
      listen(settings.metrics,
             {[this](const caller_request& r, const response_sender& send) {
                refresh_clock();
                if (starts_with(r.request_target, route_preview_path)) {
                  send(answer_route_preview(*m_node, r.request_target));
                  return;
                }
                send(plain_response(
                    http_status::ok, "text/plain; version=0.0.4",
                    render_metrics(*m_node, *m_peer_network, m_store_client,
                                   m_target_client, m_latencies)));
              },
              nullptr, nullptr});
}

routed_daemon::~routed_daemon() = default;

void routed_daemon::run() {
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

routed_options
routed_daemon::make_node_options(const routed_settings& s) const {
  routed_options out;
  out.self.node = s.node;
  out.self.data_centre = s.data_centre;
  out.self.service = s.service;
  out.self.address = s.peers.ip + ":" + std::to_string(s.peers.port);
  out.self.incarnation = static_cast<std::uint64_t>(read_clocks().wall.count());
  out.announce_timeout = s.announce_period * max_missed_announcements;
  out.retry_part = s.retry_part;
  out.retry_slack = s.retry_slack;
  out.drain_limit = s.grace_period;
  out.rollout_share = s.rollout_share;
  out.locality_options = {s.locality, s.leaving_cost};
  return out;
}

routed_hooks routed_daemon::make_node_hooks() {
  routed_hooks out;
  out.send = [this](const std::string& to, const wire::payloadUnion& body) {
    m_peer_network->send(to, body);
  };
  out.target =
      make_target_hooks([this]() -> routed_node& { return refresh_clock(); },
                        m_target_client, m_log);
  out.protocol = m_protocol.target;
  out.table = with_clock_refresh(m_protocol.table(m_store_client),
                                 [this] { refresh_clock(); });
  const watch_hooks watch = m_protocol.watch(m_store_client);
  const auto with_refreshed_clock = [this](watch_handler handler) {
    return
        [this, handler](watch_status s, std::vector<desired_state_item> items,
                        store_position at) {
          refresh_clock();
          handler(s, std::move(items), at);
        };
  };
  out.watch.read_all = [watch, with_refreshed_clock](watch_handler handler) {
    watch.read_all(with_refreshed_clock(std::move(handler)));
  };
  out.watch.wait_for_changes = [watch, with_refreshed_clock](
                                   std::uint64_t after, watch_handler handler) {
    watch.wait_for_changes(after, with_refreshed_clock(std::move(handler)));
  };
  out.watch.decode = watch.decode;
  out.random = make_random_source();
  out.log = m_log;
  return out;
}

routed_node& routed_daemon::refresh_clock() {
  m_node->set_clock(read_clocks());
  return *m_node;
}

void routed_daemon::on_caller_request(caller_request request,
                                      const response_sender& send) {
  update_settings();
  const std::chrono::milliseconds waited = request.waited;
  std::optional<routed_request> decoded =
      m_protocol.decode_request(std::move(request));
  if (!decoded) {
    send(refusal(reason::malformed));
    return;
  }
  if (decoded->time_left) {
    decoded->time_left =
        std::max(*decoded->time_left - waited, std::chrono::milliseconds(0));
  }
  const instant started_at = read_clocks().now;
  refresh_clock().on_request(std::move(*decoded),
                             [this, started_at, send](outcome o) {
                               m_latencies.add(read_clocks().now - started_at);
                               send(std::move(o));
                             });
}

bool routed_daemon::may_overlap(const caller_request& request) const {
  const header* host = find_header(request.headers, "Host");
  const route_table* table = m_node->state().routes();
  const host_route* route =
      table == nullptr || host == nullptr
          ? nullptr
          : table->find_route(host->value, request.request_target);
  return route != nullptr && route->idempotent;
}

void routed_daemon::on_announcement(const caller_request& request,
                                    const response_sender& send) {
  update_settings();
  const std::optional<announcement> a = m_protocol.decode_announcement(request);
  const std::string own_address =
      m_settings.target.ip + ":" + std::to_string(m_settings.target.port);
  if (!a || (!a->deregisters && a->address != own_address)) {
    m_log(event_id::announcement_ignored, {{"path", request.request_target}});
    send(plain_response(http_status::bad_request, "text/plain",
                        "not readable\n"));
    return;
  }
  const routed_node::announcement_handler answer =
      [send](announcement_result r) { send(announcement_response(r)); };
  if (a->deregisters) {
    refresh_clock().on_target_leave(a->target.instance, a->target.start_time_ms,
                                    answer);
  } else {
    accept_announcement(a->target, answer);
  }
}

void routed_daemon::accept_announcement(
    const target_announcement& a,
    const routed_node::announcement_handler& handler) {
  if (!m_node->is_local_target(a)) {
    // The address may have got a target of another service.
    reload_settings();
  }
  refresh_clock().on_target_announce(a, handler);
}

void routed_daemon::tick() {
  refresh_clock().tick();
  if (m_node->clock().now - m_peers_checked_at >= peer_check_period) {
    m_peers_checked_at = m_node->clock().now;
    m_peer_network->tick();
  }
  if (m_node->clock().now - m_settings_checked_at >= settings_check_period) {
    // The file may change without a SIGHUP.
    m_settings_checked_at = m_node->clock().now;
    reload_settings();
  }
  if (m_node->draining()) {
    // Further responses close their connections, so that few are open, and
    // none of them in use, when the process ends.
    m_caller_server->disable_keep_alive();
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

bool routed_daemon::may_exit() const {
  const std::size_t unanswered = m_caller_server->unanswered_requests();
  const bool exits =
      m_node->drained() && (unanswered == 0 || m_node->must_exit());
  if (exits && unanswered > 0) {
    m_log(event_id::node_stopped_busy,
          {{"unanswered", std::to_string(unanswered)}});
  }
  return exits;
}

void routed_daemon::wait_for_signal() {
  m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      reload_settings();
    } else {
      refresh_clock().start_draining();
    }
    wait_for_signal();
  });
}

void routed_daemon::update_settings() {
  if (m_settings_file.changed()) {
    reload_settings();
  }
}

void routed_daemon::reload_settings() {
  const std::optional<std::string> text = m_settings_file.read();
  if (!text) {
    m_log(event_id::settings_unreadable, {{"faults", "file cannot be read"}});
    return;
  }
  if (*text == m_settings.source_text) {
    return;
  }
  m_settings.source_text = *text;
  const routed_settings_result parsed = parse_routed_settings(*text);
  if (!parsed.has_value()) {
    m_log(event_id::settings_unreadable,
          {{"faults", to_text(parsed.error(), "settings")}});
    return;
  }
  m_settings = parsed.value();
  refresh_clock().set_options(make_node_options(m_settings));
  m_log(event_id::settings_reloaded, {});
}

} // namespace kingcupslip
