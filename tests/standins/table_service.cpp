// Stand-in for the platform's table service: rate limits, outages, lost
// answers.
#include "table_store.hpp"

#include "kingcupslip/net/http_server.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <memory>
#include <string>

namespace {

using namespace kingcupslip;
using nlohmann::json;

/// Allows a fixed number of calls in each second.
class rate_limiter {
public:
  explicit rate_limiter(std::uint32_t calls_per_s)
      : m_calls_per_s(calls_per_s) {}
  bool allow() {
    const std::int64_t second = read_clocks().now / std::chrono::seconds(1);
    if (second != m_second) {
      m_second = second;
      m_used = 0;
    }
    return ++m_used <= m_calls_per_s;
  }

private:
  std::uint32_t m_calls_per_s;
  std::uint32_t m_used = 0;
  std::int64_t m_second = 0;
};

outcome http_answer(std::uint16_t status, const json& body) {
  outcome out;
  out.execution = verdict::ran;
  out.status = status;
  const std::string text = body.dump();
  out.body.assign(text.begin(), text.end());
  return out;
}

table_transaction parse_writes(const json& list) {
  table_transaction out;
  for (const json& it : list) {
    table_write w;
    w.key = it.value("key", "");
    w.expected_version = it.value("version", std::uint64_t{0});
    w.check_only = it.value("check_only", false);
    if (it.contains("value")) {
      w.value = it["value"].get<std::string>();
    }
    out.push_back(std::move(w));
  }
  return out;
}

/// Serves a table over HTTP. Control requests switch faults on and off.
class table_service {
public:
  table_service(io_loop& loop, std::uint16_t port, std::uint32_t reads_per_s,
                std::uint32_t writes_per_s)
      : m_loop(loop), m_read_limiter(reads_per_s),
        m_write_limiter(writes_per_s),
        m_server(loop, "127.0.0.1", port, server_limits{},
                 server_hooks{
                     [this](const caller_request& r,
                            const response_sender& send) { handle(r, send); },
                     nullptr, nullptr}) {}

private:
  void handle(const caller_request& r, const response_sender& send) {
    if (handle_control(r.request_target)) {
      send(http_answer(200, json::object()));
      return;
    }
    const json body = json::parse(r.body, nullptr, false);
    const outcome out = m_down || body.is_discarded()
                            ? http_answer(503, json{{"error", "down"}})
                        : r.request_target == "/read" ? read(body)
                                                      : commit(body);
    if (m_delay.count() == 0) {
      send(out);
      return;
    }
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(m_loop, m_delay);
    timer->async_wait(
        [timer, send, out](const boost::system::error_code&) { send(out); });
  }

  bool handle_control(const std::string& target) {
    const std::string value = target.substr(target.find('=') + 1);
    if (target == "/down" || target == "/up") {
      m_down = target == "/down";
    } else if (target.rfind("/slow", 0) == 0) {
      m_delay = std::chrono::milliseconds(std::stoi(value));
    } else if (target.rfind("/lose-answers", 0) == 0) {
      m_answers_to_lose = std::stoi(value);
    } else {
      return false;
    }
    return true;
  }

  outcome read(const json& body) {
    if (!m_read_limiter.allow()) {
      return http_answer(503, json{{"error", "too many reads"}});
    }
    json rows = json::array();
    for (const table_row& it :
         m_store.read({body.value("prefix", ""), body.value("after", ""),
                       body.value("most", std::size_t{1})})) {
      rows.push_back(
          {{"key", it.key}, {"value", it.value}, {"version", it.version}});
    }
    return http_answer(200, rows);
  }

  outcome commit(const json& body) {
    if (!m_write_limiter.allow()) {
      return http_answer(503, json{{"error", "too many writes"}});
    }
    std::uint64_t version = 0;
    const table_status s = m_store.commit(parse_writes(body), version);
    if (m_answers_to_lose > 0) {
      --m_answers_to_lose;
      return http_answer(500, json{{"error", "answer lost"}});
    }
    return s == table_status::ok ? http_answer(200, {{"version", version}})
                                 : http_answer(409, json::object());
  }

  io_loop& m_loop;
  table_store m_store;
  rate_limiter m_read_limiter;
  rate_limiter m_write_limiter;
  bool m_down = false;
  std::chrono::milliseconds m_delay{0};
  int m_answers_to_lose = 0;
  http_server m_server;
};

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the platform's table service"};
  std::uint16_t port = 0;
  std::uint32_t reads_per_s = 2000;
  std::uint32_t writes_per_s = 300;
  app.add_option("--port", port)->required();
  app.add_option("--reads-per-s", reads_per_s);
  app.add_option("--writes-per-s", writes_per_s);
  CLI11_PARSE(app, argc, argv);
  io_loop loop;
  table_service s(loop, port, reads_per_s, writes_per_s);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait(
      [&loop](const boost::system::error_code&, int) { loop.stop(); });
  loop.run();
  return 0;
}
