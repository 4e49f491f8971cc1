// Order of starting and order of shedding.
#include "kingcupslip/core/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t whole_percent = 100;

std::size_t index_of(priority rank) { return static_cast<std::size_t>(rank); }

} // namespace

void admission_queue::offer(waiting_request w, std::size_t capacity,
                            std::vector<shed_request>& shed) {
  if (m_size >= capacity && !make_room(w, shed)) {
    shed.push_back({w.id, reason::queue_full});
    return;
  }
  insert(std::move(w));
}

std::optional<waiting_request>
admission_queue::take(instant now, duration service_time,
                      std::vector<shed_request>& shed) {
  while (m_size > 0) {
    std::optional<waiting_request> w = pop(m_groups[choose_group()]);
    if (!w) {
      return std::nullopt;
    }
    --m_size;
    if (w->deadline > now + service_time) {
      return w;
    }
    shed.push_back({w->id, reason::deadline});
  }
  return std::nullopt;
}

bool admission_queue::remove(std::uint64_t id) {
  const auto is_it = [id](const waiting_request& w) { return w.id == id; };
  return !remove_if(is_it).empty();
}

std::size_t admission_queue::ahead_of(priority rank, const std::string& team,
                                      std::uint32_t weight) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < index_of(rank); ++i) {
    n += m_groups[i].size;
  }
  const std::map<std::string, team_queue>& teams =
      m_groups[index_of(rank)].teams;
  const auto own_it = teams.find(team);
  const std::size_t mine = own_it == teams.end() ? 0 : own_it->second.size();
  const double turns =
      static_cast<double>(mine + 1) / std::max<std::uint32_t>(1, weight);
  for (const std::pair<const std::string, team_queue>& it : teams) {
    if (it.first == team) {
      n += mine;
      continue;
    }
    const double passing = std::ceil(turns * it.second.weight);
    n += std::min(it.second.size(), static_cast<std::size_t>(passing));
  }
  return n;
}

std::size_t admission_queue::choose_group() {
  std::size_t first = 0;
  while (first < priority_count && m_groups[first].size == 0) {
    ++first;
  }
  // A lower rank with a kept share earns credit at each start and is served
  // once the credit makes a whole start.
  for (std::size_t i = first + 1; i < priority_count; ++i) {
    priority_group& group = m_groups[i];
    if (group.size == 0) {
      group.credit_percent = 0;
      continue;
    }
    group.credit_percent += group.min_share_percent;
    if (group.credit_percent >= whole_percent) {
      group.credit_percent -= whole_percent;
      return i;
    }
  }
  return first;
}

std::optional<waiting_request> admission_queue::pop(priority_group& group) {
  std::map<std::string, team_queue>::iterator best = group.teams.end();
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    if (best == group.teams.end() || it->second.served < best->second.served) {
      best = it;
    }
  }
  if (best == group.teams.end()) {
    return std::nullopt;
  }
  team_queue& queue = best->second;
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
  queue.served += 1.0 / queue.weight;
  if (queue.size() == 0) {
    group.teams.erase(best);
  }
  --group.size;
  return out;
}

bool admission_queue::make_room(const waiting_request& w,
                                std::vector<shed_request>& shed) {
  for (std::size_t i = priority_count - 1; i > index_of(w.rank); --i) {
    if (m_groups[i].size > 0) {
      return evict(m_groups[i], nullptr, shed);
    }
  }
  return evict(m_groups[index_of(w.rank)], &w, shed);
}

bool admission_queue::evict(priority_group& group,
                            const waiting_request* newcomer,
                            std::vector<shed_request>& shed) {
  std::map<std::string, team_queue>::iterator fullest = group.teams.end();
  double most = 0;
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    const double load =
        static_cast<double>(it->second.size()) / it->second.weight;
    if (load > most) {
      most = load;
      fullest = it;
    }
  }
  if (fullest == group.teams.end()) {
    return false;
  }
  team_queue& queue = fullest->second;
  std::deque<waiting_request>& part =
      queue.impatient.empty() ? queue.patient : queue.impatient;
  // Impatient callers are served newest first, so their oldest gives way.
  const auto victim_it =
      queue.impatient.empty() ? std::prev(part.end()) : part.begin();
  if (newcomer != nullptr) {
    const auto own_it = group.teams.find(newcomer->team);
    const std::size_t mine =
        own_it == group.teams.end() ? 0 : own_it->second.size();
    const double my_load = static_cast<double>(mine + 1) / newcomer->weight;
    const bool over_its_share =
        fullest->first != newcomer->team && most > my_load;
    const bool deeper = newcomer->depth > victim_it->depth;
    const bool fresher = newcomer->wait == patience::impatient &&
                         victim_it->wait == patience::impatient;
    if (!over_its_share && !deeper && !fresher) {
      return false;
    }
  }
  shed.push_back({victim_it->id, reason::shed});
  part.erase(victim_it);
  if (queue.size() == 0) {
    group.teams.erase(fullest);
  }
  --group.size;
  --m_size;
  return true;
}

void admission_queue::insert(waiting_request w) {
  priority_group& group = m_groups[index_of(w.rank)];
  const bool fresh_line = group.teams.find(w.team) == group.teams.end();
  double least = 0;
  for (auto it = group.teams.begin(); it != group.teams.end(); ++it) {
    const bool first = it == group.teams.begin();
    least = first ? it->second.served : std::min(least, it->second.served);
  }
  team_queue& queue = group.teams[w.team];
  if (fresh_line) {
    // A team that was away has saved up no claim on the past.
    queue.served = least;
  }
  queue.weight = std::max<std::uint32_t>(1, w.weight);
  group.min_share_percent = w.min_share_percent;
  (w.wait == patience::patient ? queue.patient : queue.impatient)
      .push_back(std::move(w));
  ++group.size;
  ++m_size;
}

} // namespace kingcupslip
