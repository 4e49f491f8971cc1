// Joins a node to the fleet and gossips about members.
#ifndef KINGCUPSLIP_CORE_GOSSIP_AGENT_HPP
#define KINGCUPSLIP_CORE_GOSSIP_AGENT_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/node_identity.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace kingcupslip {

/// Registers this node in the table, exchanges membership with random members
/// and announces changes of this node's own state.
class gossip_agent {
public:
  struct dependencies {
    node_identity self;
    member_table& members;
    quarantine& crash_quarantine;
    table_hooks table;
    message_sender send;
    member_table::random_source random;
    event_sink log;
    /// Adds the fields that the owner of this object sends with every gossip.
    std::function<void(const std::string& to, wire::gossipT&)> fill_gossip;
    /// Receives those fields of a peer's gossip.
    std::function<void(const std::string& from, const wire::gossipT&)>
        on_peer_gossip;
  };

  gossip_agent(dependencies d, const clock_reading& clock);

  void tick();
  void on_gossip(const std::string& from, const wire::gossipT& m);

  /// Adds a member named in the settings; it is probed like any other.
  void add_seed(const std::string& node, const std::string& address);

  /// Announces whether the target of this node accepts requests, and its
  /// concurrency limit.
  void set_ready(bool ready, double limit = 0);
  /// Announces the service of this node's target.
  void set_service(const std::string& service);
  /// Announces the version of its software.
  void set_version(const std::string& version);

  /// Announces that an instance of this node's target leaves or drains, so that
  /// the other members remember it when this process restarts.
  void set_departure(const wire::target_noticeT& n);

  /// The table was restored from an older copy, which may lack this node's row:
  /// writes it again.
  void on_table_restored();

  /// Gossips a crash of this node's target at once.
  void on_crash_recorded();

  /// Asks a node, which need not be a known member, for its news.
  void ask(const std::string& node) { gossip_to(node, true, 0); }

  /// Gossips immediately to up to `max_count` random members.
  void gossip_to_random(std::size_t max_count);

  /// Announces that this node leaves and deletes its row. Must be the last
  /// call.
  void leave();

  /// Whether this node's row is in the table and the other members' rows have
  /// been read.
  bool joined() const { return m_joined; }

private:
  void join();
  void gossip_to(const std::string& node, bool answer_wanted,
                 std::size_t samples);
  /// `known_crashes`: the hash of the crash records that the other node has.
  void gossip_to(const std::string& node, bool answer_wanted,
                 std::size_t samples, std::uint64_t known_crashes);
  void merge_crashes(const std::string& from, const wire::gossipT& m);
  void probe_dead_member();
  void log_member_changes();
  void write_member_row();
  std::string own_row_key() const;

  dependencies m_dependencies;
  const clock_reading& m_clock;
  std::map<std::string, member_state> m_logged_states; ///< by member
  instant m_next_gossip_at{0};
  instant m_next_join_at{0};
  instant m_next_row_write_at{0}; ///< after a restore of the table
  std::uint64_t m_member_row_version = 0;
  bool m_joined = false;
  bool m_row_written = false;
};

} // namespace kingcupslip

#endif
