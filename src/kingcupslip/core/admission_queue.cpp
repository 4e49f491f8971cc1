// Scheduling and shedding order of queued requests.
#include "kingcupslip/core/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t full_credit_percent = 100;

std::size_t index_of(priority rank) { return static_cast<std::size_t>(rank); }

} // namespace

void admission_queue::offer(waiting_request request, std::size_t capacity,
                            std::vector<shed_request>& shed) {
  if (m_size >= capacity && !make_room(request, shed)) {
    shed.push_back({request.id, reason::queue_full});
    return;
  }
  insert(std::move(request));
}

std::optional<waiting_request>
admission_queue::take(instant now, duration service_time,
                      std::vector<shed_request>& shed) {
  while (m_size > 0) {
    std::optional<waiting_request> request = pop(m_groups[choose_group()]);
    if (!request) {
      return std::nullopt;
    }
    --m_size;
    if (request->deadline > now + service_time) {
      return request;
    }
    shed.push_back({request->id, reason::deadline});
  }
  return std::nullopt;
}

bool admission_queue::remove(std::uint64_t id) {
  const auto matches_id = [id](const waiting_request& request) {
    return request.id == id;
  };
  return !remove_if(matches_id).empty();
}

std::size_t admission_queue::count_ahead(priority rank, const std::string& team,
                                         std::uint32_t weight) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < index_of(rank); ++i) {
    n += m_groups[i].size;
  }
  const std::map<std::string, team_queue>& teams =
      m_groups[index_of(rank)].teams;
  const auto own_it = teams.find(team);
  const std::size_t own_queued =
      own_it == teams.end() ? 0 : own_it->second.size();
  const double own_rounds =
      static_cast<double>(own_queued + 1) / std::max<std::uint32_t>(1, weight);
  for (const std::pair<const std::string, team_queue>& it : teams) {
    if (it.first == team) {
      n += own_queued;
      continue;
    }
    const double served_meanwhile = std::ceil(own_rounds * it.second.weight);
    n += std::min(it.second.size(), static_cast<std::size_t>(served_meanwhile));
  }
  return n;
}

std::size_t admission_queue::choose_group() {
  std::size_t first = 0;
  while (first < priority_count && m_groups[first].size == 0) {
    ++first;
  }
  // A lower priority with a reserved share earns credit with each start and
  // is served once the credit adds up to one whole start.
  for (std::size_t i = first + 1; i < priority_count; ++i) {
    priority_group& group = m_groups[i];
    if (group.size == 0) {
      group.credit_percent = 0;
      continue;
    }
    group.credit_percent += group.min_share_percent;
    if (group.credit_percent >= full_credit_percent) {
      group.credit_percent -= full_credit_percent;
      return i;
    }
  }
  return first;
}

std::optional<waiting_request> admission_queue::pop(priority_group& group) {
  std::map<std::string, team_queue>::iterator least_served = group.teams.end();
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    if (least_served == group.teams.end() ||
        it->second.normalized_service <
            least_served->second.normalized_service) {
      least_served = it;
    }
  }
  if (least_served == group.teams.end()) {
    return std::nullopt;
  }
  team_queue& queue = least_served->second;
  const bool from_patient =
      !queue.patient.empty() &&
      (queue.impatient.empty() ||
       queue.patient.front().queued_at <= queue.impatient.front().queued_at);
  waiting_request out;
  if (from_patient) {
    out = std::move(queue.patient.front());
    queue.patient.pop_front();
  } else {
    out = std::move(queue.impatient.back());
    queue.impatient.pop_back();
  }
  queue.normalized_service += 1.0 / queue.weight;
  if (queue.size() == 0) {
    group.teams.erase(least_served);
  }
  --group.size;
  return out;
}

bool admission_queue::make_room(const waiting_request& request,
                                std::vector<shed_request>& shed) {
  for (std::size_t i = priority_count - 1; i > index_of(request.rank); --i) {
    if (m_groups[i].size > 0) {
      return evict(m_groups[i], nullptr, shed);
    }
  }
  return evict(m_groups[index_of(request.rank)], &request, shed);
}

bool admission_queue::evict(priority_group& group,
                            const waiting_request* newcomer,
                            std::vector<shed_request>& shed) {
  std::map<std::string, team_queue>::iterator most_loaded = group.teams.end();
  double max_load = 0;
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    const double load =
        static_cast<double>(it->second.size()) / it->second.weight;
    if (load > max_load) {
      max_load = load;
      most_loaded = it;
    }
  }
  if (most_loaded == group.teams.end()) {
    return false;
  }
  team_queue& queue = most_loaded->second;
  std::deque<waiting_request>& requests =
      queue.impatient.empty() ? queue.patient : queue.impatient;
  // Impatient requests are served newest first, so their oldest is evicted.
  const auto victim_it =
      queue.impatient.empty() ? std::prev(requests.end()) : requests.begin();
  if (newcomer != nullptr) {
    const auto own_it = group.teams.find(newcomer->team);
    const std::size_t own_queued =
        own_it == group.teams.end() ? 0 : own_it->second.size();
    const double newcomer_load =
        static_cast<double>(own_queued + 1) / newcomer->weight;
    const bool team_exceeds_share =
        most_loaded->first != newcomer->team && max_load > newcomer_load;
    const bool is_deeper = newcomer->depth > victim_it->depth;
    const bool is_newer = newcomer->wait == patience::impatient &&
                          victim_it->wait == patience::impatient;
    if (!team_exceeds_share && !is_deeper && !is_newer) {
      return false;
    }
  }
  shed.push_back({victim_it->id, reason::shed});
  requests.erase(victim_it);
  if (queue.size() == 0) {
    group.teams.erase(most_loaded);
  }
  --group.size;
  --m_size;
  return true;
}

void admission_queue::insert(waiting_request request) {
  priority_group& group = m_groups[index_of(request.rank)];
  const bool is_new_queue = group.teams.find(request.team) == group.teams.end();
  double min_service = 0;
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    const bool first = it == group.teams.begin();
    min_service = first ? it->second.normalized_service
                        : std::min(min_service, it->second.normalized_service);
  }
  team_queue& queue = group.teams[request.team];
  if (is_new_queue) {
    // A team that had no requests queued gains no credit for that time.
    queue.normalized_service = min_service;
  }
  queue.weight = std::max<std::uint32_t>(1, request.weight);
  group.min_share_percent = request.min_share_percent;
  (request.wait == patience::patient ? queue.patient : queue.impatient)
      .push_back(std::move(request));
  ++group.size;
  ++m_size;
}

} // namespace kingcupslip
