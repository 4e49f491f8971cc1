// Writes one configuration change to the table durably and exactly once.
#ifndef KINGCUPSLIP_CORE_CONFIG_WRITER_HPP
#define KINGCUPSLIP_CORE_CONFIG_WRITER_HPP

#include "kingcupslip/core/config_rows.hpp"
#include "kingcupslip/core/table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupslip {

enum class write_status : std::uint8_t {
  accepted,   ///< durable; `sequence` is its position in the log
  conflict,   ///< the item has changed; nothing was written
  unavailable ///< may have been written; retry with the same operation id
};

struct write_result {
  write_status status = write_status::unavailable;
  std::uint64_t sequence = 0;
  /// The item as stored now; set only with `conflict`.
  config_item current;
};

using write_handler = std::function<void(const write_result&)>;

/// A change of one item. Repeating it with the same operation id does not apply
/// it twice while the log still holds the operation.
struct change_request {
  std::string key;
  std::string value;
  std::string operation;
  /// If set, the change is written only while the item has this sequence; 0
  /// means that the item must not exist.
  std::optional<std::uint64_t> expected_sequence;
};

/// Writes one change, with retries. Keeps itself alive until the handler has
/// run.
class config_writer : public std::enable_shared_from_this<config_writer> {
public:
  config_writer(table_hooks table, change_request request,
                write_handler handler);
  void start();

private:
  /// Reads the row with exactly this key and passes it to `next`, null if it is
  /// absent. Retries from the start if the read fails.
  void read_row(const std::string& key,
                std::function<void(const table_row* row)> next);
  void read_operation();
  void read_head();
  void read_item(std::uint64_t head_version);
  void check_expected_sequence(std::uint64_t head_version,
                               const table_row* item);
  void trim_log(std::uint64_t head_version, std::uint64_t item_version);
  void write(std::uint64_t head_version, std::uint64_t item_version,
             const table_transaction& trim_writes);
  void retry(bool outage);
  void finish(write_status status, std::uint64_t sequence,
              config_item current = {});

  table_hooks m_table;
  change_request m_request;
  write_handler m_handler;
  std::uint64_t m_sequence = 0; ///< of the change being written
  std::uint32_t m_retry_cost = 0;
};

} // namespace kingcupslip

#endif
