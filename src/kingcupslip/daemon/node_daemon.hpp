// A node as a process: the core with its sockets, timers and log.
#ifndef KINGCUPSLIP_DAEMON_NODE_DAEMON_HPP
#define KINGCUPSLIP_DAEMON_NODE_DAEMON_HPP

#include "kingcupslip/core/node.hpp"
#include "kingcupslip/daemon/admin_listener.hpp"
#include "kingcupslip/daemon/metrics.hpp"
#include "kingcupslip/daemon/settings.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/http_server.hpp"
#include "kingcupslip/net/peer_network.hpp"
#include "kingcupslip/net/table_client.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace kingcupslip {

/// Runs a node: connects the core to sockets, timers, signals and the log.
class node_daemon {
public:
  /// Throws if it cannot listen on one of the addresses.
  explicit node_daemon(const node_settings& settings);
  ~node_daemon();

  /// Runs until a graceful shutdown, begun by SIGTERM or SIGINT, is complete.
  void run();

private:
  node_options make_node_options(const node_settings& s) const;
  node_hooks make_node_hooks();
  void on_caller_request(caller_request request, const response_sender& send);
  void on_announcement(const caller_request& request,
                       const response_sender& send);
  /// Responds to health checks and metrics requests; false for other paths.
  bool handle_internal_path(const caller_request& request,
                            const response_sender& send);
  void tick();
  void wait_for_signal();
  /// Whether a graceful shutdown is complete, answers to callers included, or
  /// has to end now.
  bool may_exit();
  /// Sets the node's clock to the present time and returns the node.
  node& refresh_clock();

  node_settings m_settings;
  io_loop m_loop;
  boost::asio::steady_timer m_timer;
  boost::asio::signal_set m_signals;
  event_sink m_log;
  table_client m_table_client;
  http_client m_target_client;
  latency_histogram m_latencies;
  std::unique_ptr<peer_network> m_peer_network;
  std::unique_ptr<node> m_node;
  std::unique_ptr<http_server> m_caller_server;
  std::unique_ptr<http_server> m_announcement_server;
  std::unique_ptr<admin_service> m_admin_service;
  std::unique_ptr<admin_listener> m_admin_listener;
  instant m_peers_checked_at{0};
  instant m_drained_at{0}; ///< kept up to date until the node is drained
};

} // namespace kingcupslip

#endif
