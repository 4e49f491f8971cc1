// Decides which requests with an idempotency key may run.
#include "kingcupslip/core/idempotency_store.hpp"

#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

namespace kingcupslip {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_index = 14; ///< of the version digit
constexpr std::chrono::milliseconds duplicate_retry_after{1000};
constexpr std::chrono::milliseconds memory_full_retry_after{5000};

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

bool has_uuid_format(std::string_view key) {
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

wall_time record_ttl() {
  return std::chrono::duration_cast<wall_time>(idempotency_record_ttl);
}

/// Whether the key was certainly first sent after `complete_since`, so that an
/// earlier run would be on record. Zero means that the records are complete.
bool certainly_first_sent_since(std::optional<wall_time> key_created_at,
                                wall_time complete_since, wall_time now) {
  if (complete_since == wall_time(0)) {
    return true;
  }
  if (key_created_at) {
    return *key_created_at >= complete_since + max_wall_clock_skew;
  }
  return now >= complete_since + record_ttl();
}

/// Whether the request of a key without a record has certainly never run. It
/// may have if its record has expired or if the records are incomplete.
bool is_certainly_new(const std::string& key, wall_time complete_since,
                      wall_time now) {
  const std::optional<wall_time> key_created_at = uuid_v7_time(key);
  const bool forgotten = key_created_at && *key_created_at + record_ttl() <
                                               now + max_wall_clock_skew;
  return !forgotten &&
         certainly_first_sent_since(key_created_at, complete_since, now);
}

} // namespace

std::optional<wall_time> uuid_v7_time(std::string_view idempotency_key) {
  if (!has_uuid_format(idempotency_key) ||
      idempotency_key[uuid_version_index] != '7') {
    return std::nullopt;
  }
  std::string digits(idempotency_key.substr(0, 8));
  digits += idempotency_key.substr(9, 4);
  std::int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
  return wall_time(ms);
}

idempotency_store::idempotency_store(std::size_t max_entries,
                                     std::size_t max_bytes)
    : m_max_entries(max_entries), m_max_bytes(max_bytes) {}

std::optional<outcome> idempotency_store::begin(const std::string& team,
                                                const std::string& key,
                                                std::uint64_t digest,
                                                wall_time complete_since,
                                                clock_reading t) {
  const auto it = m_entries.find(index_key(team, key));
  if (it != m_entries.end()) {
    const idempotency_record& known = it->second;
    if (known.digest != digest) {
      // The verdict is about this request, which differs from the recorded
      // one and has certainly not run. It says nothing about the first one.
      return refusal(reason::key_reused);
    }
    if (known.running) {
      return refusal(reason::duplicate_running, verdict::may_have_run,
                     duplicate_retry_after);
    }
    return known.answer;
  }
  if (!is_certainly_new(key, complete_since, t.wall)) {
    return refusal(reason::outcome_unknown, verdict::may_have_run);
  }
  if (m_entries.size() >= m_max_entries || m_bytes >= m_max_bytes) {
    return refusal(reason::memory_full, verdict::not_run,
                   memory_full_retry_after);
  }
  idempotency_record entry;
  entry.team = team;
  entry.key = key;
  entry.digest = digest;
  entry.running = true;
  m_entries.emplace(index_key(team, key), std::move(entry));
  return std::nullopt;
}

verdict idempotency_store::execution_of(const std::string& team,
                                        const std::string& key,
                                        wall_time complete_since,
                                        clock_reading t) const {
  const bool known = m_entries.count(index_key(team, key)) != 0;
  return !known && is_certainly_new(key, complete_since, t.wall)
             ? verdict::not_run
             : verdict::may_have_run;
}

void idempotency_store::finish(const std::string& team, const std::string& key,
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

void idempotency_store::insert(idempotency_record entry) {
  const std::string index = index_key(entry.team, entry.key);
  const std::size_t n = bytes_of(entry.answer);
  if (m_entries.emplace(index, std::move(entry)).second) {
    m_bytes += n;
  }
}

std::vector<idempotency_record> idempotency_store::entries_matching(
    const std::function<bool(const idempotency_record&)>& predicate) const {
  std::vector<idempotency_record> out;
  for (const std::pair<const std::string, idempotency_record>& it : m_entries) {
    if (predicate(it.second)) {
      out.push_back(it.second);
    }
  }
  return out;
}

void idempotency_store::expire(instant now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const idempotency_record& known = it->second;
    const bool old =
        !known.running && known.finished_at + idempotency_record_ttl <= now;
    if (!old) {
      ++it;
      continue;
    }
    m_bytes -= bytes_of(known.answer);
    it = m_entries.erase(it);
  }
}

} // namespace kingcupslip
