// Simulates the network, the table and the targets around nodes.
#include "virtual_fleet.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/header_names.hpp"
#include "kingcupslip/net/frame.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace kingcupslip {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(10);
constexpr duration announce_period = std::chrono::milliseconds(500);
constexpr duration same_data_centre_latency = std::chrono::microseconds(200);
constexpr duration cross_data_centre_latency = std::chrono::microseconds(1500);
constexpr duration connection_loss_delay = std::chrono::milliseconds(100);
constexpr duration silence_detection_delay = std::chrono::seconds(3);
constexpr wall_time wall_clock_start{1'790'000'000'000};

} // namespace

virtual_fleet::virtual_fleet(std::uint64_t seed) : random(seed) {}

virtual_fleet::~virtual_fleet() = default;

clock_reading virtual_fleet::clocks() const {
  return {time.now(),
          wall_clock_start + std::chrono::duration_cast<wall_time>(time.now())};
}

node& virtual_fleet::add(const std::string& name,
                         const std::string& data_centre,
                         const std::string& service,
                         fake_target::options target_options,
                         dispatcher::options dispatch) {
  std::unique_ptr<node_process>& m = m_nodes[name];
  m = std::make_unique<node_process>();
  m->name = name;
  m->data_centre = data_centre;
  m->service = service;
  m->target_options = target_options;
  m->dispatch = dispatch;
  m->target = std::make_unique<fake_target>(
      time, target_options, [this, name](std::uint64_t run, target_result r) {
        const std::uint64_t generation = m_nodes.at(name)->generation;
        run_in_node(name, generation, [this, name, run, r] {
          at(name).on_target_result(run, r);
        });
      });
  start(*m);
  return *m->running_node;
}

void virtual_fleet::start(node_process& m) {
  ++m.generation;
  node_options o;
  o.self.node = m.name;
  o.self.data_centre = m.data_centre;
  o.self.service = m.service;
  o.self.address = m.name + ":1";
  o.self.incarnation = static_cast<std::uint64_t>(clocks().wall.count());
  o.fleet_secret = "secret-of-the-fleet";
  o.dispatch = m.dispatch;
  o.entry.rate_limits = !m.dispatch.plain_forwarding;
  o.entry.on_admitted = [this](const std::string&) {
    admissions.push_back(time.now());
  };
  m.running_node = std::make_unique<node>(o, hooks_for(m));
  m.running_node->set_clock(clocks());
  tick(m.name, m.generation);
  announce(m.name, m.generation);
}

node_hooks virtual_fleet::hooks_for(node_process& m) {
  const std::string name = m.name;
  const std::uint64_t generation = m.generation;
  node_hooks h;
  h.send = [this, name](const std::string& to, wire::payloadUnion body) {
    deliver(name, to, body);
  };
  h.target.run = [this, name](std::uint64_t run, target_request r) {
    target(name).run(run, std::move(r));
  };
  h.target.cancel = [this, name](std::uint64_t run) {
    target(name).cancel(run);
  };
  h.target.log = [](event_id, const event_fields&) {};
  h.table.read = [this, name, generation](table_query q, read_handler handler) {
    ++table_reads;
    const bool unreachable =
        faults.down || faults.cut_off_nodes.count(name) != 0;
    time.run_after(faults.delay, [this, name, generation, q, handler,
                                  unreachable] {
      std::vector<table_row> rows = table.read(q);
      const table_status s =
          unreachable ? table_status::unavailable : table_status::ok;
      run_in_node(name, generation, [handler, s, rows] { handler(s, rows); });
    });
  };
  h.table.commit = [this, name, generation](table_transaction t,
                                            commit_handler handler) {
    ++table_writes;
    const bool unreachable =
        faults.down || faults.cut_off_nodes.count(name) != 0;
    time.run_after(
        faults.delay, [this, name, generation, t, handler, unreachable] {
          std::uint64_t version = 0;
          table_status s = unreachable ? table_status::unavailable
                                       : table.commit(t, version);
          if (!unreachable && faults.answers_to_lose > 0) {
            --faults.answers_to_lose;
            s = table_status::unknown;
          }
          run_in_node(name, generation,
                      [handler, s, version] { handler(s, version); });
        });
  };
  h.random = [this] { return random(); };
  h.log = [this, name](event_id id, const event_fields&) {
    events.push_back(name + " " + std::to_string(static_cast<int>(id)) + " " +
                     std::string(info_of(id).name));
  };
  return h;
}

void virtual_fleet::tick(const std::string& name, std::uint64_t generation) {
  run_in_node(name, generation, [this, name] { at(name).tick(); });
  time.run_after(tick_period, [this, name, generation] {
    if (m_nodes.at(name)->generation == generation && alive(name)) {
      tick(name, generation);
    }
  });
}

void virtual_fleet::announce(const std::string& name,
                             std::uint64_t generation) {
  if (!target(name).down()) {
    const std::string instance = std::to_string(target(name).generation());
    run_in_node(name, generation, [this, name, instance] {
      at(name).on_target_announce(instance, false);
    });
  }
  time.run_after(announce_period, [this, name, generation] {
    if (m_nodes.at(name)->generation == generation && alive(name)) {
      announce(name, generation);
    }
  });
}

void virtual_fleet::run_in_node(const std::string& name,
                                std::uint64_t generation,
                                std::function<void()> work) {
  node_process& m = *m_nodes.at(name);
  if (!m.running_node || m.generation != generation) {
    return;
  }
  if (m.paused) {
    m.deferred_work.push_back([this, name, generation, work] {
      run_in_node(name, generation, work);
    });
    return;
  }
  m.running_node->set_clock(clocks());
  work();
}

void virtual_fleet::resume(const std::string& name) {
  node_process& m = *m_nodes.at(name);
  m.paused = false;
  std::vector<std::function<void()>> work;
  work.swap(m.deferred_work);
  for (const std::function<void()>& it : work) {
    it();
  }
}

void virtual_fleet::kill(const std::string& name) {
  m_nodes.at(name)->running_node.reset();
  for (const std::pair<const std::string, std::unique_ptr<node_process>>& it :
       m_nodes) {
    const std::string other = it.first;
    const std::uint64_t generation = it.second->generation;
    time.run_after(connection_loss_delay, [this, other, generation, name] {
      run_in_node(other, generation,
                  [this, other, name] { at(other).on_peer_lost(name); });
    });
  }
}

void virtual_fleet::restart_node(const std::string& name) {
  start(*m_nodes.at(name));
}

void virtual_fleet::partition_data_centres(const std::string& a,
                                           const std::string& b) {
  for (const std::string& x : names()) {
    for (const std::string& y : names()) {
      if (m_nodes.at(x)->data_centre == a && m_nodes.at(y)->data_centre == b) {
        block_link(x, y);
        block_link(y, x);
      }
    }
  }
}

void virtual_fleet::deliver(const std::string& from, const std::string& to,
                            const wire::payloadUnion& body) {
  const frame_bytes frame = encode_frame(body);
  m_nodes.at(from)->bytes_sent += frame.size();
  const auto it = m_nodes.find(to);
  const bool receiver_down = it == m_nodes.end() || !it->second->running_node;
  const std::uint64_t sender_generation = m_nodes.at(from)->generation;
  const std::uint64_t correlation =
      body.type == wire::payload::call ? body.Ascall()->correlation : 0;
  if (receiver_down && correlation != 0) {
    time.run_after(
        same_data_centre_latency, [this, from, sender_generation, correlation] {
          run_in_node(from, sender_generation, [this, from, correlation] {
            at(from).on_call_unsent(correlation);
          });
        });
  }
  if (receiver_down) {
    return;
  }
  if (m_blocked_links.count({from, to}) != 0) {
    // The frame is dropped. The sender closes the connection once it has
    // been silent for a while.
    time.run_after(
        silence_detection_delay, [this, from, to, sender_generation] {
          run_in_node(from, sender_generation,
                      [this, from, to] { at(from).on_peer_lost(to); });
        });
    return;
  }
  const bool same_data_centre =
      m_nodes.at(from)->data_centre == it->second->data_centre;
  const std::uint64_t generation = it->second->generation;
  const int copies = random() % 1000 < duplicated_per_mille ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    duration latency =
        same_data_centre ? same_data_centre_latency : cross_data_centre_latency;
    if (random() % 1000 < delayed_per_mille) {
      latency += duration(static_cast<duration::rep>(random() % 50'000));
    }
    const frame_bytes payload(frame.begin() + frame_header_bytes, frame.end());
    time.run_after(latency, [this, from, to, generation, payload] {
      run_in_node(to, generation, [this, from, to, payload] {
        std::optional<wire::payloadUnion> m = decode_frame(payload);
        if (m) {
          at(to).on_message(from, *m);
        }
      });
    });
  }
}

write_result virtual_fleet::write(const std::string& entry_node,
                                  const std::string& key,
                                  const std::string& value) {
  write_result out;
  bool done = false;
  change_request c;
  c.key = key;
  c.value = value;
  c.operation = std::to_string(random());
  at(entry_node).write_config(c, [&](const write_result& r) {
    out = r;
    done = true;
  });
  for (int i = 0; i < 100 && !done; ++i) {
    run_for(std::chrono::milliseconds(10));
  }
  return out;
}

void virtual_fleet::apply_contract(const std::string& entry_node,
                                   const contract& c) {
  write(entry_node, "contract/" + c.team, to_json(c));
}

void virtual_fleet::issue_key(const std::string& entry_node,
                              const std::string& id, const std::string& team,
                              const std::string& secret, bool withdrawn) {
  write(entry_node, "key/" + id,
        nlohmann::json{{"team", team},
                       {"secret_hash", sha256_hex(secret)},
                       {"withdrawn", withdrawn}}
            .dump());
}

void virtual_fleet::request(const std::string& entry_node,
                            const std::string& target_path,
                            const std::string& secret,
                            const std::string& idempotency_key,
                            const std::string& body, outcome_handler handler,
                            std::chrono::milliseconds timeout) {
  caller_request r;
  r.method = "POST";
  r.request_target = target_path;
  r.body.assign(body.begin(), body.end());
  if (!secret.empty()) {
    r.headers.push_back({"Authorization", "Bearer " + secret});
  }
  if (!idempotency_key.empty()) {
    r.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  if (timeout.count() > 0) {
    r.headers.push_back(
        {"Kingcupslip-Timeout-Ms", std::to_string(timeout.count())});
  }
  const std::uint64_t generation = m_nodes.at(entry_node)->generation;
  run_in_node(entry_node, generation, [this, entry_node, r, handler] {
    at(entry_node).on_request(r, handler);
  });
}

outcome virtual_fleet::request_and_wait(const std::string& entry_node,
                                        const std::string& target_path,
                                        const std::string& secret,
                                        const std::string& idempotency_key,
                                        const std::string& body,
                                        std::chrono::milliseconds timeout) {
  outcome out = refusal(reason::connection_lost, verdict::may_have_run);
  bool done = false;
  const std::shared_ptr<bool> waiting = std::make_shared<bool>(true);
  request(
      entry_node, target_path, secret, idempotency_key, body,
      [&out, &done, waiting](outcome o) {
        if (*waiting) {
          out = std::move(o);
          done = true;
        }
      },
      timeout);
  for (int i = 0; i < 10'000 && !done; ++i) {
    run_for(std::chrono::milliseconds(1));
  }
  *waiting = false;
  return out;
}

int virtual_fleet::run_count(const std::string& idempotency_key) const {
  int n = 0;
  for (const std::pair<const std::string, std::unique_ptr<node_process>>& it :
       m_nodes) {
    const auto found = it.second->target->runs_by_key.find(idempotency_key);
    n += found == it.second->target->runs_by_key.end() ? 0 : found->second;
  }
  return n;
}

std::uint64_t virtual_fleet::total_runs() const {
  std::uint64_t n = 0;
  for (const std::pair<const std::string, std::unique_ptr<node_process>>& it :
       m_nodes) {
    n += it.second->target->total_runs;
  }
  return n;
}

std::vector<std::string> virtual_fleet::names() const {
  std::vector<std::string> out;
  for (const std::pair<const std::string, std::unique_ptr<node_process>>& it :
       m_nodes) {
    out.push_back(it.first);
  }
  return out;
}

std::string virtual_fleet::make_idempotency_key() {
  const std::uint64_t ms = static_cast<std::uint64_t>(clocks().wall.count());
  std::array<char, 96> buf{};
  std::snprintf(buf.data(), buf.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                static_cast<unsigned long long>(ms >> 16U),
                static_cast<unsigned long long>(ms & 0xffffU),
                static_cast<unsigned long long>(random() & 0xfffU),
                static_cast<unsigned long long>(random() & 0xfffU),
                static_cast<unsigned long long>(random() & 0xffffffffffffULL));
  return buf.data();
}

contract simple_contract(const std::string& team, double rate, double burst) {
  contract c;
  c.team = team;
  c.rate_per_s = rate;
  c.burst = burst;
  contract_route book;
  book.service = "svc";
  book.path_prefix = "/book";
  book.idempotent = false;
  book.rank = priority::high;
  contract_route list;
  list.service = "svc";
  list.path_prefix = "/list";
  contract_route open;
  open.service = "svc";
  open.path_prefix = "/open";
  open.open = true;
  c.routes = {book, list, open};
  return c;
}

void build_two_data_centres(virtual_fleet& f, std::size_t nodes_per_data_centre,
                            double rate, double burst) {
  for (std::size_t i = 1; i <= nodes_per_data_centre; ++i) {
    f.add("a" + std::to_string(i), "dc-a", "svc");
    f.add("b" + std::to_string(i), "dc-b", "svc");
  }
  f.run_for(std::chrono::seconds(4));
  f.apply_contract("a1", simple_contract("team-a", rate, burst));
  f.issue_key("a1", "key-a", "team-a", "secret-a");
  f.run_for(std::chrono::seconds(6));
  // The first request through a node gets it a share of the rate.
  for (const std::string& it : f.names()) {
    f.request_and_wait(it, "/svc/list", "secret-a");
  }
  f.run_for(std::chrono::seconds(1));
}

std::string text_of(const outcome& o) {
  std::string out = std::to_string(o.status);
  if (o.refusal_reason != reason::none) {
    out += " " + std::string(info_of(o.refusal_reason).name);
  }
  return out + " " + std::string(name_of(o.execution));
}

} // namespace kingcupslip
