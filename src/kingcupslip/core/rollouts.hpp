// Progressive delivery: moves a service's traffic to a new version of its
// targets, step by step, and back if the new version is worse.
#ifndef KINGCUPSLIP_CORE_ROLLOUTS_HPP
#define KINGCUPSLIP_CORE_ROLLOUTS_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/message_sender.hpp"
#include "kingcupslip/core/reason.hpp"
#include "kingcupslip/core/rollout.hpp"
#include "kingcupslip/core/rollout_decider.hpp"
#include "kingcupslip/core/rollout_exposure.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/target_stage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcupslip {

/// What this node does in roll-outs: it chooses the version that its requests
/// go to, admits requests to the target beside it, counts that target's
/// answers, tells other nodes the state of roll-outs, and decides those that
/// rendezvous hashing assigns to it.
///
/// A node that hears nothing more of a roll-out goes on with the share that it
/// last knew. A restarted one sends nothing to the new version until it hears
/// of the state, unless no target of another version is there.
class rollouts {
public:
  struct options {
    /// Part of a service's requests that a version under test may get; 0:
    /// orders are ignored.
    double max_share = 0;
  };
  struct dependencies {
    member_table& members;
    const target_stage& local_target;
    table_hooks table;
    message_sender send;
    member_table::random_source random;
    event_sink log;
    /// Gossips to that many other nodes at once.
    std::function<void(std::size_t fanout)> gossip;
  };

  rollouts(options o, dependencies d, const clock_reading& clock);

  void set_options(const options& o) { m_options = o; }

  /// The operators' orders, by service.
  void apply_orders(const std::map<std::string, rollout_order>& orders);
  void tick();

  /// The order by which a request goes to a new version; 0: by none. A first
  /// attempt is counted, and a repeated one goes to the current version as
  /// long as there is one.
  std::uint64_t choose_order(const std::string& service, bool first_attempt);
  /// Whether a member's target may get a request of this choice.
  bool allows(const wire::memberT& m, std::uint64_t order) const;

  /// Why a call for the local target is refused; null if it is not.
  std::optional<reason> check_call(const wire::callT& call) const;
  /// Counts an answer of the local target.
  void on_run_ended(const run_report& r);

  void fill_gossip(wire::gossipT& g) const;
  void on_gossip(const wire::gossipT& g);
  void on_evidence(const std::string& from, const wire::rollout_evidenceT& m);

  /// The phase of each service's roll-out, for metrics and logs; empty if it
  /// is not confirmed yet.
  std::map<std::string, std::optional<rollout_phase>> phases() const;

private:
  struct progress {
    rollout_order order;
    /// Null until the deciding node has confirmed the order.
    std::optional<rollout_phase> phase;
    wall_time deadline{0};
    bool is_ordered = false; ///< the order is in the store
    bool withdrawn = false;  ///< it was there, and was removed
    /// Versions of earlier orders that were not completed. They get nothing.
    std::set<std::string> withheld;
    std::unique_ptr<rollout_exposure> exposure;
    std::unique_ptr<rollout_decider> decider; ///< if this node decides
    /// Answers of the local target since the order, by kind.
    std::map<std::string, answer_counts> answers;
    instant last_lost_at{0};
    instant evidence_sent_at{0};
  };

  /// Starts to follow an order, unless it is known.
  progress& follow(const rollout_order& order);
  void set_phase(progress& p, rollout_phase phase, wall_time deadline,
                 std::size_t fanout);
  void update_exposure(progress& p);
  void update_decider(progress& p);
  void send_evidence(progress& p);
  bool is_local_service(const progress& p) const;
  bool has_current_version(const progress& p) const;
  /// Whether this version is neither that of the order nor withheld.
  static bool is_current(const progress& p, const std::string& version);

  options m_options;
  dependencies m_dependencies;
  const clock_reading& m_clock;
  std::map<std::string, progress> m_by_service;
  instant m_updated_at{0};
};

} // namespace kingcupslip

#endif
