// Simulates the network, the store and the targets around routed nodes.
#include "routed_fleet.hpp"

#include "kingcupslip/net/frame.hpp"

#include <algorithm>

namespace kingcupslip {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(10);
constexpr duration announce_period = std::chrono::milliseconds(500);
constexpr duration same_data_centre_latency = std::chrono::microseconds(200);
constexpr duration cross_data_centre_latency = std::chrono::microseconds(1400);
constexpr duration store_latency = std::chrono::milliseconds(4);
constexpr duration watch_poll_interval = std::chrono::milliseconds(20);
constexpr duration watch_timeout = std::chrono::seconds(3);
constexpr duration silence_detection_delay = std::chrono::seconds(2);
constexpr std::chrono::milliseconds wall_clock_start{1'700'000'000'000};

std::optional<target_notice> decode_notice(const target_result& r) {
  target_notice out;
  for (const header& it : r.headers) {
    if (it.name == rate_limit_field) {
      out.rate_limit_per_s = std::stod(it.value);
    }
    out.leaving |= it.name == leaving_field;
  }
  return out;
}

} // namespace

routed_fleet::routed_fleet(std::uint64_t seed) : random(seed) {}

routed_node& routed_fleet::add(const std::string& name,
                               const std::string& data_centre,
                               const std::string& service,
                               fake_target::options target_options) {
  std::unique_ptr<node_process> m = std::make_unique<node_process>();
  m->name = name;
  m->data_centre = data_centre;
  m->service = service;
  m->target = std::make_unique<fake_target>(
      time, target_options, [this, name](std::uint64_t run, target_result r) {
        run_in_node(name, m_nodes.at(name)->generation, [this, name, run, r] {
          at(name).on_target_result(run, r);
        });
      });
  node_process& added = *m;
  m_nodes[name] = std::move(m);
  start(added);
  return *added.running_node;
}

void routed_fleet::start(node_process& m) {
  ++m.generation;
  routed_options o;
  o.self.node = m.name;
  o.self.data_centre = m.data_centre;
  o.self.service = m.service;
  o.self.address = m.name + ":1";
  o.rollout_share = rollout_share;
  o.locality_options = locality_options;
  o.self.incarnation = static_cast<std::uint64_t>(clocks().wall.count());
  m.running_node = std::make_unique<routed_node>(o, hooks_for(m));
  m.running_node->set_clock(clocks());
  tick(m.name, m.generation);
  announce(m.name, m.generation);
}

routed_hooks routed_fleet::hooks_for(node_process& m) {
  const std::string name = m.name;
  const std::uint64_t generation = m.generation;
  routed_hooks h;
  h.send = [this, name](const std::string& to, const wire::payloadUnion& body) {
    deliver(name, to, body);
  };
  h.target.run = [this, name](std::uint64_t run, target_request r) {
    target(name).run(run, std::move(r));
  };
  h.target.cancel = [this, name](std::uint64_t run) {
    target(name).cancel(run);
  };
  h.target.log = [](event_id, const event_fields&) {};
  h.protocol.notice_of = decode_notice;
  h.table.read = [this, name, generation](const table_query& q,
                                          const read_handler& handler) {
    ++store_calls;
    const bool reached = can_reach_store(name);
    time.run_after(store_latency,
                   [this, name, generation, q, handler, reached] {
                     run_in_node(name, generation, [this, q, handler, reached] {
                       reached ? handler(table_status::ok, row_store.read(q))
                               : handler(table_status::unavailable, {});
                     });
                   });
  };
  h.table.commit = [this, name, generation](const table_transaction& t,
                                            const commit_handler& handler) {
    ++store_calls;
    const bool reached = can_reach_store(name);
    time.run_after(
        store_latency, [this, name, generation, t, handler, reached] {
          std::uint64_t version = 0;
          const table_status s = reached ? row_store.commit(t, version)
                                         : table_status::unavailable;
          for (const table_write& it : t) {
            if (it.status && s == table_status::ok) {
              rollout_statuses[it.status->service] = *it.status;
            }
          }
          const bool answer_lost = lost_commits > 0;
          lost_commits -= answer_lost ? 1 : 0;
          const table_status seen = answer_lost ? table_status::unknown : s;
          run_in_node(name, generation,
                      [handler, seen, version] { handler(seen, version); });
        });
  };
  h.watch.read_all = [this, name, generation](const watch_handler& handler) {
    ++store_calls;
    const bool reached = can_reach_store(name);
    time.run_after(store_latency, [this, name, generation, handler, reached] {
      run_in_node(name, generation, [this, handler, reached] {
        std::vector<desired_state_item> items;
        for (const std::pair<const std::string, desired_state_item>& it :
             m_items) {
          if (!it.second.removed) {
            items.push_back(it.second);
          }
        }
        reached ? handler(watch_status::ok, items, {timeline, m_version})
                : handler(watch_status::unavailable, {}, {});
      });
    });
  };
  h.watch.wait_for_changes = [this, name,
                              generation](std::uint64_t after,
                                          const watch_handler& handler) {
    ++store_calls;
    poll_watch(name, generation, after, handler, time.now() + watch_timeout);
  };
  h.watch.decode = [this](const std::string& text) {
    const auto it = m_documents.find(text);
    return it == m_documents.end() ? nullptr : it->second;
  };
  h.random = [this] { return random(); };
  h.log = [this, name](event_id id, const event_fields&) {
    events.push_back(name + " " + std::string(info_of(id).name));
  };
  return h;
}

void routed_fleet::poll_watch(const std::string& name, std::uint64_t generation,
                              std::uint64_t after, const watch_handler& handler,
                              instant until) {
  time.run_after(watch_poll_interval, [this, name, generation, after, handler,
                                       until] {
    if (!can_reach_store(name)) {
      run_in_node(name, generation,
                  [handler] { handler(watch_status::unavailable, {}, {}); });
      return;
    }
    if (after < m_oldest_history_version || after > m_version) {
      run_in_node(name, generation, [handler, at_timeline = timeline] {
        handler(watch_status::history_lost, {}, {at_timeline, 0});
      });
      return;
    }
    std::vector<desired_state_item> changed;
    for (const std::pair<const std::string, desired_state_item>& it : m_items) {
      if (it.second.version > after) {
        changed.push_back(it.second);
      }
    }
    if (changed.empty() && time.now() < until) {
      poll_watch(name, generation, after, handler, until);
      return;
    }
    const store_position at{timeline, m_version};
    run_in_node(name, generation, [handler, changed, at] {
      handler(watch_status::ok, changed, at);
    });
  });
}

void routed_fleet::tick(const std::string& name, std::uint64_t generation) {
  run_in_node(name, generation, [this, name] { at(name).tick(); });
  time.run_after(tick_period, [this, name, generation] {
    if (m_nodes.at(name)->generation == generation &&
        m_nodes.at(name)->running_node) {
      tick(name, generation);
    }
  });
}

void routed_fleet::announce(const std::string& name, std::uint64_t generation) {
  node_process& m = *m_nodes.at(name);
  if (!m.target->down() && announcing) {
    target_announcement a;
    a.instance = name + "-" + std::to_string(m.target->generation());
    a.start_time_ms = m.target->generation();
    a.sequence = ++m.sequence;
    a.service = m.service;
    a.version = versions[name];
    a.max_concurrency = slots > 0 ? slots : m.target->mutable_options().slots;
    a.cold_time_left = cold_time_left;
    run_in_node(name, generation,
                [this, name, a] { at(name).on_target_announce(a); });
  }
  time.run_after(announce_period, [this, name, generation] {
    if (m_nodes.at(name)->generation == generation &&
        m_nodes.at(name)->running_node) {
      announce(name, generation);
    }
  });
}

void routed_fleet::run_in_node(const std::string& name,
                               std::uint64_t generation,
                               const std::function<void()>& work) {
  node_process& m = *m_nodes.at(name);
  if (m.running_node && m.generation == generation) {
    m.running_node->set_clock(clocks());
    work();
  }
}

void routed_fleet::deliver(const std::string& from, const std::string& to,
                           const wire::payloadUnion& body) {
  const frame_bytes frame = encode_frame(body);
  bytes_sent += frame.size();
  const std::uint64_t correlation =
      body.type == wire::payload::call ? body.Ascall()->correlation : 0;
  const std::uint64_t sender_generation = m_nodes.at(from)->generation;
  const auto it = m_nodes.find(to);
  if (it == m_nodes.end() || !it->second->running_node) {
    time.run_after(
        same_data_centre_latency, [this, from, sender_generation, correlation] {
          run_in_node(from, sender_generation, [this, from, correlation] {
            if (correlation != 0) {
              at(from).on_call_unsent(correlation);
            }
          });
        });
    return;
  }
  if (m_blocked_links.count({from, to}) != 0) {
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
  const frame_bytes payload(frame.begin() + frame_header_bytes, frame.end());
  time.run_after(
      same_data_centre ? same_data_centre_latency : cross_data_centre_latency,
      [this, from, to, generation, payload] {
        run_in_node(to, generation, [this, from, to, payload] {
          std::optional<wire::payloadUnion> m = decode_frame(payload);
          if (m) {
            at(to).on_message(from, *m);
          }
        });
      });
}

void routed_fleet::kill(const std::string& name) {
  m_nodes.at(name)->running_node.reset();
  for (const std::pair<const std::string, std::unique_ptr<node_process>>& it :
       m_nodes) {
    const std::string other = it.first;
    run_in_node(other, it.second->generation,
                [this, other, name] { at(other).on_peer_lost(name); });
  }
}

void routed_fleet::restart_node(const std::string& name) {
  start(*m_nodes.at(name));
}

void routed_fleet::block_link(const std::string& a, const std::string& b) {
  m_blocked_links.insert({a, b});
  m_blocked_links.insert({b, a});
}

void routed_fleet::write_routes(route_table::content c) {
  ++m_version;
  c.revision = ++m_last_revision;
  c.version = "v" + std::to_string(c.revision);
  const std::string text = c.version;
  m_documents[text] = std::make_shared<const route_table>(std::move(c));
  m_items["routes"] = {desired_state_item::kind::routes, "", text, m_version,
                       false};
  m_written_items["routes"] = m_items["routes"];
}

void routed_fleet::mark_out(const std::string& data_centre, bool out) {
  ++m_version;
  m_items["out/" + data_centre] = {
      desired_state_item::kind::data_centre_out_of_service, data_centre, "",
      m_version, !out};
  m_written_items["out/" + data_centre] = m_items["out/" + data_centre];
}

void routed_fleet::order_rollout(const std::string& service,
                                 const std::string& version,
                                 std::chrono::milliseconds time_limit) {
  ++m_version;
  m_items["rollout/" + service] = {desired_state_item::kind::rollout,
                                   service,
                                   version,
                                   m_version,
                                   false,
                                   time_limit};
}

void routed_fleet::withdraw_rollout(const std::string& service) {
  desired_state_item& item = m_items["rollout/" + service];
  item.version = ++m_version;
  item.removed = true;
}

void routed_fleet::copy_store() {
  m_store_copy = {m_items, m_version, row_store};
}

void routed_fleet::restore_store() {
  m_items = m_store_copy.items;
  m_version = m_store_copy.version;
  row_store = m_store_copy.rows;
  m_oldest_history_version = 0;
  ++timeline;
}

void routed_fleet::write_again(const std::string& item) {
  m_items[item] = m_written_items.at(item);
  m_items[item].version = ++m_version;
}

void routed_fleet::compact() { m_oldest_history_version = ++m_version; }

void routed_fleet::request(const std::string& entry_node,
                           const std::string& path, const std::string& key,
                           outcome_handler handler,
                           std::chrono::milliseconds time_left,
                           const std::string& body, std::uint64_t connection) {
  routed_request r;
  r.id = std::to_string(random());
  r.method = "POST";
  r.host = "h";
  r.path = path;
  r.time_left = time_left;
  r.connection = connection;
  r.body.assign(body.begin(), body.end());
  if (!key.empty()) {
    r.api_key = key;
  }
  run_in_node(entry_node, m_nodes.at(entry_node)->generation,
              [this, entry_node, r, handler] {
                at(entry_node).on_request(r, handler);
              });
}

outcome routed_fleet::request_and_wait(const std::string& entry_node,
                                       const std::string& path,
                                       const std::string& key,
                                       std::chrono::milliseconds time_left,
                                       const std::string& body) {
  const std::shared_ptr<std::optional<outcome>> answer =
      std::make_shared<std::optional<outcome>>();
  request(
      entry_node, path, key, [answer](outcome o) { *answer = std::move(o); },
      time_left, body);
  for (int i = 0; i < 10'000 && !*answer; ++i) {
    run_for(std::chrono::milliseconds(1));
  }
  return answer->value_or(
      refusal(reason::connection_lost, verdict::may_have_run));
}

clock_reading routed_fleet::clocks() const {
  clock_reading out;
  out.now = time.now();
  out.wall =
      wall_clock_start + std::chrono::duration_cast<wall_time>(time.now());
  return out;
}

route_table::content simple_routes(double rate, double burst) {
  route_table::content c;
  host_route safe;
  safe.name = "safe";
  safe.host = "h";
  safe.path_prefix = "/safe/";
  safe.services = {{"svc", 1}};
  safe.idempotent = true;
  safe.max_targets = 2;
  host_route once = safe;
  once.name = "once";
  once.path_prefix = "/once/";
  once.idempotent = false;
  host_route inner = safe;
  inner.name = "inner";
  inner.path_prefix = "/inner/";
  inner.open = true;
  c.routes = {safe, once, inner};
  c.services["svc"] = {std::chrono::milliseconds(3000), 10, 0};
  c.teams.push_back({"t", {"k"}, std::nullopt, rate, burst});
  return c;
}

void build_routed_fleet(routed_fleet& f, std::size_t nodes_per_data_centre,
                        route_table::content routes) {
  f.write_routes(std::move(routes));
  for (std::size_t i = 1; i <= nodes_per_data_centre; ++i) {
    f.add("a" + std::to_string(i), "dc-a", "svc");
    f.add("b" + std::to_string(i), "dc-b", "svc");
  }
  f.run_for(std::chrono::seconds(3));
}

} // namespace kingcupslip
