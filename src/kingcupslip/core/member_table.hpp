// The members of the fleet, as this node knows them (SWIM-style).
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
#include <string>
#include <vector>

namespace kingcupslip {

enum class member_state : std::uint8_t { alive, suspect, dead, left };

std::string_view name_of(member_state s);

/// What is known of one member. Load fields come with its replies and are
/// not part of what is compared or spread.
struct member {
  wire::memberT info;
  instant state_since{0};
  instant last_heard_at{0};
  instant probe_sent_at{0};
  std::uint32_t probes_missed = 0;
  std::uint32_t retransmits_left = 0;
  std::size_t own_in_flight = 0;
  std::uint32_t failures = 0;
  instant excluded_until{0}; ///< takes no work as far as this node saw
  bool silent = false;       ///< nothing comes back from it at the moment
  std::uint64_t config_sequence = 0; ///< as its last gossip said
  instant last_failure_at{0};

  member_state state() const { return static_cast<member_state>(info.state); }
  bool usable() const {
    return state() == member_state::alive || state() == member_state::suspect;
  }
};

/// Orders news of a member by (incarnation, beat, state). Only the member
/// itself raises its beat, which refutes a false suspicion; `left` is final
/// for an incarnation.
class member_table {
public:
  using random_source = std::function<std::uint64_t()>;

  member_table(const node_identity& self, random_source random);

  /// Merges news from a peer. True where it changed anything.
  bool merge(const wire::memberT& update, instant now);

  /// A message came from the node itself.
  void on_message_received(const std::string& node, instant now);

  /// Marks overdue probes as missed, suspects and buries.
  void tick(instant now);

  /// The member to probe next: mostly in this data centre. Empty if none.
  std::string next_probe(instant now);
  void on_probe_sent(const std::string& node, instant now);

  /// News to send along: this node first, then what changed lately.
  std::vector<std::unique_ptr<wire::memberT>>
  recent_updates(std::size_t max_count);

  /// A random choice of members, for a peer whose digest differs.
  std::vector<std::unique_ptr<wire::memberT>> sample(std::size_t max_count);

  /// Changes what this node says of itself, and spreads it.
  void update_self(const std::function<void(wire::memberT&)>& change,
                   instant now);

  member* find(const std::string& node);
  /// Where a member listens for others; empty if it is not known.
  std::string address_of(const std::string& node) const;
  const member& self() const { return m_members.at(m_self); }
  const std::map<std::string, member>& all() const { return m_members; }

  /// Names of usable members; of one data centre where it is not empty.
  std::vector<std::string> usable(const std::string& data_centre = "") const;

  /// `most` random usable members of a data centre, never this node.
  std::vector<std::string> random_peers(const std::string& data_centre,
                                        std::size_t max_count);

  /// The usable member that rendezvous hashing picks for `subject`; of one
  /// data centre where it is not empty. This node's name if none else.
  std::string preferred(const std::string& subject,
                        const std::string& data_centre = "") const;

  /// The same among the other members only; empty if there is none.
  std::string preferred_other(const std::string& subject,
                              const std::string& data_centre = "") const;

  /// The first `most` members by rendezvous hashing for `subject`, best
  /// first. Those out of reach count too; those that left do not.
  std::vector<std::string> ranked(const std::string& subject,
                                  std::size_t max_count) const;

  /// Changes when a member joins, leaves or is forgotten.
  std::uint64_t membership_hash() const;

  /// Place of this node among its data centre's members for `subject`.
  std::size_t rank_in_data_centre(const std::string& subject) const;

  /// Equal on nodes that know the same; load is left out.
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
