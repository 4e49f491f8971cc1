// Simulates a target on virtual time: slots, a queue, service time, crashes.
#ifndef KINGCUPSLIP_TESTS_FAKE_TARGET_HPP
#define KINGCUPSLIP_TESTS_FAKE_TARGET_HPP

#include "kingcupslip/core/target_stage.hpp"
#include "scheduler.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcupslip {

/// How the connections of a target end when a request crashes it.
enum class crash_break : std::uint8_t {
  all_at_once,
  cause_then_others, ///< that of the cause at once, the others 0.4 s later
  cause_only,        ///< that of the cause at once, the others not at all
  none               ///< the machine falls silent
};

/// Simulates a target process that runs up to `slots` requests at a time,
/// queues further ones, and can crash and restart. Answers echo the body of
/// the request. The scheduler must outlive the target.
class fake_target {
public:
  using result_handler = std::function<void(std::uint64_t run, target_result)>;

  struct options {
    std::size_t slots = 10; ///< requests that run at the same time
    duration service_time = std::chrono::milliseconds(10);
    std::size_t max_queued = 100'000; ///< further requests get a 503 not-run
    /// Each request of this number gets no answer and takes no slot; 0: none.
    std::size_t drop_every = 0;
    crash_break breaks = crash_break::all_at_once;
  };

  fake_target(scheduler& time, options s, result_handler on_result)
      : m_scheduler(time), m_options(s), m_on_result(std::move(on_result)) {}

  void run(std::uint64_t id, target_request r) {
    if (m_down && m_options.breaks == crash_break::none) {
      m_unbroken.insert(id);
      lose_after(id, r.time_left);
      return;
    }
    if (m_down) {
      send_result(id, {exchange_end::not_connected, 0, {}, {}});
      return;
    }
    if (m_queue.size() >= m_options.max_queued) {
      send_result(id, {exchange_end::answered,
                       503,
                       {{"Kingcupslip-Verdict", "not-run"}},
                       {}});
      return;
    }
    const std::uint64_t generation = m_generation;
    // Like the HTTP client of a node, reports the request as lost at its
    // deadline, even if the target still runs it.
    m_scheduler.run_after(r.time_left, [this, id, generation] {
      const bool running =
          generation == m_generation && m_pending.erase(id) != 0;
      if (running || m_unbroken.erase(id) != 0) {
        send_result(id, {exchange_end::lost, 0, {}, {}});
      }
    });
    m_pending[id] = true;
    ++m_received;
    if (m_options.drop_every != 0 && m_received % m_options.drop_every == 0) {
      return;
    }
    m_queue.push_back({id, std::move(r)});
    start_queued();
  }

  void cancel(std::uint64_t id) {
    ++cancel_count;
    if (m_pending.erase(id) + m_unbroken.erase(id) != 0) {
      send_result(id, {exchange_end::lost, 0, {}, {}});
    }
  }

  /// Simulates a crash: every queued or running request is lost, and further
  /// ones cannot connect until `restart` starts a new instance.
  void crash() { crash(0, crash_break::all_at_once); }
  /// The connections end as `breaks` says; `cause` is the run that crashed it.
  void crash(std::uint64_t cause, crash_break breaks) {
    ++m_generation;
    m_down = true;
    m_running = 0;
    m_queue.clear();
    std::map<std::uint64_t, bool> pending;
    pending.swap(m_pending);
    for (const std::pair<const std::uint64_t, bool>& it : pending) {
      const bool at_once = breaks == crash_break::all_at_once ||
                           (it.first == cause && breaks != crash_break::none);
      if (at_once) {
        send_result(it.first, {exchange_end::lost, 0, {}, {}});
        continue;
      }
      m_unbroken.insert(it.first);
      if (breaks == crash_break::cause_then_others) {
        lose_after(it.first, std::chrono::milliseconds(400));
      }
    }
  }
  void restart() { m_down = false; }

  bool down() const { return m_down; }
  std::uint64_t generation() const { return m_generation; }
  std::size_t load() const { return m_running + m_queue.size(); }
  options& mutable_options() { return m_options; }

  /// Runs started at this target, by idempotency key.
  std::map<std::string, int> runs_by_key;
  std::uint64_t total_runs = 0;
  std::vector<instant> started_at;  ///< when each run started
  std::vector<instant> answered_at; ///< when each answer was sent
  /// Header fields of each answer, as set when it is sent.
  std::vector<header> answer_headers;
  /// Filled if `keep_started_requests` is set.
  std::vector<target_request> started_requests;
  bool keep_started_requests = false;
  std::uint64_t cancel_count = 0;
  /// When each request that crashes the target began to run, and its body.
  std::vector<std::pair<instant, std::string>> crashing_runs;
  /// A request whose body contains this text crashes the target.
  std::string crash_marker = "crash-this-target";
  /// If set, decides the answer of each request after its service time,
  /// e.g. by nested calls: it calls the given function with the status.
  std::function<void(const target_request&, std::function<void(std::uint16_t)>)>
      request_handler;

private:
  struct queued_request {
    std::uint64_t id;
    target_request request;
  };

  void start_queued() {
    while (m_running < m_options.slots && !m_queue.empty()) {
      queued_request w = std::move(m_queue.front());
      m_queue.pop_front();
      if (m_pending.count(w.id) == 0) {
        continue;
      }
      ++m_running;
      start_request(std::move(w));
    }
  }

  void start_request(queued_request w) {
    ++total_runs;
    started_at.push_back(m_scheduler.now());
    for (const header& it : w.request.headers) {
      if (it.name == "Idempotency-Key") {
        ++runs_by_key[it.value];
      }
    }
    if (keep_started_requests) {
      started_requests.push_back(w.request);
    }
    const std::string body(w.request.body.begin(), w.request.body.end());
    const std::uint64_t generation = m_generation;
    const std::uint64_t id = w.id;
    if (body.find(crash_marker) != std::string::npos) {
      crashing_runs.emplace_back(m_scheduler.now(), body);
      m_scheduler.run_after(std::chrono::milliseconds(1),
                            [this, id, generation] {
                              if (generation == m_generation) {
                                crash(id, m_options.breaks);
                              }
                            });
      return;
    }
    const body_bytes echo = w.request.body;
    const std::function<void(std::uint16_t)> done = [this, id, generation,
                                                     echo](
                                                        std::uint16_t status) {
      if (generation != m_generation) {
        return;
      }
      --m_running;
      if (m_pending.erase(id) != 0) {
        answered_at.push_back(m_scheduler.now());
        send_result(id, {exchange_end::answered, status, answer_headers, echo});
      }
      start_queued();
    };
    const target_request request = std::move(w.request);
    m_scheduler.run_after(
        m_options.service_time, [this, generation, done, request] {
          if (generation != m_generation) {
            return;
          }
          request_handler ? request_handler(request, done) : done(200);
        });
  }

  void lose_after(std::uint64_t id, duration d) {
    m_scheduler.run_after(d, [this, id] {
      if (m_unbroken.erase(id) != 0) {
        send_result(id, {exchange_end::lost, 0, {}, {}});
      }
    });
  }

  void send_result(std::uint64_t id, target_result r) {
    m_scheduler.run_after(std::chrono::microseconds(100),
                          [this, id, r] { m_on_result(id, r); });
  }

  scheduler& m_scheduler;
  options m_options;
  result_handler m_on_result;
  std::deque<queued_request> m_queue;
  std::map<std::uint64_t, bool> m_pending; ///< accepted, without a result
  /// Lost in a crash; their connections have not ended yet.
  std::set<std::uint64_t> m_unbroken;
  std::size_t m_running = 0;
  std::size_t m_received = 0;
  std::uint64_t m_generation = 1; ///< incremented by each crash
  bool m_down = false;
};

} // namespace kingcupslip

#endif
