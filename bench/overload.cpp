// Compares overload control with plain forwarding, on virtual time.
#include "support/virtual_fleet.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace kingcupslip;
using namespace std::chrono_literals;

/// The size of a service in one deployment, from the requirements.
struct deployment {
  std::string name;
  std::size_t data_centres;
  std::size_t endpoints;
  std::size_t slots; ///< of each endpoint
  duration service;

  double capacity_per_s() const {
    return static_cast<double>(endpoints * slots) /
           (static_cast<double>(service.count()) / 1e6);
  }
};

constexpr std::chrono::milliseconds caller_timeout{400};
constexpr duration warm_up = 4s;
constexpr duration measured_time = 6s;

struct request_counts {
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  std::map<std::string, std::uint64_t> refused;
};

std::string
format_refusals(const std::map<std::string, std::uint64_t>& refused) {
  std::string out;
  for (const std::pair<const std::string, std::uint64_t>& it : refused) {
    out += " " + it.first + "=" + std::to_string(it.second);
  }
  return out;
}

/// Simulates a fleet of one service with open-loop callers that resend.
class overload_scenario {
public:
  overload_scenario(const deployment& d, bool plain, std::uint64_t seed)
      : f(seed) {
    dispatcher::options o;
    o.plain_forwarding = plain;
    for (std::size_t i = 0; i < d.endpoints; ++i) {
      const std::string dc = "dc-" + std::to_string(i % d.data_centres);
      f.add("n" + std::to_string(i), dc, "svc", {d.slots, d.service, 1'000'000},
            o);
    }
    f.run_for(4s);
    f.apply_contract("n0", make_contract("team-a"));
    f.apply_contract("n0", make_contract("team-b"));
    f.issue_key("n0", "ka", "team-a", "secret-a");
    f.issue_key("n0", "kb", "team-b", "secret-b");
    f.run_for(5s);
    names = f.names();
  }

  /// Returns a contract. Priority by route: /book high, /list normal, /dispatch
  /// critical.
  static contract make_contract(const std::string& team) {
    contract c = simple_contract(team, 1e6, 1e6);
    c.retries = 3;
    contract_route dispatch;
    dispatch.service = "svc";
    dispatch.path_prefix = "/dispatch";
    dispatch.rank = priority::critical;
    c.routes.push_back(dispatch);
    return c;
  }

  /// Adds a stream with Poisson arrivals. Callers resend up to `resends`
  /// times.
  void offer(const std::string& secret, const std::string& path,
             double rate_per_s, duration span, request_counts& counts,
             int resends) {
    m_streams.push_back(
        {secret, path, rate_per_s, f.time.now() + span, &counts, resends});
  }

  void run_for(duration span) {
    const instant end = f.time.now() + span;
    while (f.time.now() < end) {
      for (const stream& s : m_streams) {
        if (f.time.now() >= s.until) {
          continue;
        }
        std::poisson_distribution<int> n(s.rate_per_s / 1000);
        for (int k = n(f.random); k > 0; --k) {
          send(s, s.resends);
        }
      }
      f.run_for(1ms);
    }
  }

  virtual_fleet f;
  std::vector<std::string> names;

private:
  struct stream {
    std::string secret;
    std::string path;
    double rate_per_s;
    instant until;
    request_counts* counts;
    int resends;
  };

  void send(const stream& s, int resends_left) {
    ++s.counts->sent;
    const instant started_at = f.time.now();
    const stream copy = s;
    f.request(
        names[f.random() % names.size()], s.path, s.secret, "", "x",
        [this, copy, started_at, resends_left](const outcome& o) {
          const bool in_time = f.time.now() - started_at <= caller_timeout;
          if (o.execution == verdict::ran && o.status == 200 && in_time) {
            ++copy.counts->succeeded;
            return;
          }
          ++copy.counts
                ->refused[o.execution == verdict::ran ? "late" : text_of(o)];
          if (resends_left > 0) {
            // Simulates an aggressive client that hardly waits to resend.
            f.time.run_after(20ms, [this, copy, resends_left] {
              send(copy, resends_left - 1);
            });
          }
        },
        caller_timeout);
  }

  std::vector<stream> m_streams;
};

/// Returns the requests per second that are answered in time.
double goodput(const deployment& d, bool plain, double load_factor) {
  overload_scenario s(d, plain, 5);
  request_counts unmeasured;
  request_counts c;
  const double rate_per_s = d.capacity_per_s() * load_factor;
  s.offer("secret-a", "/svc/list", rate_per_s, warm_up, unmeasured, 0);
  s.run_for(warm_up);
  s.offer("secret-a", "/svc/list", rate_per_s, measured_time, c, 0);
  s.run_for(measured_time + 1s);
  return static_cast<double>(c.succeeded) / 6;
}

void goodput_table(const deployment& d) {
  std::printf("%s: %zu endpoints x %zu slots, %.0f ms; capacity %.0f/s; "
              "goodput/s\n  load      plain   kingcupslip\n",
              d.name.c_str(), d.endpoints, d.slots,
              static_cast<double>(d.service.count()) / 1e3, d.capacity_per_s());
  for (const double load_factor : {0.5, 1.0, 2.0, 4.0, 10.0}) {
    std::printf("  %4.1f x  %8.0f %8.0f\n", load_factor,
                goodput(d, true, load_factor), goodput(d, false, load_factor));
  }
}

/// Returns the seconds from the end of a surge until goodput is back at 90%
/// of its value before, or -1 if that takes more than 30 s.
double recovery_time_s(const deployment& d, bool plain) {
  overload_scenario s(d, plain, 6);
  request_counts steady;
  const double base_per_s = d.capacity_per_s() * 0.7;
  s.offer("secret-a", "/svc/list", base_per_s, 10min, steady, 3);
  s.run_for(5s);
  const std::uint64_t before = steady.succeeded;
  s.run_for(2s);
  const double normal = static_cast<double>(steady.succeeded - before) / 2;
  request_counts surge;
  s.offer("secret-b", "/svc/list", d.capacity_per_s() * 4, 3s, surge, 3);
  s.run_for(3s);
  for (int i = 1; i <= 60; ++i) {
    const std::uint64_t succeeded_before = steady.succeeded;
    s.run_for(500ms);
    if (static_cast<double>(steady.succeeded - succeeded_before) * 2 >=
        normal * 0.9) {
      return i * 0.5;
    }
  }
  return -1;
}

/// Prints the fraction of a team's requests that is answered while another team
/// sends ten times as many.
void fairness(const deployment& d, bool plain) {
  overload_scenario s(d, plain, 7);
  request_counts no_load;
  request_counts above_share;
  request_counts within_share;
  const double fair_share_per_s = d.capacity_per_s() * 0.3;
  s.offer("secret-a", "/svc/list", fair_share_per_s, 20s, within_share, 0);
  s.offer("secret-b", "/svc/list", fair_share_per_s * 10, 20s, above_share, 0);
  s.run_for(5s);
  s.offer("secret-a", "/svc/list", 0, 1s, no_load, 0);
  within_share.refused.clear();
  const request_counts before_measurement = within_share;
  s.run_for(6s);
  std::printf(
      "  worst-served team at its due, other at 10 x: %.1f%% of due "
      "(%s); refused:%s\n",
      100.0 *
          static_cast<double>(within_share.succeeded -
                              before_measurement.succeeded) /
          static_cast<double>(within_share.sent - before_measurement.sent),
      plain ? "plain" : "kingcupslip",
      format_refusals(within_share.refused).c_str());
}

/// Prints the fractions of critical and of normal requests that are answered
/// while the normal ones overload the service.
void priorities(const deployment& d, bool plain) {
  overload_scenario s(d, plain, 8);
  request_counts critical;
  request_counts normal;
  const double capacity = d.capacity_per_s();
  s.offer("secret-a", "/svc/dispatch", capacity * 0.4, 20s, critical, 0);
  s.offer("secret-a", "/svc/list", capacity * 4, 20s, normal, 0);
  s.run_for(5s);
  critical.refused.clear();
  const request_counts critical_before = critical;
  const request_counts normal_before = normal;
  s.run_for(6s);
  std::printf(
      "  critical at 0.4 x beside normal at 4 x: %.2f%% and %.1f%% "
      "answered (%s); critical refused:%s\n",
      100.0 *
          static_cast<double>(critical.succeeded - critical_before.succeeded) /
          static_cast<double>(critical.sent - critical_before.sent),
      100.0 * static_cast<double>(normal.succeeded - normal_before.succeeded) /
          static_cast<double>(normal.sent - normal_before.sent),
      plain ? "plain" : "kingcupslip",
      format_refusals(critical.refused).c_str());
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Goodput, recovery, fairness and shedding order, side by side "
               "with plain forwarding"};
  std::string only;
  app.add_option("--only", only, "part of a deployment's name");
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  // Slots and rates are scaled by the same factor; their ratios are those of
  // the requirements.
  const std::vector<deployment> deployments{
      {"Krmivo dispatch", 3, 3, 25, 50ms},
      {"Krmivo stock", 3, 5, 30, 50ms},
      {"agency cashier-payments", 4, 4, 50, 60ms},
      {"agency balances", 4, 4, 20, 40ms}};
  for (const deployment& d : deployments) {
    if (d.name.find(only) == std::string::npos) {
      continue;
    }
    goodput_table(d);
    for (const bool plain : {true, false}) {
      const double s = recovery_time_s(d, plain);
      std::printf("  recovery after a surge of 4 x for 3 s with resends: "
                  "%.1f s%s (%s)\n",
                  s, s < 0 ? " (not within 30 s)" : "",
                  plain ? "plain" : "kingcupslip");
      fairness(d, plain);
      priorities(d, plain);
    }
  }
  return 0;
}
