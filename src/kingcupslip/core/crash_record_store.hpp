// Keeps crash records in the table.
#ifndef KINGCUPSLIP_CORE_CRASH_RECORD_STORE_HPP
#define KINGCUPSLIP_CORE_CRASH_RECORD_STORE_HPP

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/quarantine.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Writes the crashes of this node's target to the table and reads those of
/// others, so that they outlive the processes that saw them and reach nodes
/// that gossip does not. Reads at the start, and again and again while members
/// are out of reach.
class crash_record_store {
public:
  struct dependencies {
    table_hooks table;
    quarantine& records;
    const member_table& members;
    event_sink log;
  };

  crash_record_store(dependencies d, const clock_reading& clock);

  void tick();

  /// Writes a record; repeated until it is in the table or has expired.
  void write(const crash_record& r);

  /// The table was restored from an older copy, which may lack records: writes
  /// this node's records again and reads the others.
  void on_table_restored();

private:
  duration read_interval() const;
  void read();
  void on_rows(const std::vector<table_row>& rows);
  void write_next();
  void forget_expired();
  void remove_expired(const std::vector<table_row>& rows);

  dependencies m_dependencies;
  const clock_reading& m_clock;
  std::map<std::uint64_t, crash_record> m_own;       ///< by id
  std::map<std::uint64_t, crash_record> m_unwritten; ///< of m_own
  bool m_read_pending = false;
  bool m_write_pending = false;
  bool m_read_once = false;
  instant m_last_read_at{0};
  instant m_next_write_at{0};
};

} // namespace kingcupslip

#endif
