// Keeps a node's configuration up to date from the table and from other nodes.
#ifndef KINGCUPSLIP_CORE_CONFIG_SYNC_HPP
#define KINGCUPSLIP_CORE_CONFIG_SYNC_HPP

#include "kingcupslip/core/configuration.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kingcupslip {

/// Distributes configuration changes. Two nodes per data centre, the readers,
/// poll the head row of the table. All other nodes receive changes from peers:
/// pushed after a change, or pulled when gossip shows that the peer is ahead. A
/// node whose configuration has not been confirmed for long polls the table
/// itself.
class config_sync {
public:
  config_sync(configuration& config, member_table& members, table_hooks table,
              message_sender send, member_table::random_source random);

  void tick(instant now);

  /// Handles the configuration part of a peer's gossip: its sequence and the
  /// time since that sequence was last confirmed to be the newest.
  void on_gossip(const std::string& from, std::uint64_t sequence, duration age,
                 instant now);
  void on_pull(const std::string& from, const wire::config_pullT& m,
               instant now);
  void on_delta(const std::string& from, const wire::config_deltaT& m,
                instant now);

  /// Applies a change that was written through this node and accepted.
  void on_written(const config_item& item, instant now);

  /// Whether a configuration has been received since the start.
  bool ready() const { return m_ready; }

  /// Time since this node's configuration was last confirmed to be the newest.
  duration age(instant now) const;

private:
  bool is_reader() const;
  void poll(instant now);
  void read_log(std::uint64_t through, instant read_started_at);
  void read_items(std::uint64_t through, instant read_started_at);
  void apply_items(const std::vector<config_item>& items, std::uint64_t since,
                   std::uint64_t through, instant as_of);
  void push(std::uint64_t since);
  void confirm(std::uint64_t sequence, instant as_of);

  configuration& m_config;
  member_table& m_members;
  table_hooks m_table;
  message_sender m_send;
  member_table::random_source m_random;
  bool m_ready = false;
  bool m_request_pending = false;
  instant m_next_poll_at{0};
  instant m_confirmed_at{0};
  instant m_next_pull_at{0};
  instant m_now{0};
};

} // namespace kingcupslip

#endif
