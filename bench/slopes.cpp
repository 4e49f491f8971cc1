// Measures the memory, messages and processor time per decision and per stored
// item, for docs/CAPACITY.md.
#include "support/routed_fleet.hpp"
#include "support/virtual_fleet.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/idempotency_store.hpp"
#include "kingcupslip/daemon/event_log.hpp"

#include <CLI/CLI.hpp>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>

namespace {

std::uint64_t allocations = 0;

} // namespace

void* operator new(std::size_t n) {
  ++allocations;
  if (void* p = std::malloc(n)) {
    return p;
  }
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

using namespace kingcupslip;
using namespace std::chrono_literals;

std::size_t heap_bytes() { return mallinfo2().uordblks; }

double elapsed_s(const std::function<void()>& work) {
  const std::chrono::steady_clock::time_point started_at =
      std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       started_at)
      .count();
}

void memory_per_key() {
  constexpr int n = 20'000;
  idempotency_store m(n, 1UL << 30U);
  outcome o;
  o.execution = verdict::ran;
  o.status = 200;
  o.body.assign(200, 'x');
  const std::size_t before = heap_bytes();
  for (int i = 0; i < n; ++i) {
    const std::string key =
        "00000000-0000-4000-8000-" + std::to_string(100'000'000'000 + i);
    m.begin("team-a", key, 1, wall_time(0), {1h, wall_time(0)});
    m.finish("team-a", key, o, 1h);
  }
  std::printf("remembered key with a 200-byte answer: %.0f bytes\n",
              static_cast<double>(heap_bytes() - before) / n);
}

void memory_per_team() {
  constexpr int n = 1000;
  configuration c;
  const std::size_t before = heap_bytes();
  std::vector<config_item> items;
  for (int i = 0; i < n; ++i) {
    const std::string team = "team-" + std::to_string(i);
    const std::uint64_t sequence = 2 * static_cast<std::uint64_t>(i) + 1;
    items.push_back(
        {"contract/" + team, to_json(simple_contract(team, 10, 10)), sequence});
    items.push_back({"key/k" + std::to_string(i),
                     nlohmann::json{{"team", team},
                                    {"secret_hash", sha256_hex(team)},
                                    {"withdrawn", false}}
                         .dump(),
                     sequence + 1});
  }
  c.apply(items, 0, 2UL * n);
  items.clear();
  items.shrink_to_fit();
  std::printf("team with a contract of 3 routes and a key: %.0f bytes\n",
              static_cast<double>(heap_bytes() - before) / n);
}

void memory_per_member() {
  constexpr int n = 1000;
  std::uint64_t random = 1;
  member_table t({"self", "dc-a", "127.0.0.1:1", "", "svc", 1}, [&random] {
    return random = random * 6364136223846793005ULL + 1;
  });
  const std::size_t before = heap_bytes();
  for (int i = 0; i < n; ++i) {
    wire::memberT m;
    m.node = "node-" + std::to_string(i);
    m.data_centre = "dc-" + std::to_string(i % 7);
    m.address = "10.1.2.3:7000";
    m.admin_url = "http://10.1.2.3:7001";
    m.service = "service-" + std::to_string(i % 57);
    m.incarnation = 1;
    t.merge(m, 1h);
  }
  std::printf("member: %.0f bytes\n",
              static_cast<double>(heap_bytes() - before) / n);
  instant now = 1h;
  const double s = elapsed_s([&] {
    for (int i = 0; i < 1000; ++i) {
      now += 10ms;
      t.tick(now);
    }
  });
  std::printf("membership tick at 1,000 members: %.1f us\n", s * 1e3);
  const double d = elapsed_s([&] {
    for (int i = 0; i < 100; ++i) {
      static_cast<void>(t.digest());
    }
  });
  std::printf("membership digest at 1,000 members: %.1f us\n", d * 1e4);
}

void decision_cost() {
  virtual_fleet f(1);
  build_two_data_centres(f, 2, 1e6, 1e6);
  constexpr int n = 20'000;
  std::uint64_t before = allocations;
  double s = elapsed_s([&] {
    for (int i = 0; i < n; ++i) {
      f.request("a1", "/svc/list", "unknown", "", "x", [](const outcome&) {});
    }
  });
  std::printf("refusal of an unknown key: %.0f ns, %.1f allocations\n",
              s / n * 1e9, static_cast<double>(allocations - before) / n);
  before = allocations;
  const std::uint64_t runs = f.total_runs();
  s = elapsed_s([&] {
    for (int i = 0; i < n; ++i) {
      f.request("a1", "/svc/list", "secret-a", "", "x", [](const outcome&) {});
      f.run_for(1ms);
    }
  });
  std::printf("request through entry, target's node and back, the fakes of "
              "4 nodes included: %.0f ns, %.1f allocations, %llu runs\n",
              s / n * 1e9, static_cast<double>(allocations - before) / n,
              static_cast<unsigned long long>(f.total_runs() - runs));
}

void control_cost_per_node(std::size_t nodes_per_data_centre) {
  virtual_fleet f(1);
  build_two_data_centres(f, nodes_per_data_centre, 1e6, 1e6);
  f.run_for(120s);
  const std::uint64_t bytes = f.bytes_sent("a1");
  const std::uint64_t reads = f.table_reads;
  const std::uint64_t writes = f.table_writes;
  constexpr int span_s = 60;
  const double s = elapsed_s([&] { f.run_for(60s); });
  const double nodes = static_cast<double>(2 * nodes_per_data_centre);
  std::printf("%3.0f idle nodes: %.0f bytes/s sent a node, table %.2f reads/s "
              "and %.2f writes/s in all, %.3f%% of a core a node\n",
              nodes, static_cast<double>(f.bytes_sent("a1") - bytes) / span_s,
              static_cast<double>(f.table_reads - reads) / span_s,
              static_cast<double>(f.table_writes - writes) / span_s,
              s / span_s / nodes * 100);
}

void routed_control_cost_per_node(std::size_t nodes_per_data_centre) {
  routed_fleet f(1);
  build_routed_fleet(f, nodes_per_data_centre);
  f.run_for(60s);
  const std::uint64_t bytes = f.bytes_sent;
  const std::uint64_t calls = f.store_calls;
  constexpr int span_s = 30;
  const double s = elapsed_s([&] { f.run_for(30s); });
  const double nodes = static_cast<double>(2 * nodes_per_data_centre);
  std::printf("%3.0f idle routed nodes: %.0f bytes/s sent a node, %.3f store "
              "calls/s a node, %.3f%% of a core a node\n",
              nodes, static_cast<double>(f.bytes_sent - bytes) / span_s / nodes,
              static_cast<double>(f.store_calls - calls) / span_s / nodes,
              s / span_s / nodes * 100);
}

void routed_decision_cost() {
  routed_fleet f(1);
  build_routed_fleet(f, 2, simple_routes(1e6, 1e6));
  constexpr int n = 20'000;
  const std::uint64_t before = allocations;
  const double s = elapsed_s([&] {
    for (int i = 0; i < n; ++i) {
      f.request("a1", "/safe/x", "k", [](const outcome&) {});
      f.run_for(1ms);
    }
  });
  std::printf("routed request through entry, target's node and back, the fakes "
              "of 4 nodes included: %.0f ns, %.1f allocations\n",
              s / n * 1e9, static_cast<double>(allocations - before) / n);
}

/// Measures the log line of a request, written and dropped. Standard output
/// should go to a file or /dev/null; the figures go to standard error.
void log_cost() {
  const event_sink log = make_event_log(log_format::json, "n1");
  const auto write_line = [&log] {
    log(event_id::request_answered, {{"request", "9c41d07be2a35f68"},
                                     {"route", "r-e9itfrz"},
                                     {"service", "huvo11a"},
                                     {"team", "pulo780"},
                                     {"reason", "none"},
                                     {"verdict", "ran"},
                                     {"status", "200"},
                                     {"targets", "sidecar-cz-central-a-1"},
                                     {"took_us", std::to_string(81234)},
                                     {"left_us", std::to_string(4918766)},
                                     {"routes", "r12"},
                                     {"state_age_ms", std::to_string(812)}});
  };
  constexpr int lines_written = 20; // limit per second
  const double written_s = elapsed_s([&] {
    for (int i = 0; i < lines_written; ++i) {
      write_line();
    }
  });
  constexpr int n = 100'000;
  const std::uint64_t before = allocations;
  const double dropped_s = elapsed_s([&] {
    for (int i = 0; i < n; ++i) {
      write_line();
    }
  });
  std::fprintf(stderr,
               "line of a request: written %.0f ns, left out %.0f ns and %.1f "
               "allocations\n",
               written_s / lines_written * 1e9, dropped_s / n * 1e9,
               static_cast<double>(allocations - before) / n);
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Measures memory, messages and processor time per item"};
  bool only_routed = false;
  app.add_flag("--routed", only_routed, "only nodes that route by host");
  bool only_log = false;
  app.add_flag("--log", only_log, "only the log lines of requests");
  CLI11_PARSE(app, argc, argv);
  if (only_log) {
    log_cost();
    return 0;
  }
  routed_decision_cost();
  for (const std::size_t n : {7, 16, 32, 64}) {
    routed_control_cost_per_node(n);
  }
  if (only_routed) {
    return 0;
  }
  memory_per_key();
  memory_per_team();
  memory_per_member();
  decision_cost();
  for (const std::size_t n : {2, 4, 8, 16, 32, 64}) {
    control_cost_per_node(n);
  }
  return 0;
}
