// Compare-and-set of a configuration change, with recognition by operation.
#include "kingcupslip/core/config_writer.hpp"

#include <utility>

namespace kingcupslip {

namespace {

constexpr std::uint32_t most_tries = 25;

} // namespace

config_write::config_write(table_hooks table, change_request request,
                           write_handler handler)
    : m_table(std::move(table)), m_request(std::move(request)),
      m_handler(std::move(handler)) {}

void config_write::start() { look_for_operation(); }

void config_write::read_row(const std::string& key,
                            std::function<void(const table_row* row)> next) {
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.read({key, "", 1},
               [self, key, next](table_status status,
                                 const std::vector<table_row>& rows) {
                 if (status != table_status::ok) {
                   self->again(true);
                   return;
                 }
                 // A prefix read may return a longer key instead.
                 const bool there = !rows.empty() && rows.front().key == key;
                 next(there ? &rows.front() : nullptr);
               });
}

void config_write::look_for_operation() {
  // A row per operation tells whether it took effect, also when its answer
  // was lost and the item has been overwritten since.
  read_row(config_operation_key(m_request.operation),
           [this](const table_row* row) {
             if (row != nullptr) {
               finish(write_status::accepted, parse_head(row->value));
               return;
             }
             read_head();
           });
}

void config_write::read_head() {
  read_row(std::string(config_head_key), [this](const table_row* row) {
    m_sequence = (row == nullptr ? 0 : parse_head(row->value)) + 1;
    read_item(row == nullptr ? 0 : row->version);
  });
}

void config_write::read_item(std::uint64_t head_version) {
  read_row(config_item_key(m_request.key),
           [this, head_version](const table_row* row) {
             decide(head_version, row);
           });
}

void config_write::decide(std::uint64_t head_version, const table_row* item) {
  const config_change now =
      item == nullptr ? config_change{} : parse_change(item->value);
  const bool moved = m_request.expected_sequence &&
                     *m_request.expected_sequence != now.item.sequence;
  if (moved) {
    finish(write_status::conflict, 0, now.item);
    return;
  }
  trim_log(head_version, item == nullptr ? 0 : item->version);
}

void config_write::trim_log(std::uint64_t head_version,
                            std::uint64_t item_version) {
  if (m_sequence <= config_log_length) {
    write(head_version, item_version, {});
    return;
  }
  read_row(config_log_key(m_sequence - config_log_length),
           [this, head_version, item_version](const table_row* old) {
             table_transaction trimmed;
             if (old != nullptr) {
               trimmed.push_back({old->key, old->version, std::nullopt, false});
               // Written in the same transaction, so of the same version.
               trimmed.push_back(
                   {config_operation_key(parse_change(old->value).operation),
                    old->version, std::nullopt, false});
             }
             write(head_version, item_version, trimmed);
           });
}

void config_write::write(std::uint64_t head_version, std::uint64_t item_version,
                         const table_transaction& trimmed) {
  const config_change c{{m_request.key, m_request.value, m_sequence},
                        m_request.operation};
  const std::string text = to_json(c);
  const std::string head = head_to_json(m_sequence);
  table_transaction writes = trimmed;
  writes.push_back({std::string(config_head_key), head_version, head, false});
  writes.push_back({config_item_key(m_request.key), item_version, text, false});
  writes.push_back({config_log_key(m_sequence), 0, text, false});
  writes.push_back({config_operation_key(m_request.operation), 0, head, false});
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.commit(std::move(writes), [self](table_status status, std::uint64_t) {
    if (status == table_status::ok) {
      self->finish(write_status::accepted, self->m_sequence);
      return;
    }
    self->again(status != table_status::conflict);
  });
}

void config_write::again(bool counts) {
  // A conflict on the head means that another change went through, so the
  // loop as a whole makes progress; outages are what tries are counted for.
  m_tries += counts ? 5 : 1;
  if (m_tries >= most_tries) {
    finish(write_status::unavailable, 0);
    return;
  }
  look_for_operation();
}

void config_write::finish(write_status status, std::uint64_t sequence,
                          config_item current) {
  const write_handler handler = std::exchange(m_handler, nullptr);
  if (handler) {
    handler(write_result{status, sequence, std::move(current)});
  }
}

} // namespace kingcupslip
