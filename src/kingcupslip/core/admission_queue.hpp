// Bounded queue in front of a target: which request starts next, which is shed.
#ifndef KINGCUPSLIP_CORE_ADMISSION_QUEUE_HPP
#define KINGCUPSLIP_CORE_ADMISSION_QUEUE_HPP

#include "kingcupslip/core/contract.hpp"
#include "kingcupslip/core/reason.hpp"
#include "kingcupslip/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

/// A queued request that has not started yet.
struct waiting_request {
  std::uint64_t id = 0;
  std::string team;
  std::uint32_t weight = 1;
  priority rank = priority::normal;
  patience wait = patience::patient;
  std::uint32_t depth = 0;
  std::uint32_t min_share_percent = 0;
  instant deadline{0};
  instant queued_at{0};
};

/// A request that left the queue without starting. It has not run.
struct shed_request {
  std::uint64_t id;
  reason why;
};

/// Orders the requests that wait for a target, and sheds those that do not
/// fit. Priorities are served in strict order, except for the share that a
/// contract reserves for a lower one. Teams of one priority are served by
/// weighted fair queuing. Within a team, patient callers are served oldest
/// first, and impatient ones, who give up early, newest first.
///
/// Invariant: size() is the sum of the sizes of all team queues.
class admission_queue {
public:
  /// Queues `request`. If the queue holds `capacity` requests, the one that
  /// is shed to make room, or else `request` itself, is appended to `shed`.
  void offer(waiting_request request, std::size_t capacity,
             std::vector<shed_request>& shed);

  /// Removes and returns the next request to start. Requests that would not
  /// finish before their deadline, given `service_time`, are appended to
  /// `shed` instead.
  std::optional<waiting_request> take(instant now, duration service_time,
                                      std::vector<shed_request>& shed);

  /// Removes a request whose caller went away; false if it is not queued.
  bool remove(std::uint64_t id);

  /// Removes and returns all requests that match `predicate`.
  template <class Predicate>
  std::vector<waiting_request> remove_if(Predicate predicate);

  std::size_t size() const { return m_size; }

  /// Estimates how many queued requests would start before a new one of this
  /// team: all of higher priority, the team's own, and of each other team at
  /// most as many as fair queuing serves meanwhile.
  std::size_t count_ahead(priority rank, const std::string& team,
                          std::uint32_t weight) const;

private:
  struct team_queue {
    std::deque<waiting_request> patient;
    std::deque<waiting_request> impatient;
    std::uint32_t weight = 1;
    /// Starts divided by weight. A new queue begins at the lowest value among
    /// the queues of its group.
    double normalized_service = 0;
    std::size_t size() const { return patient.size() + impatient.size(); }
  };
  struct priority_group {
    std::map<std::string, team_queue> teams;
    std::size_t size = 0;
    std::uint32_t min_share_percent = 0;
    std::uint32_t credit_percent = 0;
  };

  std::size_t choose_group();
  std::optional<waiting_request> pop(priority_group& group);
  bool make_room(const waiting_request& request,
                 std::vector<shed_request>& shed);
  bool evict(priority_group& group, const waiting_request* newcomer,
             std::vector<shed_request>& shed);
  void insert(waiting_request request);

  std::array<priority_group, priority_count> m_groups;
  std::size_t m_size = 0;
};

template <class Predicate>
std::vector<waiting_request> admission_queue::remove_if(Predicate predicate) {
  std::vector<waiting_request> out;
  for (priority_group& group : m_groups) {
    for (auto it = group.teams.begin(); it != group.teams.end();) {
      for (std::deque<waiting_request>* requests :
           {&it->second.patient, &it->second.impatient}) {
        std::deque<waiting_request> kept;
        for (waiting_request& request : *requests) {
          (predicate(request) ? out.push_back(request)
                              : kept.push_back(request));
        }
        requests->swap(kept);
      }
      it = it->second.size() == 0 ? group.teams.erase(it) : std::next(it);
    }
  }
  for (const waiting_request& request : out) {
    --m_groups[static_cast<std::size_t>(request.rank)].size;
  }
  m_size -= out.size();
  return out;
}

} // namespace kingcupslip

#endif
