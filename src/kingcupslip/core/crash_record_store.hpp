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

  /// Writes a record of this node; repeated until it is in the table or has
  /// expired.
  void write(const crash_record& r);
  /// Writes the record again if it is one of this node's.
  void on_shrink(const crash_record& r);

  /// The table was restored from an older copy, which may lack records: writes
  /// this node's records again and reads the others.
  void on_table_restored();

private:
  duration read_interval() const;
  void read();
  void on_rows(const std::vector<table_row>& rows);
  void write_next();
  void write(std::uint64_t id);
  /// Reads the version of a row that an attempt of unknown outcome may have
  /// written.
  void read_version(std::uint64_t id);
  void forget_expired();
  void remove_expired(const std::vector<table_row>& rows);

  dependencies m_dependencies;
  const clock_reading& m_clock;
  struct own_row {
    crash_record record;
    std::uint64_t version = 0; ///< in the table; 0: not there
    bool written = false;      ///< as `record` is now
    bool version_known = true;
  };

  std::map<std::uint64_t, own_row> m_own; ///< by id
  bool m_read_pending = false;
  bool m_write_pending = false;
  bool m_read_once = false;
  instant m_last_read_at{0};
  instant m_next_write_at{0};
  instant m_next_rewrite_at{0};
};

} // namespace kingcupslip

#endif
