// Stand-in for a target: slots, service time, cold start, crash, nested calls.
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/http_server.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>

namespace {

using namespace kingcupslip;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr std::string_view crash_marker = "crash-this-target";
constexpr std::size_t max_queued = 500;
constexpr std::chrono::milliseconds announce_period{500};
constexpr std::chrono::milliseconds drain_time{2500};
/// Age of the load that a lagging health endpoint reports, in announcements.
constexpr std::size_t health_lag_periods = 6;

struct target_settings {
  std::string name;
  std::string service;
  std::uint16_t port = 0;
  std::uint16_t announce_port = 0;
  std::uint16_t node_port = 0;
  std::uint32_t slots = 10;
  std::uint32_t service_ms = 5;
  /// Time after the start during which service takes four times as long.
  std::uint32_t cold_ms = 0;
  std::string nested; ///< path of a call made through the node
  /// Whether GET /health reports no load ("idle") or an old one ("lagging").
  std::string health = "lagging";
  std::string log_file;
};

tcp::endpoint loopback_endpoint(std::uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

/// Runs requests on a fixed number of slots, announces itself to its node and
/// writes a log line for each run.
class target {
public:
  target(io_loop& loop, target_settings s)
      : m_loop(loop), m_settings(std::move(s)), m_timer(loop),
        m_started(read_clocks().now), m_log(m_settings.log_file, std::ios::app),
        m_announcement_client(loop,
                              loopback_endpoint(m_settings.announce_port)),
        m_nested_client(loop, loopback_endpoint(m_settings.node_port)),
        m_server(
            loop, "127.0.0.1", m_settings.port, server_limits{},
            server_hooks{
                [this](const caller_request& r, const response_sender& send) {
                  on_request(r, send);
                },
                [this](std::uint64_t c) { m_closed_connections[c] = true; },
                nullptr}) {
    announce();
  }

  void drain() {
    m_draining = true;
    announce_now();
  }

private:
  struct queued_request {
    caller_request request;
    response_sender send;
    instant deadline{0};
  };

  static instant deadline_of(const caller_request& r) {
    const std::string left(header_value(r.headers, header_names::timeout_ms));
    return left.empty() ? instant::max()
                        : read_clocks().now +
                              std::chrono::milliseconds(std::stoll(left));
  }

  static outcome not_run_outcome() {
    outcome o;
    o.execution = verdict::not_run;
    o.refusal_reason = reason::shed;
    o.status = 503;
    return o;
  }

  void answer_health(const response_sender& send) const {
    const bool always_idle = m_settings.health == "idle";
    const std::string load = std::to_string(
        always_idle || m_load_history.empty() ? 0 : m_load_history.front());
    outcome o;
    o.execution = verdict::ran;
    o.status = 200;
    o.body.assign(load.begin(), load.end());
    send(o);
  }

  void on_request(const caller_request& r, const response_sender& send) {
    if (r.request_target == "/health") {
      answer_health(send);
      return;
    }
    if (m_queue.size() >= max_queued) {
      send(not_run_outcome());
      return;
    }
    m_closed_connections.erase(r.connection);
    m_queue.push_back({r, send, deadline_of(r)});
    start_queued();
  }

  void start_queued() {
    while (m_running < m_settings.slots && !m_queue.empty()) {
      queued_request w = std::move(m_queue.front());
      m_queue.pop_front();
      const bool cancelled =
          m_closed_connections.count(w.request.connection) != 0;
      if (cancelled || read_clocks().now >= w.deadline) {
        w.send(not_run_outcome());
        continue;
      }
      run(std::move(w));
    }
  }

  void run(queued_request w) {
    ++m_running;
    log_request(w.request);
    const std::string body(w.request.body.begin(), w.request.body.end());
    if (body.find(crash_marker) != std::string::npos) {
      m_log.flush();
      _exit(1);
    }
    const bool cold = read_clocks().now - m_started <
                      std::chrono::milliseconds(m_settings.cold_ms);
    const std::chrono::milliseconds service_time(m_settings.service_ms *
                                                 (cold ? 4 : 1));
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(m_loop, service_time);
    timer->async_wait([this, timer, w](const boost::system::error_code&) {
      if (m_settings.nested.empty()) {
        finish(w, 200);
        return;
      }
      call_nested(w);
    });
  }

  void call_nested(const queued_request& w) {
    target_request r;
    r.method = "POST";
    r.path = m_settings.nested;
    r.time_left = std::chrono::seconds(5);
    r.body = w.request.body;
    for (const std::string_view name :
         {header_names::context, header_names::idempotency_key}) {
      r.headers.push_back({std::string(name),
                           std::string(header_value(w.request.headers, name))});
    }
    m_nested_client.send(++m_last_request_id, std::move(r),
                         [this, w](const target_result& n) {
                           finish(w, n.status == 200 ? 200 : 502);
                         });
  }

  void finish(const queued_request& w, std::uint16_t status) {
    --m_running;
    outcome o;
    o.execution = verdict::ran;
    o.status = status;
    o.headers.push_back({"X-Target", m_settings.name});
    o.headers.push_back({std::string(header_names::request_id),
                         std::string(header_value(w.request.headers,
                                                  header_names::request_id))});
    o.body = w.request.body;
    w.send(std::move(o));
    start_queued();
  }

  void log_request(const caller_request& r) {
    json headers = json::object();
    for (const header& it : r.headers) {
      headers[it.name] = it.value;
    }
    m_log << json{{"service", m_settings.service},
                  {"target", m_settings.name},
                  {"path", r.request_target},
                  {"idempotency_key",
                   header_value(r.headers, header_names::idempotency_key)},
                  {"headers", headers},
                  {"body_size", r.body.size()}}
                 .dump()
          << std::endl;
  }

  void announce_now() {
    const std::string text = json{
        {"instance", m_settings.name + "/" + std::to_string(getpid())},
        {"draining", m_draining}}.dump();
    target_request r;
    r.method = "POST";
    r.path = "/announce";
    r.time_left = std::chrono::seconds(1);
    r.body.assign(text.begin(), text.end());
    m_announcement_client.send(++m_last_request_id, std::move(r),
                               [](const target_result&) {});
  }

  void announce() {
    announce_now();
    m_load_history.push_back(m_running + m_queue.size());
    if (m_load_history.size() > health_lag_periods) {
      m_load_history.pop_front();
    }
    m_timer.expires_after(announce_period);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        announce();
      }
    });
  }

  io_loop& m_loop;
  target_settings m_settings;
  boost::asio::steady_timer m_timer;
  instant m_started;
  std::ofstream m_log;
  http_client m_announcement_client;
  http_client m_nested_client;
  std::deque<queued_request> m_queue;
  std::map<std::uint64_t, bool> m_closed_connections;
  /// The load at each announcement, the oldest first.
  std::deque<std::size_t> m_load_history;
  std::uint32_t m_running = 0;
  std::uint64_t m_last_request_id = 0;
  bool m_draining = false;
  http_server m_server;
};

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for a target"};
  target_settings s;
  app.add_option("--name", s.name)->required();
  app.add_option("--service", s.service)->required();
  app.add_option("--port", s.port)->required();
  app.add_option("--announce-port", s.announce_port)->required();
  app.add_option("--node-port", s.node_port)->required();
  app.add_option("--slots", s.slots);
  app.add_option("--service-ms", s.service_ms);
  app.add_option("--cold-ms", s.cold_ms);
  app.add_option("--nested", s.nested);
  app.add_option("--health", s.health)
      ->check(CLI::IsMember({"lagging", "idle"}));
  app.add_option("--log", s.log_file)->required();
  CLI11_PARSE(app, argc, argv);
  io_loop loop;
  target t(loop, s);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  boost::asio::steady_timer timer(loop);
  signals.async_wait([&](const boost::system::error_code&, int) {
    t.drain();
    timer.expires_after(drain_time);
    timer.async_wait(
        [&loop](const boost::system::error_code&) { loop.stop(); });
  });
  loop.run();
  return 0;
}
