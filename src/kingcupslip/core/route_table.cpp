// Looks up routes, services and teams in the route table.
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

std::string host_key(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string out(host.substr(0, colon));
  std::transform(out.begin(), out.end(), out.begin(), ascii_lower);
  return out;
}

} // namespace

priority priority_of_urgency(std::uint32_t urgency) {
  return static_cast<priority>(
      std::min<std::size_t>(urgency, priority_count - 1));
}

route_table::route_table(content c) : m_content(std::move(c)) {
  for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
    m_by_host[host_key(m_content.routes[i].host)].push_back(i);
  }
  for (std::size_t i = 0; i < m_content.teams.size(); ++i) {
    for (const std::string& it : m_content.teams[i].keys) {
      m_by_key[it] = i;
    }
  }
}

const host_route* route_table::find_route(std::string_view host,
                                          std::string_view path) const {
  const auto it = m_by_host.find(host_key(host));
  if (it == m_by_host.end()) {
    return nullptr;
  }
  const std::string_view path_without_query = path.substr(0, path.find('?'));
  const host_route* best = nullptr;
  for (const std::size_t i : it->second) {
    const host_route& r = m_content.routes[i];
    const bool longer =
        best == nullptr || r.path_prefix.size() > best->path_prefix.size();
    if (longer && starts_with(path_without_query, r.path_prefix)) {
      best = &r;
    }
  }
  return best;
}

const team_settings* route_table::find_key(const std::string& key) const {
  const auto it = m_by_key.find(key);
  return it == m_by_key.end() ? nullptr : &m_content.teams[it->second];
}

const service_settings*
route_table::find_service(const std::string& name) const {
  const auto it = m_content.services.find(name);
  return it == m_content.services.end() ? nullptr : &it->second;
}

} // namespace kingcupslip
