// The data centres that operators have marked out of service.
#ifndef KINGCUPSLIP_CORE_OUT_MARKS_HPP
#define KINGCUPSLIP_CORE_OUT_MARKS_HPP

#include "kingcupslip/core/store_position.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace kingcupslip {

/// Follows the marks in the store, also across a restore of the store from an
/// older copy. What was in force before a restore stays in force until it is
/// written again, for at most a settling time, after which the store alone
/// counts.
///
/// Invariants: the position never decreases; without a restore in the last
/// settling time, out() holds the marks of the store as last read.
class out_marks {
public:
  /// The versions of the rows, by data centre.
  using mark_versions = std::map<std::string, std::uint64_t>;

  /// Applies all marks as of a position. An older position is ignored.
  void apply_all(store_position at, mark_versions marks, instant now);
  /// Applies one change. One that is older than the position is ignored.
  void apply_change(const std::string& data_centre, store_position at,
                    bool removed);
  bool settling() const { return m_settled_at != instant(0); }
  /// Ends the settling time after a restore.
  void tick(instant now);

  const std::set<std::string>& out() const { return m_out; }
  store_position position() const { return m_position; }
  /// The marks in the store, without those that are only kept while settling.
  const mark_versions& in_store() const { return m_in_store; }

private:
  using seen_versions = std::map<std::string, std::set<std::uint64_t>>;

  void record_version(const std::string& data_centre, std::uint64_t version);
  /// Whether a row was written or removed after the restore. A row of the copy
  /// has a version that was seen before the restore.
  bool is_written_again(const std::string& data_centre) const;
  void update();

  store_position m_position;
  mark_versions m_in_store;
  /// The versions that each mark has had on this timeline, the last few.
  seen_versions m_seen;
  /// Those on the previous timeline, and the marks that were in force on it.
  /// Empty unless settling.
  seen_versions m_previously_seen;
  std::set<std::string> m_previously_out;
  /// Marks with a change since the restore; empty unless settling.
  std::set<std::string> m_changed;
  std::set<std::string> m_out;
  instant m_settled_at{0};
};

} // namespace kingcupslip

#endif
