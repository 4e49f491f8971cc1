// Stand-in for the platform's table: rows in memory, with transactions.
#ifndef KINGCUPSLIP_TESTS_TABLE_STORE_HPP
#define KINGCUPSLIP_TESTS_TABLE_STORE_HPP

#include "kingcupslip/core/table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Keeps versioned rows in the order of their keys.
class table_store {
public:
  std::vector<table_row> read(const table_query& q) const {
    std::vector<table_row> out;
    const std::string from = q.after.empty() ? q.prefix : q.after;
    for (auto it = q.after.empty() ? m_rows.lower_bound(from)
                                   : m_rows.upper_bound(from);
         it != m_rows.end() && out.size() < q.row_limit; ++it) {
      if (it->first.compare(0, q.prefix.size(), q.prefix) != 0) {
        break;
      }
      out.push_back(it->second);
    }
    return out;
  }

  /// Writes all rows or none. Sets `version` to the version of the rows
  /// written.
  table_status commit(const table_transaction& writes, std::uint64_t& version) {
    for (const table_write& it : writes) {
      const auto row_it = m_rows.find(it.key);
      const std::uint64_t current_version =
          row_it == m_rows.end() ? 0 : row_it->second.version;
      if (current_version != it.expected_version) {
        return table_status::conflict;
      }
    }
    version = ++m_version;
    for (const table_write& it : writes) {
      if (it.check_only) {
        continue;
      }
      if (it.value) {
        m_rows[it.key] = {it.key, *it.value, version};
      } else {
        m_rows.erase(it.key);
      }
    }
    return table_status::ok;
  }

private:
  std::map<std::string, table_row> m_rows;
  std::uint64_t m_version = 0;
};

} // namespace kingcupslip

#endif
