// A routed node as a process: the core with its sockets, timers and log.
#ifndef KINGCUPSLIP_DAEMON_ROUTED_DAEMON_HPP
#define KINGCUPSLIP_DAEMON_ROUTED_DAEMON_HPP

#include "kingcupslip/core/routed_node.hpp"
#include "kingcupslip/daemon/metrics.hpp"
#include "kingcupslip/daemon/routed_settings.hpp"
#include "kingcupslip/daemon/watched_file.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/http_server.hpp"
#include "kingcupslip/net/peer_network.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupslip {

/// A target's message to the announcement address.
struct announcement {
  target_announcement target;
  std::string address;      ///< where the target listens, IP:PORT
  bool deregisters = false; ///< the target process leaves for good
};

/// Converts between the messages of callers, targets and the store and the
/// types of the core.
struct routed_protocol {
  /// Null if the request lacks a field that every request must have.
  std::function<std::optional<routed_request>(caller_request)> decode_request;
  /// Encodes an outcome as the HTTP response to the caller.
  response_encoder encode_response;
  /// Null if the request is no announcement of a usable target.
  std::function<std::optional<announcement>(const caller_request&)>
      decode_announcement;
  std::function<bool(const caller_request&)> is_readiness_request;
  target_protocol target;
  std::function<table_hooks(http_client& store)> table;
  std::function<watch_hooks(http_client& store)> watch;
};

/// Runs a routed node: connects the core to sockets, timers, signals and the
/// log.
class routed_daemon {
public:
  /// Throws if it cannot listen on one of the addresses.
  routed_daemon(const routed_settings& settings, routed_protocol protocol,
                watched_file settings_file);
  ~routed_daemon();

  /// Runs until a graceful shutdown, begun by SIGTERM or SIGINT, is complete.
  void run();

private:
  routed_options make_node_options(const routed_settings& s) const;
  routed_hooks make_node_hooks();
  void on_caller_request(caller_request request, const response_sender& send);
  /// Whether a request may be handled beside others of its connection.
  bool may_overlap(const caller_request& request) const;
  void on_announcement(const caller_request& request,
                       const response_sender& send);
  /// Handles an announcement that is no goodbye, by the present settings.
  void accept_announcement(const target_announcement& a,
                           const routed_node::announcement_handler& handler);
  void tick();
  void wait_for_signal();
  /// Applies the settings that can change while the process runs: limits and
  /// periods. Settings with errors change nothing.
  void reload_settings();
  /// Reads the settings again if their file has changed. Requests and
  /// announcements are handled by the service that they name for this VM.
  void update_settings();
  /// Whether a graceful shutdown is complete, answers to callers included, or
  /// has to end now.
  bool may_exit() const;
  /// Sets the node's clock to the present time and returns the node.
  routed_node& refresh_clock();

  routed_settings m_settings;
  routed_protocol m_protocol;
  watched_file m_settings_file;
  io_loop m_loop;
  boost::asio::steady_timer m_timer;
  boost::asio::signal_set m_signals;
  event_sink m_log;
  http_client m_store_client;
  http_client m_target_client;
  latency_histogram m_latencies;
  std::unique_ptr<peer_network> m_peer_network;
  std::unique_ptr<routed_node> m_node;
  std::unique_ptr<http_server> m_caller_server;
  std::unique_ptr<http_server> m_readiness_server;
  std::unique_ptr<http_server> m_announcement_server;
  std::unique_ptr<http_server> m_metrics_server;
  instant m_peers_checked_at{0};
  instant m_settings_checked_at{0};
};

} // namespace kingcupslip

#endif
