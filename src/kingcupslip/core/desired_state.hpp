// The desired state in force at a node, watched in the store and exchanged with
// other nodes.
#ifndef KINGCUPSLIP_CORE_DESIRED_STATE_HPP
#define KINGCUPSLIP_CORE_DESIRED_STATE_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kingcupslip {

/// One entry that operators keep in the store: the document of routes, or a
/// mark that takes a data centre out of service.
struct desired_state_item {
  enum class kind : std::uint8_t { routes, data_centre_out_of_service };
  kind item_kind = kind::routes;
  std::string name; ///< of the data centre; empty for routes
  std::string text; ///< the document of routes, as written
  std::uint64_t version = 0;
  bool removed = false;
};

/// A point in the history of the store. A store that is restored from an older
/// copy starts a new timeline, on which it gives out versions again.
struct store_position {
  std::uint64_t timeline = 0; ///< 0: the store does not number its timelines
  std::uint64_t version = 0;  ///< of the newest change
};

inline bool operator<(const store_position& a, const store_position& b) {
  return std::tie(a.timeline, a.version) < std::tie(b.timeline, b.version);
}

/// Result of a read of the store or of a wait for changes.
enum class watch_status : std::uint8_t {
  ok,
  history_lost, ///< the store no longer has all changes; read all again
  unavailable
};

using watch_handler = std::function<void(watch_status status,
                                         std::vector<desired_state_item> items,
                                         store_position at)>;

/// Calls to the store.
struct watch_hooks {
  /// Reads all entries as of one version.
  std::function<void(watch_handler)> read_all;
  /// Waits for changes after a version. Answers with the changes, or with none
  /// after a timeout.
  std::function<void(std::uint64_t after, watch_handler)> wait_for_changes;
  /// Decodes a document of routes; null if it is invalid.
  std::function<std::shared_ptr<const route_table>(const std::string&)> decode;
};

/// Keeps the routes and the out-of-service marks of data centres up to date.
///
/// Invariants: the versions of routes and marks never decrease; a document that
/// cannot be decoded changes nothing.
class desired_state {
public:
  desired_state(watch_hooks hooks, message_sender send,
                std::function<std::uint64_t()> random, event_sink log,
                const clock_reading& clock);

  void set_on_change(std::function<void()> hook) {
    m_on_change = std::move(hook);
  }

  void tick();

  /// Null until a first version was received.
  const route_table* routes() const { return m_routes.get(); }
  std::shared_ptr<const route_table> shared_routes() const { return m_routes; }
  bool data_centre_out_of_service(const std::string& name) const {
    return m_data_centres_out.count(name) != 0;
  }
  std::uint64_t routes_version() const { return m_routes_version; }
  std::uint64_t marks_version() const { return m_marks_version; }

  /// Time since the store last answered, for logs and metrics.
  duration age() const { return m_clock.now - m_confirmed_at; }

  void fill_gossip(wire::gossipT& g) const;
  void on_gossip(const std::string& from, const wire::gossipT& g);
  void on_pull(const std::string& from, const wire::desired_state_pullT& m);
  void on_desired_state(const wire::desired_stateT& m);

private:
  void read_all();
  void wait_for_changes();
  void on_store_answer(watch_status status,
                       const std::vector<desired_state_item>& items,
                       store_position at, bool complete);
  void log_store_history(watch_status status, store_position at);
  void on_unavailable();
  bool apply_routes(std::uint64_t version, const std::string& text);
  bool apply_marks(std::uint64_t version, std::set<std::string> out);

  watch_hooks m_hooks;
  message_sender m_send;
  std::function<std::uint64_t()> m_random;
  event_sink m_log;
  const clock_reading& m_clock;
  std::function<void()> m_on_change;
  std::shared_ptr<const route_table> m_routes;
  std::string m_routes_document;
  std::uint64_t m_routes_version = 0;
  std::set<std::string> m_data_centres_out;
  std::uint64_t m_marks_version = 0;
  std::uint64_t m_timeline = 0; ///< of the last answer of the store
  std::uint64_t m_cursor = 0;
  instant m_confirmed_at{0};
  instant m_next_request_at{0};
  instant m_last_pull_at{0};
  duration m_backoff{0};
  bool m_request_pending = false;
  /// Whether all entries were read once since the history was last lost.
  bool m_snapshot_read = false;
  bool m_store_unavailable = false;
};

} // namespace kingcupslip

#endif
