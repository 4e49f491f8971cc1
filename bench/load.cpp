// Open-loop load generator that checks every answer.
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/core/verdict.hpp"
#include "kingcupslip/net/http_client.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace kingcupslip;
using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds send_period{2};
constexpr std::chrono::seconds final_wait{4};
constexpr int max_attempts = 3;

struct stream_options {
  std::string name;
  std::string key;
  std::string path;
  double rate_per_s = 10;
};

struct stream_result {
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  /// Answers that are incomplete or belong to another request.
  std::uint64_t misdelivered = 0;
  std::uint64_t unanswered = 0; ///< no answer at all
  /// Attempts sent to the next node because a connection was refused.
  std::uint64_t resent_after_refusal = 0;
  /// Attempts sent again, with the same key, because a connection was lost.
  std::uint64_t resent_after_loss = 0;
  std::map<std::string, std::uint64_t> refused;
  std::vector<double> latencies_ms;
  std::set<std::string> not_run_keys;
};

/// Returns a UUID version 7 of the current time.
std::string make_idempotency_key(std::mt19937_64& random) {
  const std::uint64_t ms =
      static_cast<std::uint64_t>(read_clocks().wall.count());
  std::array<char, 96> buf{};
  std::snprintf(buf.data(), buf.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>(ms >> 16U),
                static_cast<unsigned long long>(ms & 0xffffU),
                static_cast<unsigned long long>(random() & 0xfffU),
                static_cast<unsigned long long>(0x8000U | (random() & 0x3fffU)),
                static_cast<unsigned long long>(random() & 0xffffffffffffULL));
  return buf.data();
}

double percentile(std::vector<double> v, double p) {
  if (v.empty()) {
    return 0;
  }
  std::sort(v.begin(), v.end());
  const std::size_t i =
      static_cast<std::size_t>(p * static_cast<double>(v.size() - 1));
  return v[i];
}

/// Sends the streams to the nodes in turn and counts the outcomes. Attempts
/// without an answer are repeated.
class load_generator {
public:
  load_generator(io_loop& loop, const std::vector<std::string>& urls,
                 std::vector<stream_options> streams, std::string id_header,
                 std::uint64_t seed)
      : m_loop(loop), m_timer(loop), m_streams(std::move(streams)),
        m_id_header(std::move(id_header)), m_results(m_streams.size()),
        m_random(seed) {
    for (const std::string& it : urls) {
      const std::size_t slash = it.rfind('/');
      const std::size_t begin = slash == std::string::npos ? 0 : slash + 1;
      const std::size_t colon = it.rfind(':');
      const tcp::endpoint to(
          boost::asio::ip::make_address(it.substr(begin, colon - begin)),
          static_cast<std::uint16_t>(std::stoi(it.substr(colon + 1))));
      m_clients.push_back(std::make_unique<http_client>(loop, to));
    }
  }

  void run(duration span) {
    m_end = read_clocks().now + span;
    m_last_step = read_clocks().now;
    send_due();
    m_loop.run();
  }

  const std::vector<stream_result>& results() const { return m_results; }

private:
  void send_due() {
    const instant now = read_clocks().now;
    const double elapsed_s =
        static_cast<double>((now - m_last_step).count()) / 1e6;
    m_last_step = now;
    if (now >= m_end) {
      m_timer.expires_after(final_wait);
      m_timer.async_wait(
          [this](const boost::system::error_code&) { m_loop.stop(); });
      return;
    }
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
      std::poisson_distribution<int> arrivals(m_streams[i].rate_per_s *
                                              elapsed_s);
      const int n = arrivals(m_random);
      for (int k = 0; k < n; ++k) {
        send(i);
      }
    }
    m_timer.expires_after(send_period);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        send_due();
      }
    });
  }

  void send(std::size_t i) {
    ++m_results[i].sent;
    attempt(i, make_idempotency_key(m_random), read_clocks().now, 1);
  }

  void attempt(std::size_t i, const std::string& key, instant started_at,
               int n) {
    const stream_options& s = m_streams[i];
    target_request r;
    r.method = "POST";
    r.path = s.path;
    r.time_left = std::chrono::seconds(4);
    r.body.assign(key.begin(), key.end());
    r.headers.push_back({m_id_header, key});
    if (!s.key.empty()) {
      r.headers.push_back(
          {std::string(header_names::authorization), "Bearer " + s.key});
    }
    http_client& client = *m_clients[m_attempts++ % m_clients.size()];
    client.send(m_attempts, std::move(r),
                [this, i, key, started_at, n](target_result a) {
                  if (a.end != exchange_end::answered && n < max_attempts) {
                    ++(a.end == exchange_end::lost
                           ? m_results[i].resent_after_loss
                           : m_results[i].resent_after_refusal);
                    attempt(i, key, started_at, n + 1);
                    return;
                  }
                  on_answer(m_results[i], key, started_at, a);
                });
  }

  static void on_answer(stream_result& out, const std::string& key,
                        instant started_at, const target_result& a) {
    if (a.end != exchange_end::answered) {
      ++out.unanswered;
      return;
    }
    const std::string body(a.body.begin(), a.body.end());
    if (a.status == 200) {
      body == key ? ++out.succeeded : ++out.misdelivered;
      out.latencies_ms.push_back(
          static_cast<double>((read_clocks().now - started_at).count()) / 1e3);
      return;
    }
    const json problem = json::parse(body, nullptr, false);
    const std::string why =
        problem.is_object() ? problem.value("reason", "target") : "target";
    ++out.refused[why];
    if (header_value(a.headers, header_names::verdict) ==
        name_of(verdict::not_run)) {
      out.not_run_keys.insert(key);
    }
  }

  io_loop& m_loop;
  boost::asio::steady_timer m_timer;
  std::vector<std::unique_ptr<http_client>> m_clients;
  std::vector<stream_options> m_streams;
  std::string m_id_header;
  std::vector<stream_result> m_results;
  std::mt19937_64 m_random;
  instant m_end{0};
  instant m_last_step{0};
  std::uint64_t m_attempts = 0;
};

/// Counts the runs of each idempotency key on one route in the log that the
/// target stand-ins write.
std::map<std::string, int> runs_by_key(const std::string& log_file,
                                       const std::string& route_path) {
  std::map<std::string, int> out;
  std::ifstream in(log_file);
  std::string line;
  while (std::getline(in, line)) {
    const json row = json::parse(line, nullptr, false);
    if (row.is_object() && ("/" + row.value("service", "") +
                            row.value("path", "")) == route_path) {
      ++out[row.value("idempotency_key", "")];
    }
  }
  return out;
}

json summary(const stream_options& s, const stream_result& r,
             const std::string& log_file, bool at_most_once) {
  std::uint64_t false_not_run = 0;
  std::uint64_t duplicate_runs = 0;
  if (!log_file.empty()) {
    for (const std::pair<const std::string, int>& it :
         runs_by_key(log_file, s.path)) {
      false_not_run += r.not_run_keys.count(it.first);
      duplicate_runs += at_most_once && it.second > 1 ? 1 : 0;
    }
  }
  return {{"name", s.name},
          {"path", s.path},
          {"sent", r.sent},
          {"good", r.succeeded},
          {"lost", r.unanswered},
          {"moved", r.resent_after_refusal},
          {"resent", r.resent_after_loss},
          {"crossed", r.misdelivered},
          {"untrue", false_not_run},
          {"doubled", duplicate_runs},
          {"refused", r.refused},
          {"p50_ms", percentile(r.latencies_ms, 0.50)},
          {"p99_ms", percentile(r.latencies_ms, 0.99)}};
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Open-loop load; prints a JSON summary per stream"};
  std::vector<std::string> urls;
  std::vector<std::string> streams;
  std::string log_file;
  std::string id_header(header_names::idempotency_key);
  double seconds = 10;
  std::uint64_t seed = 1;
  app.add_option("--url", urls, "nodes, used in turn")->required();
  app.add_option("--stream", streams,
                 "NAME,KEY,PATH,RATE[,once]; once: at most one run per key")
      ->required();
  app.add_option("--seconds", seconds);
  app.add_option("--seed", seed);
  app.add_option("--target-log", log_file);
  app.add_option("--id-header", id_header, "header that names each request");
  CLI11_PARSE(app, argc, argv);
  std::vector<stream_options> parsed;
  std::vector<bool> at_most_once;
  for (const std::string& it : streams) {
    std::vector<std::string> f = CLI::detail::split(it, ',');
    if (f.size() < 4) {
      std::cerr << "--stream: NAME,KEY,PATH,RATE\n";
      return 2;
    }
    parsed.push_back({f[0], f[1], f[2], std::stod(f[3])});
    at_most_once.push_back(f.size() > 4);
  }
  io_loop loop;
  load_generator g(loop, urls, parsed, id_header, seed);
  g.run(duration(static_cast<std::int64_t>(seconds * 1e6)));
  json out = json::array();
  for (std::size_t i = 0; i < parsed.size(); ++i) {
    out.push_back(
        summary(parsed[i], g.results()[i], log_file, at_most_once[i]));
  }
  std::cout << out.dump(1) << "\n";
  return 0;
}
