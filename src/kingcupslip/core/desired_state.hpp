// The desired state in force at a node, watched in the store and exchanged with
// other nodes.
#ifndef KINGCUPSLIP_CORE_DESIRED_STATE_HPP
#define KINGCUPSLIP_CORE_DESIRED_STATE_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/out_marks.hpp"
#include "kingcupslip/core/rollout.hpp"
#include "kingcupslip/core/route_table.hpp"
#include "kingcupslip/core/store_position.hpp"
#include "kingcupslip/core/time.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kingcupslip {

/// One entry that operators keep in the store: the document of routes, a mark
/// that takes a data centre out of service, or the order of a roll-out.
struct desired_state_item {
  enum class kind : std::uint8_t {
    routes,
    data_centre_out_of_service,
    rollout
  };
  kind item_kind = kind::routes;
  std::string name; ///< of the data centre or service; empty for routes
  /// The document of routes, as written; the version that a roll-out moves to,
  /// empty if the order cannot be read.
  std::string text;
  std::uint64_t version = 0;
  bool removed = false;
  std::chrono::milliseconds time_limit{0}; ///< of a roll-out
};

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

/// Orders documents of routes: by revision, and by position in the store where
/// operators number no revisions.
struct routes_order {
  std::uint64_t revision = 0;
  store_position position;
};

inline bool operator<(const routes_order& a, const routes_order& b) {
  return std::tie(a.revision, a.position) < std::tie(b.revision, b.position);
}

/// Keeps the routes and the out-of-service marks of data centres up to date.
///
/// Invariants: the order of routes and the position of marks never decrease,
/// also when the store is restored from an older copy; a document that cannot
/// be decoded changes nothing.
class desired_state {
public:
  desired_state(watch_hooks hooks, message_sender send,
                std::function<std::uint64_t()> random, event_sink log,
                const clock_reading& clock);

  void set_on_change(std::function<void()> hook) {
    m_on_change = std::move(hook);
  }

  /// Called when the store has been restored from an older copy.
  void set_on_store_restored(std::function<void()> hook) {
    m_on_store_restored = std::move(hook);
  }

  void tick();

  /// Null until a first version was received.
  const route_table* routes() const { return m_routes.get(); }
  std::shared_ptr<const route_table> shared_routes() const { return m_routes; }
  bool data_centre_out_of_service(const std::string& name) const {
    return m_marks.out().count(name) != 0;
  }
  /// By service.
  const std::map<std::string, rollout_order>& rollout_orders() const {
    return m_rollout_orders;
  }
  std::uint64_t routes_version() const { return m_routes_position.version; }
  /// 0 without routes, or if the operators do not number them.
  std::uint64_t routes_revision() const { return current_routes().revision; }
  /// Rises when the store is restored from an older copy; 0: unknown.
  std::uint64_t store_timeline() const { return m_cursor.timeline; }

  /// Time since the store last answered, for logs and metrics.
  duration age() const { return m_clock.now - m_confirmed_at; }

  void fill_gossip(wire::gossipT& g) const;
  void on_gossip(const std::string& from, const wire::gossipT& g);
  /// Asks a peer for what this node lacks.
  void pull_from(const std::string& peer);
  void on_pull(const std::string& from, const wire::desired_state_pullT& m);
  void on_desired_state(const wire::desired_stateT& m);

private:
  void read_all();
  void wait_for_changes();
  void on_store_answer(watch_status status,
                       const std::vector<desired_state_item>& items,
                       store_position at, bool complete);
  /// Goes over to the timeline of an answer. Returns whether it is a new one,
  /// on which the cursor means nothing.
  bool follow_timeline(store_position at);
  void apply_items(std::vector<desired_state_item> items, store_position at,
                   bool complete);
  void on_unavailable();
  /// Returns whether the orders have changed.
  bool apply_rollout_order(const desired_state_item& item, store_position at);
  /// Returns whether the document is now in force and was not before.
  bool apply_routes(store_position at, const std::string& text);
  routes_order current_routes() const;
  /// Runs `change` and calls the hook if routes or marks have changed.
  void apply(const std::function<bool()>& change);

  watch_hooks m_hooks;
  message_sender m_send;
  std::function<std::uint64_t()> m_random;
  event_sink m_log;
  const clock_reading& m_clock;
  std::function<void()> m_on_change;
  std::function<void()> m_on_store_restored;
  std::shared_ptr<const route_table> m_routes;
  std::string m_routes_document;
  store_position m_routes_position;
  out_marks m_marks;
  std::map<std::string, rollout_order> m_rollout_orders;
  store_position m_cursor; ///< up to which the store has been read
  instant m_confirmed_at{0};
  instant m_next_request_at{0};
  instant m_last_pull_at{0};
  duration m_backoff{0};
  bool m_request_pending = false;
  /// Whether all entries were read since the history was last lost or the store
  /// was last away.
  bool m_snapshot_read = false;
  bool m_store_unavailable = false;
};

} // namespace kingcupslip

#endif
