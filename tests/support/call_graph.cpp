// Callers and targets of the modelled call graph.
#include "call_graph.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration set_up_time = seconds(3);
/// Of each caller's way to its node, there and back.
constexpr duration caller_way = milliseconds(6);

duration from_ms(double ms) {
  return duration(static_cast<duration::rep>(ms * 1000));
}

} // namespace

call_graph::call_graph(options o)
    : m_options(std::move(o)), m_fleet(m_options.seed),
      m_random(m_options.seed * 31 + 7) {
  m_fleet.slots = 0;
  m_fleet.locality_options = {locality_mode::adaptive, duration(0)};
  write_routes();
  add_nodes();
  m_fleet.run_for(set_up_time);
  m_started_at = m_fleet.time.now();
}

void call_graph::write_routes() {
  route_table::content c;
  for (const graph_kind& it : m_options.kinds) {
    host_route r;
    r.name = it.name;
    r.host = "h";
    r.path_prefix = "/" + it.name + "/";
    r.services = {{it.service, 1}};
    r.idempotent = it.idempotent;
    r.open = it.per_s <= 0;
    r.timeout = it.route_timeout;
    r.latency_target = it.aim;
    r.max_targets = it.idempotent ? 3 : 2;
    r.urgency = it.urgency;
    c.routes.push_back(std::move(r));
    m_results[it.name];
    load[it.name] = 1;
  }
  for (const graph_service& it : m_options.services) {
    c.services[it.name] = {milliseconds(0), 0, 0};
  }
  c.teams.push_back({"t", {"k"}, std::nullopt, 0, 0});
  m_fleet.write_routes(std::move(c));
}

void call_graph::add_nodes() {
  std::size_t place = 0;
  for (const graph_service& s : m_options.services) {
    for (std::size_t i = 0; i < s.targets; ++i) {
      node_info n{s.name + std::to_string(i), s.name,
                  s.speeds[i % s.speeds.size()],
                  s.knee * static_cast<double>(s.slots), s.knee_factor};
      const std::string data_centre =
          "dc-" + std::to_string(place++ % m_options.data_centres);
      m_fleet.add(n.name, data_centre, s.name, {s.slots, duration(0), 400});
      m_fleet.target(n.name).request_handler =
          [this, n](const target_request& r,
                    std::function<void(std::uint16_t)> done) {
            handle(n, r, std::move(done));
          };
      m_by_service[s.name].push_back(n.name);
      m_nodes.push_back(std::move(n));
    }
  }
}

const graph_kind& call_graph::kind_of(const std::string& path) const {
  const std::string name = path.substr(1, path.find('/', 1) - 1);
  return *std::find_if(m_options.kinds.begin(), m_options.kinds.end(),
                       [&name](const graph_kind& k) { return k.name == name; });
}

void call_graph::run_for(duration span) {
  const bool first = m_end == instant(0);
  m_end = m_fleet.time.now() + span;
  if (first) {
    for (const graph_kind& it : m_options.kinds) {
      if (it.per_s > 0) {
        arrive(it);
      }
    }
  }
  m_fleet.run_for(span);
}

void call_graph::arrive(const graph_kind& k) {
  std::exponential_distribution<double> interval(
      std::max(1e-3, k.per_s * load[k.name]));
  m_fleet.time.run_after(from_ms(interval(m_random) * 1000), [this, &k] {
    send(k, m_nodes[m_random() % m_nodes.size()].name, m_fleet.time.now(),
         true);
    arrive(k);
  });
}

void call_graph::send(const graph_kind& k, const std::string& node,
                      instant first_at, bool may_repeat) {
  const duration used = m_fleet.time.now() - first_at + caller_way;
  const milliseconds left =
      k.time_limit - std::chrono::ceil<milliseconds>(used);
  m_fleet.request(
      node, "/" + k.name + "/x", "k",
      [this, &k, node, first_at, may_repeat](const outcome& o) {
        const bool served = o.refusal_reason == reason::none && o.status < 500;
        const bool not_run =
            o.refusal_reason != reason::none && o.execution == verdict::not_run;
        const bool repeats = may_repeat && !served && (not_run || k.idempotent);
        if (!repeats) {
          count(k, first_at, o);
          return;
        }
        const duration time_left =
            k.time_limit - (m_fleet.time.now() - first_at);
        const duration wait = std::min<duration>(o.retry_after, time_left / 3);
        m_fleet.time.run_after(wait, [this, &k, node, first_at] {
          send(k, node, first_at, false);
        });
      },
      std::max(left, milliseconds(1)));
}

void call_graph::count(const graph_kind& k, instant first_at,
                       const outcome& o) {
  const std::size_t second =
      static_cast<std::size_t>((first_at - m_started_at) / seconds(1));
  graph_result& n = m_results[k.name][second];
  const duration took = m_fleet.time.now() - first_at + caller_way;
  const bool served = o.refusal_reason == reason::none && o.status < 500;
  ++n.sent;
  if (served && took <= k.time_limit) {
    ++(took <= k.aim ? n.in_aim : n.late);
  } else {
    ++(o.execution == verdict::not_run ? n.refused : n.failed);
  }
}

void call_graph::handle(const node_info& node, const target_request& r,
                        std::function<void(std::uint16_t)> done) {
  const graph_kind& k = kind_of(r.path);
  const instant deadline = m_fleet.time.now() + r.time_left;
  // Once: at the deadline, or when the work ends.
  const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
  const std::function<void(std::uint16_t)> finish =
      [ended, done = std::move(done)](std::uint16_t status) {
        if (!std::exchange(*ended, true)) {
          done(status);
        }
      };
  const double refused = refused_part[node.service];
  if (refused > 0 && static_cast<double>(m_random() % 10'000) < refused * 1e4) {
    finish(503);
    return;
  }
  m_fleet.time.run_after(r.time_left - milliseconds(50),
                         [finish] { finish(504); });
  const bool nearly_full =
      static_cast<double>(m_fleet.target(node.name).load()) > node.knee_slots;
  m_fleet.time.run_after(from_ms(draw_work_ms(k) / node.speed *
                                 (nearly_full ? node.knee_factor : 1)),
                         [this, &node, &k, deadline, finish] {
                           make_calls(node, k, 0, 0, deadline, finish);
                         });
}

void call_graph::make_calls(const node_info& node, const graph_kind& k,
                            std::size_t group, std::size_t made,
                            instant deadline,
                            const std::function<void(std::uint16_t)>& done) {
  if (group < k.calls.size() && made >= k.calls[group].times) {
    ++group;
    made = 0;
  }
  if (group >= k.calls.size()) {
    done(200);
    return;
  }
  const graph_kind& called = kind_of("/" + k.calls[group].to + "/");
  const milliseconds left = std::min(
      called.time_limit,
      std::chrono::duration_cast<milliseconds>(deadline - m_fleet.time.now()));
  if (left <= milliseconds(0)) {
    done(504);
    return;
  }
  m_fleet.request(
      node.name, "/" + called.name + "/x", "",
      [this, &node, &k, group, made, deadline, done](const outcome& o) {
        const bool served = o.refusal_reason == reason::none && o.status < 500;
        served ? make_calls(node, k, group, made + 1, deadline, done)
               : done(500);
      },
      left);
}

double call_graph::draw_work_ms(const graph_kind& k) {
  std::normal_distribution<double> logarithm(-k.spread * k.spread / 2,
                                             k.spread);
  return k.work_ms * std::min(6.0, std::exp(logarithm(m_random)));
}

graph_result call_graph::total(const std::string& kind, std::size_t from_s,
                               std::size_t to_s) const {
  graph_result out;
  for (const std::pair<const std::size_t, graph_result>& it :
       m_results.at(kind)) {
    if (it.first >= from_s && it.first < to_s) {
      out.sent += it.second.sent;
      out.in_aim += it.second.in_aim;
      out.late += it.second.late;
      out.failed += it.second.failed;
      out.refused += it.second.refused;
    }
  }
  return out;
}

double call_graph::earned(const std::string& kind, std::size_t from_s,
                          std::size_t to_s) const {
  const graph_kind& k = kind_of("/" + kind + "/");
  const graph_result n = total(kind, from_s, to_s);
  const double full = k.worth * static_cast<double>(n.sent);
  const double got = k.worth * static_cast<double>(n.in_aim) +
                     k.late_worth * static_cast<double>(n.late);
  return full > 0 ? got / full : 0;
}

std::uint64_t call_graph::runs(const std::string& service) const {
  std::uint64_t n = 0;
  for (const std::string& it : m_by_service.at(service)) {
    n += const_cast<routed_fleet&>(m_fleet).target(it).total_runs;
  }
  return n;
}

call_graph::options deep_graph(std::size_t size, double load) {
  call_graph::options o;
  const double n = static_cast<double>(size);
  o.services = {{"door", 6 * size, 78, {0.6, 1.0, 1.4}},
                {"orders", 5 * size, 87, {0.5, 1.0, 1.0, 1.5}},
                {"ledger", 2 * size, 168, {0.5, 1.0, 1.0, 1.5}},
                {"register", size, 137, {1}, 0.95, 1.3}};
  o.kinds.push_back({"lookup",
                     "door",
                     1,
                     true,
                     milliseconds(5000),
                     milliseconds(1500),
                     milliseconds(1500),
                     0.92,
                     0.46,
                     250,
                     0.5,
                     {{"zone", 2}},
                     204 * n * load});
  o.kinds.push_back({"order",
                     "orders",
                     2,
                     false,
                     milliseconds(5000),
                     milliseconds(2000),
                     milliseconds(4000),
                     1.4,
                     0.69,
                     330,
                     0.8,
                     {{"balance", 1}},
                     89.5 * n * load});
  o.kinds.push_back({"payment",
                     "ledger",
                     0,
                     false,
                     milliseconds(2000),
                     milliseconds(1000),
                     milliseconds(500),
                     5.2,
                     1,
                     180,
                     0.5,
                     {},
                     74.6 * n * load});
  o.kinds.push_back({"issue",
                     "register",
                     1,
                     false,
                     milliseconds(2500),
                     milliseconds(1200),
                     milliseconds(600),
                     0.92,
                     0.46,
                     200,
                     0.8,
                     {},
                     31.8 * n * load});
  o.kinds.push_back({"zone",
                     "orders",
                     0,
                     true,
                     milliseconds(2500),
                     milliseconds(2500),
                     milliseconds(1000),
                     0,
                     0,
                     15,
                     0.5,
                     {{"balance", 1}},
                     0});
  o.kinds.push_back({"balance",
                     "ledger",
                     0,
                     true,
                     milliseconds(2000),
                     milliseconds(2000),
                     milliseconds(800),
                     0,
                     0,
                     15,
                     0.5,
                     {{"record", 4}},
                     0});
  o.kinds.push_back({"record",
                     "register",
                     0,
                     true,
                     milliseconds(700),
                     milliseconds(700),
                     milliseconds(300),
                     0,
                     0,
                     63,
                     0.5,
                     {},
                     0});
  return o;
}

} // namespace kingcupslip
