// Movement of the parts that leave.
#include "kingcupslip/core/locality.hpp"

#include <algorithm>
#include <set>

namespace kingcupslip {

namespace {

/// Loads are relative to the concurrency of the targets. Below this load
/// nobody waits, so that leaving saves nothing.
constexpr double load_without_wait = 0.85;
/// Loads beyond this are a queue that says little about the demand.
constexpr double max_load = 2;
/// Of the load, between data centres. Smaller differences are noise.
constexpr double min_difference = 0.05;
/// Movement of a part in a second, for each unit of the difference in load.
constexpr double gain_per_s = 0.7;
/// Of a new difference, in the moving average.
constexpr double gap_weight = 0.15;
/// Movement of a part for each unit by which the difference changes. Stops the
/// movement before a queue that is being worked off is gone.
constexpr double damping = 0.3;
/// Without news of a data centre nothing is known of its load, but for the
/// trickle of requests that brings the news.
constexpr double trickle_part = 0.01;
/// A longer gap between updates is no time in which loads were observed.
constexpr duration max_step = std::chrono::milliseconds(250);
/// A part from which on operators are told.
constexpr double logged_part = 0.05;

double load_of(const data_centre_load& l) {
  return l.known_capacity > 0
             ? std::min(max_load, l.known_load / l.known_capacity)
             : max_load;
}

double seconds(duration d) { return static_cast<double>(d.count()) / us_per_s; }

} // namespace

void locality::update(const std::string& service, const std::string& here,
                      const std::vector<data_centre_load>& loads,
                      duration run_time, instant now) {
  service_state& s = m_services[service];
  const double step_s = seconds(std::min(now - s.updated_at, max_step));
  s.updated_at = now;
  const auto own = std::find_if(
      loads.begin(), loads.end(),
      [&here](const data_centre_load& l) { return l.name == here; });
  const bool has_own = own != loads.end() && own->capacity > 0;
  if (!has_own || own->known_capacity <= 0 || run_time.count() <= 0) {
    // All requests leave, or nothing is known: each is balanced on its own.
    s.destinations.clear();
    return;
  }
  s.load_here = load_of(*own);
  std::set<std::string> present;
  double total = 0;
  for (const data_centre_load& it : loads) {
    if (it.name == here || it.capacity <= 0) {
      continue;
    }
    present.insert(it.name);
    destination& d = s.destinations[it.name];
    const duration way = std::max(it.way - own->way, duration(0));
    const double margin =
        min_difference +
        seconds(way + m_options.leaving_cost) / seconds(run_time);
    const bool is_known = it.known_capacity > 0;
    const double gap =
        s.load_here - margin -
        std::max(is_known ? load_of(it) : s.load_here, load_without_wait);
    const double gap_before = d.gap;
    const bool goes_on = is_known && d.was_known;
    d.gap += goes_on ? gap_weight * (gap - d.gap) : gap - d.gap;
    const double change = goes_on ? d.gap - gap_before : 0;
    // A load that rises, but at which nobody waits yet, moves nothing.
    const double damped_change = d.gap > 0 ? change : std::min(change, 0.0);
    // Larger data centres take more of what leaves.
    const double weight = it.capacity / (it.capacity + own->capacity);
    d.part += weight * (gain_per_s * step_s * d.gap + damping * damped_change);
    d.was_known = is_known;
    const bool wants_news = !is_known && s.load_here > load_without_wait;
    d.part = std::max(d.part, wants_news ? trickle_part : 0.0);
    if (!is_known) {
      d.part = std::min(d.part, trickle_part);
    }
    total += d.part;
  }
  for (auto it = s.destinations.begin(); it != s.destinations.end();) {
    it = present.count(it->first) == 0 ? s.destinations.erase(it)
                                       : std::next(it);
  }
  if (total > max_leaving_part) {
    for (std::pair<const std::string, destination>& it : s.destinations) {
      it.second.part *= max_leaving_part / total;
    }
  }
  log_change(service, s);
}

const std::string*
locality::choose(const std::string& service,
                 const std::function<std::uint64_t()>& random) const {
  const auto s = m_services.find(service);
  if (s == m_services.end() || s->second.destinations.empty()) {
    return nullptr;
  }
  constexpr std::uint64_t steps = 1'000'000;
  double drawn = static_cast<double>(random() % steps) / steps;
  for (const std::pair<const std::string, destination>& it :
       s->second.destinations) {
    if (drawn < it.second.part) {
      return &it.first;
    }
    drawn -= it.second.part;
  }
  return nullptr;
}

std::map<std::string, double>
locality::parts(const std::string& service) const {
  std::map<std::string, double> out;
  const auto s = m_services.find(service);
  if (s != m_services.end()) {
    for (const std::pair<const std::string, destination>& it :
         s->second.destinations) {
      out[it.first] = it.second.part;
    }
  }
  return out;
}

std::map<std::string, double> locality::leaving_parts() const {
  std::map<std::string, double> out;
  for (const std::pair<const std::string, service_state>& it : m_services) {
    double& sum = out[it.first];
    for (const std::pair<const std::string, destination>& d :
         it.second.destinations) {
      sum += d.second.part;
    }
  }
  return out;
}

void locality::log_change(const std::string& service, service_state& s) const {
  double total = 0;
  const std::pair<const std::string, destination>* most = nullptr;
  for (const std::pair<const std::string, destination>& it : s.destinations) {
    total += it.second.part;
    if (most == nullptr || it.second.part > most->second.part) {
      most = &it;
    }
  }
  const bool leaves =
      total >= (s.logged_leaving ? logged_part / 2 : logged_part);
  if (leaves == s.logged_leaving) {
    return;
  }
  s.logged_leaving = leaves;
  m_log(event_id::load_leaves, {{"service", service},
                                {"part", std::to_string(total)},
                                {"most_to", most == nullptr ? "" : most->first},
                                {"load_here", std::to_string(s.load_here)}});
}

} // namespace kingcupslip
