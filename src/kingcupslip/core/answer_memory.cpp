// Decisions of the at-most-once memory.
#include "kingcupslip/core/answer_memory.hpp"

#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_at = 14;
constexpr std::chrono::milliseconds running_retry_after{1000};
constexpr std::chrono::milliseconds full_retry_after{5000};

std::string index_key(const std::string& team, const std::string& key) {
  return team + "\n" + key;
}

std::size_t bytes_of(const outcome& o) {
  std::size_t n = o.body.size();
  for (const header& it : o.headers) {
    n += it.name.size() + it.value.size();
  }
  return n;
}

bool has_uuid_shape(std::string_view key) {
  if (key.size() != uuid_length) {
    return false;
  }
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const unsigned char c = static_cast<unsigned char>(key[i]);
    if (dash ? c != '-' : std::isxdigit(c) == 0) {
      return false;
    }
  }
  return true;
}

wall_time memory_life() {
  return std::chrono::duration_cast<wall_time>(answer_memory_life);
}

/// Whether a run before `complete_since` can be ruled out.
bool first_sent_since(std::optional<wall_time> minted, wall_time complete_since,
                      wall_time now) {
  if (complete_since == wall_time(0)) {
    return true;
  }
  if (minted) {
    return *minted >= complete_since + wall_clock_skew;
  }
  return now >= complete_since + memory_life();
}

/// Whether a key that is not remembered has surely never run.
bool surely_new(const std::string& key, wall_time complete_since,
                wall_time now) {
  const std::optional<wall_time> minted = minting_time(key);
  const bool forgotten =
      minted && *minted + memory_life() < now + wall_clock_skew;
  return !forgotten && first_sent_since(minted, complete_since, now);
}

} // namespace

std::optional<wall_time> minting_time(std::string_view idempotency_key) {
  if (!has_uuid_shape(idempotency_key) ||
      idempotency_key[uuid_version_at] != '7') {
    return std::nullopt;
  }
  std::string digits(idempotency_key.substr(0, 8));
  digits += idempotency_key.substr(9, 4);
  std::int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
  return wall_time(ms);
}

answer_memory::answer_memory(std::size_t most_entries, std::size_t most_bytes)
    : m_most_entries(most_entries), m_most_bytes(most_bytes) {}

std::optional<outcome> answer_memory::begin(const std::string& team,
                                            const std::string& key,
                                            std::uint64_t digest,
                                            wall_time complete_since,
                                            clock_reading t) {
  const auto it = m_entries.find(index_key(team, key));
  if (it != m_entries.end()) {
    const remembered_request& known = it->second;
    if (known.digest != digest) {
      // Says nothing of the first request: this one, with its other body,
      // surely has not run.
      return refusal(reason::key_reused);
    }
    if (known.running) {
      return refusal(reason::duplicate_running, verdict::may_have_run,
                     running_retry_after);
    }
    return known.answer;
  }
  if (!surely_new(key, complete_since, t.wall)) {
    return refusal(reason::outcome_unknown, verdict::may_have_run);
  }
  if (m_entries.size() >= m_most_entries || m_bytes >= m_most_bytes) {
    return refusal(reason::memory_full, verdict::not_run, full_retry_after);
  }
  remembered_request entry;
  entry.team = team;
  entry.key = key;
  entry.digest = digest;
  entry.running = true;
  m_entries.emplace(index_key(team, key), std::move(entry));
  return std::nullopt;
}

verdict answer_memory::what_became_of(const std::string& team,
                                      const std::string& key,
                                      wall_time complete_since,
                                      clock_reading t) const {
  const bool known = m_entries.count(index_key(team, key)) != 0;
  return !known && surely_new(key, complete_since, t.wall)
             ? verdict::not_run
             : verdict::may_have_run;
}

void answer_memory::finish(const std::string& team, const std::string& key,
                           const outcome& answer, instant now) {
  const auto it = m_entries.find(index_key(team, key));
  if (it == m_entries.end()) {
    return;
  }
  if (answer.execution == verdict::not_run) {
    m_entries.erase(it);
    return;
  }
  it->second.running = false;
  it->second.answer = answer;
  it->second.finished_at = now;
  m_bytes += bytes_of(answer);
}

void answer_memory::adopt(remembered_request entry) {
  const std::string index = index_key(entry.team, entry.key);
  const std::size_t n = bytes_of(entry.answer);
  if (m_entries.emplace(index, std::move(entry)).second) {
    m_bytes += n;
  }
}

std::vector<remembered_request> answer_memory::entries_of(
    const std::function<bool(const remembered_request&)>& picked) const {
  std::vector<remembered_request> out;
  for (const std::pair<const std::string, remembered_request>& it : m_entries) {
    if (picked(it.second)) {
      out.push_back(it.second);
    }
  }
  return out;
}

void answer_memory::expire(instant now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const remembered_request& known = it->second;
    const bool old =
        !known.running && known.finished_at + answer_memory_life <= now;
    if (!old) {
      ++it;
      continue;
    }
    m_bytes -= bytes_of(known.answer);
    it = m_entries.erase(it);
  }
}

} // namespace kingcupslip
