// Decides one roll-out, and keeps its state in the table.
#ifndef KINGCUPSLIP_CORE_ROLLOUT_DECIDER_HPP
#define KINGCUPSLIP_CORE_ROLLOUT_DECIDER_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/rollout.hpp"
#include "kingcupslip/core/rollout_evaluator.hpp"
#include "kingcupslip/core/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kingcupslip {

/// Decides a roll-out on the evidence of the nodes beside its service's
/// targets. Runs on the node that rendezvous hashing selects. Two nodes may
/// take themselves for that one: the row of the roll-out in the table is
/// written only over the version that was read, and a final phase is passed on
/// only once it is written there.
class rollout_decider {
public:
  struct dependencies {
    const member_table& members;
    table_hooks table;
    event_sink log;
    /// Called with each phase that is in force from now on.
    std::function<void(rollout_phase, wall_time deadline)> on_phase;
  };

  rollout_decider(rollout_order order, std::optional<rollout_phase> known_phase,
                  dependencies d, const clock_reading& clock);

  void tick();
  /// The operator has withdrawn the order.
  void withdraw() { m_withdrawn = true; }
  /// Another node has told a later phase.
  void on_phase_learned(rollout_phase p);
  void on_evidence(const std::string& from, const wire::rollout_evidenceT& m);

private:
  /// The row, as last read or written.
  struct row_state {
    std::uint64_t version = 0;
    bool is_read = false;
  };
  /// What a node beside a target has last reported.
  struct target_report {
    std::map<std::string, answer_counts> answers; ///< since the order
    bool idle = false;
    rollout_phase phase = rollout_phase::testing;
  };

  void read_row();
  void write_row(rollout_phase phase);
  void adopt_row(const std::string& value);
  void set_phase(rollout_phase p);
  void decide();
  void roll_back(const std::string& why);
  bool enough_evidence() const;
  /// Whether the new version's targets can take the load of the others.
  bool has_capacity() const;
  /// Whether every target of another version is idle, and stays so.
  bool others_are_idle() const;
  bool most_members_usable() const;

  rollout_order m_order;
  std::optional<rollout_phase> m_phase;
  dependencies m_dependencies;
  const clock_reading& m_clock;
  rollout_evaluator m_evaluator;
  std::map<std::string, target_report> m_reports;
  row_state m_row;
  /// To be written; its effect on the traffic may come before that.
  std::optional<rollout_phase> m_unwritten;
  bool m_call_pending = false;
  instant m_next_call_at{0};
  instant m_next_window_at{0};
  wall_time m_started_at{0};
  wall_time m_deadline{0};
  bool m_withdrawn = false;
  /// Replies of the table may come after the end of this object.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

} // namespace kingcupslip

#endif
