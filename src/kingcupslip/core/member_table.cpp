// Merges updates, detects failures and places subjects on members.
#include "kingcupslip/core/member_table.hpp"

#include "kingcupslip/core/digest.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>
#include <utility>

namespace kingcupslip {

namespace {

constexpr duration probe_timeout = std::chrono::seconds(1);
constexpr duration suspicion_timeout = std::chrono::seconds(3);
constexpr duration dead_member_retention = std::chrono::minutes(5);
constexpr std::uint32_t probes_before_suspicion = 2;
/// On average one round of probes in this many covers all data centres.
constexpr std::uint64_t cross_data_centre_probe_ratio = 2;
constexpr duration failure_decay_period = std::chrono::seconds(1);

using member_version = std::tuple<std::uint64_t, std::uint64_t, std::uint8_t>;

member_version version_of(const wire::memberT& m) {
  return {m.incarnation, m.beat, m.state};
}

/// Rendezvous hashing: the node with the highest weight is selected.
std::uint64_t rendezvous_weight(std::string subject, const std::string& node) {
  subject += '@';
  subject += node;
  return placement_hash(subject);
}

/// Replaces what is known of a member. A departure of its target is remembered
/// beyond that, as a later process of the member knows nothing of it. One that
/// was known before does not displace what a later instance stated since.
void set_info(member& m, const wire::memberT& update) {
  const std::unique_ptr<wire::target_noticeT>& known = m.info.departure;
  const std::unique_ptr<wire::target_noticeT>& departure = update.departure;
  if (departure && (!known || !same_departure(*known, *departure))) {
    m.target_notice = *departure;
  }
  m.info = update;
}

std::uint32_t retransmit_limit(std::size_t members) {
  std::uint32_t n = 3;
  while (members > 1) {
    n += 2;
    members /= 2;
  }
  return n;
}

} // namespace

bool same_departure(const wire::target_noticeT& a,
                    const wire::target_noticeT& b) {
  return a.instance == b.instance && a.start_time_ms == b.start_time_ms &&
         a.leaving == b.leaving && a.draining_sequence == b.draining_sequence;
}

std::string_view name_of(member_state s) {
  constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead",
                                                  "left"};
  return names[static_cast<std::size_t>(s) % names.size()];
}

member_table::member_table(const node_identity& self, random_source random)
    : m_self(self.node), m_data_centre(self.data_centre),
      m_random(std::move(random)) {
  member& me = m_members[m_self];
  me.info.node = self.node;
  me.info.data_centre = self.data_centre;
  me.info.address = self.address;
  me.info.admin_url = self.admin_url;
  me.info.service = self.service;
  me.info.incarnation = self.incarnation;
  me.retransmits_left = retransmit_limit(2);
}

bool member_table::merge(const wire::memberT& update, instant now) {
  if (update.node == m_self) {
    member& me = m_members[m_self];
    if (update.incarnation > me.info.incarnation) {
      // An earlier run of this node, on a clock that has been set back since.
      me.info.incarnation = update.incarnation + 1;
      queue_for_gossip(me);
      return true;
    }
    const bool current_incarnation =
        update.incarnation == me.info.incarnation &&
        update.beat >= me.info.beat;
    if (current_incarnation && update.state != me.info.state) {
      // Another node suspects this node; a higher beat refutes that.
      me.info.beat = update.beat + 1;
      queue_for_gossip(me);
      return true;
    }
    return false;
  }
  const auto it = m_members.find(update.node);
  if (it == m_members.end()) {
    member& m = m_members[update.node];
    set_info(m, update);
    m.last_heard_at = now;
    m.state_since = now;
    queue_for_gossip(m);
    return true;
  }
  member& m = it->second;
  const bool left_this_incarnation = m.state() == member_state::left &&
                                     update.incarnation == m.info.incarnation;
  if (left_this_incarnation || version_of(update) <= version_of(m.info)) {
    return false;
  }
  const bool state_changed = m.info.state != update.state;
  const bool restarted = update.incarnation != m.info.incarnation;
  set_info(m, update);
  if (state_changed || restarted) {
    m.state_since = now;
    m.probes_missed = 0;
  }
  if (restarted) {
    m.failures = 0;
  }
  queue_for_gossip(m);
  return true;
}

void member_table::on_message_received(const std::string& node, instant now) {
  if (member* m = find(node)) {
    m->last_heard_at = now;
    m->probes_missed = 0;
    m->probe_sent_at = instant(0);
  }
}

void member_table::tick(instant now) {
  for (auto it = m_members.begin(); it != m_members.end();) {
    member& m = it->second;
    if (it->first == m_self) {
      ++it;
      continue;
    }
    const bool overdue =
        m.probe_sent_at != instant(0) && now - m.probe_sent_at > probe_timeout;
    if (overdue) {
      m.probe_sent_at = instant(0);
      ++m.probes_missed;
      if (m.probes_missed >= probes_before_suspicion &&
          m.state() == member_state::alive) {
        set_state(m, member_state::suspect, now);
      }
    }
    if (m.state() == member_state::suspect &&
        now - m.state_since > suspicion_timeout) {
      set_state(m, member_state::dead, now);
    }
    if (m.failures > 0 && now - m.last_failure_at > failure_decay_period) {
      --m.failures;
      m.last_failure_at = now;
    }
    const bool forgotten =
        !m.usable() && now - m.state_since > dead_member_retention;
    it = forgotten ? m_members.erase(it) : std::next(it);
  }
}

std::string member_table::next_probe(instant) {
  const std::vector<std::string> candidates = [this] {
    if (m_random() % cross_data_centre_probe_ratio == 0) {
      return usable();
    }
    return usable(m_data_centre);
  }();
  // A member that missed a probe is probed again before others, so that it is
  // suspected within seconds regardless of the number of members.
  for (const std::string& it : usable()) {
    const member& m = m_members.at(it);
    if (m.probes_missed > 0 && m.probe_sent_at == instant(0) && it != m_self) {
      return it;
    }
  }
  while (!m_probe_order.empty()) {
    std::string it = m_probe_order.back();
    m_probe_order.pop_back();
    const member* m = find(it);
    if (m != nullptr && m->usable() && it != m_self) {
      return it;
    }
  }
  m_probe_order = candidates;
  for (std::size_t i = m_probe_order.size(); i > 1; --i) {
    std::swap(m_probe_order[i - 1], m_probe_order[m_random() % i]);
  }
  for (const std::string& it : m_probe_order) {
    if (it != m_self) {
      return it;
    }
  }
  const std::vector<std::string> anyone = usable();
  for (const std::string& it : anyone) {
    if (it != m_self) {
      return it;
    }
  }
  return {};
}

void member_table::on_probe_sent(const std::string& node, instant now) {
  member* m = find(node);
  if (m != nullptr && m->probe_sent_at == instant(0)) {
    m->probe_sent_at = now;
  }
}

std::vector<std::unique_ptr<wire::memberT>>
member_table::recent_updates(std::size_t max_count) {
  std::vector<std::unique_ptr<wire::memberT>> out;
  out.push_back(std::make_unique<wire::memberT>(self().info));
  std::vector<member*> pending;
  for (std::pair<const std::string, member>& it : m_members) {
    if (it.second.retransmits_left > 0 && it.first != m_self) {
      pending.push_back(&it.second);
    }
  }
  std::sort(pending.begin(), pending.end(),
            [](const member* a, const member* b) {
              return a->retransmits_left > b->retransmits_left;
            });
  for (member* m : pending) {
    if (out.size() >= max_count) {
      break;
    }
    --m->retransmits_left;
    out.push_back(std::make_unique<wire::memberT>(m->info));
  }
  return out;
}

std::vector<std::unique_ptr<wire::memberT>>
member_table::sample(std::size_t max_count) {
  std::vector<const member*> remaining;
  for (const std::pair<const std::string, member>& it : m_members) {
    remaining.push_back(&it.second);
  }
  std::vector<std::unique_ptr<wire::memberT>> out;
  while (!remaining.empty() && out.size() < max_count) {
    const std::size_t i = m_random() % remaining.size();
    out.push_back(std::make_unique<wire::memberT>(remaining[i]->info));
    remaining[i] = remaining.back();
    remaining.pop_back();
  }
  return out;
}

void member_table::update_self(
    const std::function<void(wire::memberT&)>& change, instant now) {
  member& me = m_members[m_self];
  change(me.info);
  ++me.info.beat;
  me.last_heard_at = now;
  queue_for_gossip(me);
}

member* member_table::find(const std::string& node) {
  const auto it = m_members.find(node);
  return it == m_members.end() ? nullptr : &it->second;
}

std::vector<std::string>
member_table::usable(const std::string& data_centre) const {
  std::vector<std::string> out;
  for (const std::pair<const std::string, member>& it : m_members) {
    const bool here =
        data_centre.empty() || it.second.info.data_centre == data_centre;
    if (here && it.second.usable()) {
      out.push_back(it.first);
    }
  }
  return out;
}

std::vector<std::string>
member_table::random_peers(const std::string& data_centre,
                           std::size_t max_count) {
  std::vector<std::string> from = usable(data_centre);
  std::vector<std::string> out;
  while (!from.empty() && out.size() < max_count) {
    const std::size_t i = m_random() % from.size();
    if (from[i] != m_self) {
      out.push_back(from[i]);
    }
    from[i] = from.back();
    from.pop_back();
  }
  return out;
}

std::string member_table::preferred(const std::string& subject,
                                    const std::string& data_centre) const {
  const std::string other = preferred_other(subject, data_centre);
  const std::uint64_t own_weight = rendezvous_weight(subject, m_self);
  const bool self_wins =
      other.empty() || own_weight >= rendezvous_weight(subject, other);
  return self_wins ? m_self : other;
}

std::string
member_table::preferred_other(const std::string& subject,
                              const std::string& data_centre) const {
  std::string best;
  std::uint64_t best_weight = 0;
  for (const std::string& it : usable(data_centre)) {
    const std::uint64_t h = rendezvous_weight(subject, it);
    if (it != m_self && (best.empty() || h > best_weight)) {
      best_weight = h;
      best = it;
    }
  }
  return best;
}

std::string member_table::address_of(const std::string& node) const {
  const auto it = m_members.find(node);
  return it == m_members.end() ? std::string() : it->second.info.address;
}

std::vector<std::string> member_table::ranked(const std::string& subject,
                                              std::size_t max_count) const {
  std::vector<std::pair<std::uint64_t, std::string>> weights;
  for (const std::pair<const std::string, member>& it : m_members) {
    if (it.second.state() != member_state::left) {
      weights.emplace_back(rendezvous_weight(subject, it.first), it.first);
    }
  }
  const std::size_t n = std::min(max_count, weights.size());
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<std::ptrdiff_t>(n),
                    weights.end(), std::greater<>());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < n; ++i) {
    out.push_back(std::move(weights[i].second));
  }
  return out;
}

std::uint64_t member_table::membership_hash() const {
  std::uint64_t out = 0;
  for (const std::pair<const std::string, member>& it : m_members) {
    out +=
        it.second.state() != member_state::left ? placement_hash(it.first) : 0;
  }
  return out;
}

std::size_t
member_table::rank_in_data_centre(const std::string& subject) const {
  const std::uint64_t own_weight = rendezvous_weight(subject, m_self);
  std::size_t n = 0;
  for (const std::string& it : usable(m_data_centre)) {
    n += rendezvous_weight(subject, it) > own_weight ? 1 : 0;
  }
  return n;
}

std::uint64_t member_table::digest() const {
  std::uint64_t out = 0;
  for (const std::pair<const std::string, member>& it : m_members) {
    const wire::memberT& m = it.second.info;
    if (!it.second.usable()) {
      // Nodes forget dead members at different times.
      continue;
    }
    const std::string text = m.node + "/" + std::to_string(m.incarnation) +
                             "/" + std::to_string(m.beat) + "/" +
                             std::to_string(m.state);
    out ^= placement_hash(text);
  }
  return out;
}

void member_table::set_state(member& m, member_state s, instant now) {
  m.info.state = static_cast<std::uint8_t>(s);
  m.state_since = now;
  queue_for_gossip(m);
}

void member_table::queue_for_gossip(member& m) const {
  m.retransmits_left = retransmit_limit(m_members.size());
}

} // namespace kingcupslip
