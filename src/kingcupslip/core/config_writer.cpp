// Writes a configuration change by compare-and-set; operation ids make repeated
// writes idempotent.
#include "kingcupslip/core/config_writer.hpp"

#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t max_retry_cost = 25;

} // namespace

config_writer::config_writer(table_hooks table, change_request request,
                             write_handler handler)
    : m_table(std::move(table)), m_request(std::move(request)),
      m_handler(std::move(handler)) {}

void config_writer::start() { read_operation(); }

void config_writer::read_row(const std::string& key,
                             std::function<void(const table_row* row)> next) {
  const std::shared_ptr<config_writer> self = shared_from_this();
  m_table.read({key, "", 1},
               [self, key, next](table_status status,
                                 const std::vector<table_row>& rows) {
                 if (status != table_status::ok) {
                   self->retry(true);
                   return;
                 }
                 // The read matches by prefix and may return a longer key.
                 const bool found = !rows.empty() && rows.front().key == key;
                 next(found ? &rows.front() : nullptr);
               });
}

void config_writer::read_operation() {
  // The operation's row shows whether it took effect, even if the answer was
  // lost and the item has been overwritten since.
  read_row(config_operation_key(m_request.operation),
           [this](const table_row* row) {
             if (row != nullptr) {
               finish(write_status::accepted, parse_head(row->value));
               return;
             }
             read_head();
           });
}

void config_writer::read_head() {
  read_row(std::string(config_head_key), [this](const table_row* row) {
    m_sequence = (row == nullptr ? 0 : parse_head(row->value)) + 1;
    read_item(row == nullptr ? 0 : row->version);
  });
}

void config_writer::read_item(std::uint64_t head_version) {
  read_row(config_item_key(m_request.key),
           [this, head_version](const table_row* row) {
             check_expected_sequence(head_version, row);
           });
}

void config_writer::check_expected_sequence(std::uint64_t head_version,
                                            const table_row* item) {
  const config_change current =
      item == nullptr ? config_change{} : parse_change(item->value);
  const bool sequence_changed =
      m_request.expected_sequence &&
      *m_request.expected_sequence != current.item.sequence;
  if (sequence_changed) {
    finish(write_status::conflict, 0, current.item);
    return;
  }
  trim_log(head_version, item == nullptr ? 0 : item->version);
}

void config_writer::trim_log(std::uint64_t head_version,
                             std::uint64_t item_version) {
  if (m_sequence <= config_log_length) {
    write(head_version, item_version, {});
    return;
  }
  read_row(config_log_key(m_sequence - config_log_length),
           [this, head_version, item_version](const table_row* oldest) {
             table_transaction trim_writes;
             if (oldest != nullptr) {
               trim_writes.push_back(
                   {oldest->key, oldest->version, std::nullopt, false});
               // Both rows were written in one transaction and have the same
               // version.
               trim_writes.push_back(
                   {config_operation_key(parse_change(oldest->value).operation),
                    oldest->version, std::nullopt, false});
             }
             write(head_version, item_version, trim_writes);
           });
}

void config_writer::write(std::uint64_t head_version,
                          std::uint64_t item_version,
                          const table_transaction& trim_writes) {
  const config_change c{{m_request.key, m_request.value, m_sequence},
                        m_request.operation};
  const std::string text = to_json(c);
  const std::string head = head_to_json(m_sequence);
  table_transaction writes = trim_writes;
  writes.push_back({std::string(config_head_key), head_version, head, false});
  writes.push_back({config_item_key(m_request.key), item_version, text, false});
  writes.push_back({config_log_key(m_sequence), 0, text, false});
  writes.push_back({config_operation_key(m_request.operation), 0, head, false});
  const std::shared_ptr<config_writer> self = shared_from_this();
  m_table.commit(std::move(writes), [self](table_status status, std::uint64_t) {
    if (status == table_status::ok) {
      self->finish(write_status::accepted, self->m_sequence);
      return;
    }
    self->retry(status != table_status::conflict);
  });
}

void config_writer::retry(bool outage) {
  // A conflict on the head means that another change was accepted, so the
  // system makes progress and the retry costs 1. Outages cost 5.
  m_retry_cost += outage ? 5 : 1;
  if (m_retry_cost >= max_retry_cost) {
    finish(write_status::unavailable, 0);
    return;
  }
  read_operation();
}

void config_writer::finish(write_status status, std::uint64_t sequence,
                           config_item current) {
  const write_handler handler = std::exchange(m_handler, nullptr);
  if (handler) {
    handler(write_result{status, sequence, std::move(current)});
  }
}

} // namespace kingcupslip
