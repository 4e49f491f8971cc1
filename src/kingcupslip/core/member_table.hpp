// The members of the fleet as this node knows them: a SWIM-style protocol.
#ifndef KINGCUPSLIP_CORE_MEMBER_TABLE_HPP
#define KINGCUPSLIP_CORE_MEMBER_TABLE_HPP

#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

enum class member_state : std::uint8_t { alive, suspect, dead, left };

std::string_view name_of(member_state s);

/// Whether both state the same departure of the same instance.
bool same_departure(const wire::target_noticeT& a,
                    const wire::target_noticeT& b);

/// What this node knows about one member. The load fields in `info` come with
/// the member's replies; they are neither compared nor gossiped as updates.
struct member {
  wire::memberT info;
  instant state_since{0};
  instant last_heard_at{0};
  instant probe_sent_at{0};
  std::uint32_t probes_missed = 0;
  std::uint32_t retransmits_left = 0;
  std::size_t own_in_flight = 0;
  instant load_reported_at{0}; ///< when a reply last reported the load
  /// How long it held the last call that it replied to.
  duration last_held{0};
  std::uint32_t failures = 0;
  instant excluded_until{0}; ///< gets no requests from this node until then
  bool unresponsive = false; ///< its connection currently delivers nothing
  /// What its target stated about itself, from its replies and updates.
  /// Survives a restart of the member, which then knows nothing of it.
  std::optional<wire::target_noticeT> target_notice;
  std::uint64_t config_sequence = 0; ///< from its last gossip
  instant last_failure_at{0};

  member_state state() const { return static_cast<member_state>(info.state); }
  bool usable() const {
    return state() == member_state::alive || state() == member_state::suspect;
  }
};

/// Merges updates about members, detects failed members and places subjects on
/// members by rendezvous hashing.
///
/// Updates of a member are ordered by (incarnation, beat, state), where the
/// beat counts the member's own updates. Only the member itself increases its
/// beat, which refutes a false suspicion. The state `left` is final for an
/// incarnation.
class member_table {
public:
  using random_source = std::function<std::uint64_t()>;

  member_table(const node_identity& self, random_source random);

  /// Merges an update from a peer. Returns whether it changed anything.
  bool merge(const wire::memberT& update, instant now);

  /// Records a message that came from the member itself.
  void on_message_received(const std::string& node, instant now);

  /// Counts overdue probes as missed, suspects members that miss probes, and
  /// declares suspects dead after a timeout. Forgets members that have been
  /// dead or left for long.
  void tick(instant now);

  /// The member to probe next, preferably in this data centre; empty if there
  /// is none.
  std::string next_probe(instant now);
  void on_probe_sent(const std::string& node, instant now);

  /// Updates to send with gossip: this node's own first, then the most recent
  /// changes.
  std::vector<std::unique_ptr<wire::memberT>>
  recent_updates(std::size_t max_count);

  /// A random selection of members, for a peer whose digest differs.
  std::vector<std::unique_ptr<wire::memberT>> sample(std::size_t max_count);

  /// Changes this node's own entry and gossips it.
  void update_self(const std::function<void(wire::memberT&)>& change,
                   instant now);

  member* find(const std::string& node);
  /// Address at which a member accepts connections; empty if unknown.
  std::string address_of(const std::string& node) const;
  const member& self() const { return m_members.at(m_self); }
  const std::map<std::string, member>& all() const { return m_members; }

  /// Names of usable members, of one data centre unless its name is empty.
  std::vector<std::string> usable(const std::string& data_centre = "") const;

  /// Up to `max_count` random usable members without this node, of one data
  /// centre unless its name is empty.
  std::vector<std::string> random_peers(const std::string& data_centre,
                                        std::size_t max_count);

  /// The member that rendezvous hashing selects for `subject` among this node
  /// and the usable members, of one data centre unless its name is empty.
  std::string preferred(const std::string& subject,
                        const std::string& data_centre = "") const;

  /// The same without this node; empty if there is no other member.
  std::string preferred_other(const std::string& subject,
                              const std::string& data_centre = "") const;

  /// The first `max_count` members by rendezvous hashing for `subject`, best
  /// first. Includes suspect and dead members, but not those that left.
  std::vector<std::string> ranked(const std::string& subject,
                                  std::size_t max_count) const;

  /// A hash of the member names. Changes when a member joins, leaves or is
  /// forgotten.
  std::uint64_t membership_hash() const;

  /// Rank of this node for `subject` among the usable members of its data
  /// centre; 0 is the best.
  std::size_t rank_in_data_centre(const std::string& subject) const;

  /// A hash of the usable members' versions, equal on nodes that know the same.
  /// The load is not included.
  std::uint64_t digest() const;

private:
  void set_state(member& m, member_state s, instant now);
  void queue_for_gossip(member& m) const;

  std::string m_self;
  std::string m_data_centre;
  random_source m_random;
  std::map<std::string, member> m_members;
  std::vector<std::string> m_probe_order;
};

} // namespace kingcupslip

#endif
