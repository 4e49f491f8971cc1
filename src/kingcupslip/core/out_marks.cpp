// Marks of the store, and those kept after a restore.
#include "kingcupslip/core/out_marks.hpp"

#include <utility>

namespace kingcupslip {

namespace {

/// Operators write again within seconds of a restore.
constexpr duration settling_time = std::chrono::seconds(10);
constexpr std::size_t max_seen_versions = 16; ///< of one mark

} // namespace

void out_marks::apply_all(store_position at, mark_versions marks, instant now) {
  if (at < m_position) {
    return;
  }
  const bool restored =
      m_position.timeline != 0 && at.timeline != m_position.timeline;
  if (restored) {
    m_previously_out = m_out;
    m_previously_seen = std::exchange(m_seen, {});
    m_changed.clear();
    m_settled_at = now + settling_time;
  }
  m_position = at;
  m_in_store = std::move(marks);
  for (const std::pair<const std::string, std::uint64_t>& it : m_in_store) {
    record_version(it.first, it.second);
  }
  update();
}

void out_marks::apply_change(const std::string& data_centre, store_position at,
                             bool removed) {
  // Changes of one transaction have the same position.
  if (at < m_position) {
    return;
  }
  m_position = at;
  if (settling()) {
    m_changed.insert(data_centre);
  }
  if (removed) {
    m_in_store.erase(data_centre);
  } else {
    m_in_store[data_centre] = at.version;
    record_version(data_centre, at.version);
  }
  update();
}

void out_marks::tick(instant now) {
  if (!settling() || now < m_settled_at) {
    return;
  }
  m_settled_at = instant(0);
  m_previously_out.clear();
  m_previously_seen.clear();
  m_changed.clear();
  update();
}

void out_marks::record_version(const std::string& data_centre,
                               std::uint64_t version) {
  std::set<std::uint64_t>& seen = m_seen[data_centre];
  seen.insert(version);
  if (seen.size() > max_seen_versions) {
    seen.erase(seen.begin());
  }
}

bool out_marks::is_written_again(const std::string& data_centre) const {
  if (m_changed.count(data_centre) != 0) {
    return true;
  }
  const auto it = m_in_store.find(data_centre);
  return it != m_in_store.end() &&
         m_previously_seen.at(data_centre).count(it->second) == 0;
}

void out_marks::update() {
  m_out.clear();
  for (const std::pair<const std::string, std::uint64_t>& it : m_in_store) {
    m_out.insert(it.first);
  }
  for (const std::pair<const std::string, std::set<std::uint64_t>>& it :
       m_previously_seen) {
    if (is_written_again(it.first)) {
      continue;
    }
    if (m_previously_out.count(it.first) != 0) {
      m_out.insert(it.first);
    } else {
      m_out.erase(it.first);
    }
  }
}

} // namespace kingcupslip
