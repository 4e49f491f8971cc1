// Plays a call graph whose chains end at its smallest service, under changing
// load, on virtual time, and prints what each kind of request earned.
#include "support/call_graph.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <string>

namespace {

using namespace kingcupslip;

constexpr const char* callers_kinds[] = {"lookup", "order", "payment", "issue"};

void print_totals(const call_graph& g, std::size_t from_s, std::size_t to_s) {
  for (const char* it : callers_kinds) {
    const graph_result n = g.total(it, from_s, to_s);
    std::printf("  %-8s earned %.3f sent %zu in aim %zu late %zu failed %zu "
                "refused %zu\n",
                it, g.earned(it, from_s, to_s), n.sent, n.in_aim, n.late,
                n.failed, n.refused);
  }
}

void print_seconds(const call_graph& g, std::size_t seconds) {
  for (std::size_t s = 0; s < seconds; ++s) {
    std::printf("%3zu", s);
    for (const char* it : callers_kinds) {
      const graph_result n = g.total(it, s, s + 1);
      std::printf("  %s %.2f (f %zu r %zu)", it, g.earned(it, s, s + 1),
                  n.failed, n.refused);
    }
    std::printf("\n");
  }
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("call graph under load");
  std::size_t size = 2;
  std::size_t seconds = 20;
  double load = 1.1;
  double refused = 0;
  double burst = 1;
  std::uint64_t seed = 1;
  bool by_second = false;
  app.add_option("--size", size, "targets of the smallest service");
  app.add_option("--seconds", seconds);
  app.add_option("--load", load, "relative to a full smallest service");
  app.add_option("--burst", burst, "factor of `order` from second 5 to 10");
  app.add_option("--refused", refused,
                 "part turned away by the smallest service, 10 to 15 s");
  app.add_option("--seed", seed);
  app.add_flag("--by-second", by_second);
  CLI11_PARSE(app, argc, argv);
  call_graph::options o = deep_graph(size, load);
  o.seed = seed;
  call_graph g(o);
  for (std::size_t s = 0; s < seconds; ++s) {
    g.load["order"] = s >= 5 && s < 10 ? burst : 1;
    g.refused_part["register"] = s >= 10 && s < 15 ? refused : 0;
    g.run_for(std::chrono::seconds(1));
  }
  const std::uint64_t calls = g.runs("register");
  g.run_for(std::chrono::seconds(6));
  std::printf("load %.2f seed %llu: %llu runs at the smallest service\n", load,
              static_cast<unsigned long long>(seed),
              static_cast<unsigned long long>(calls));
  print_totals(g, 0, seconds);
  if (by_second) {
    print_seconds(g, seconds);
  }
  return 0;
}
