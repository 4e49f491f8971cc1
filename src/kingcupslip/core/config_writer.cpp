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

void config_write::start() { read_head(); }

void config_write::read_head() {
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.read({std::string(config_head_key), "", 1},
               [self](table_status status, const std::vector<table_row>& rows) {
                 if (status != table_status::ok) {
                   self->again(true);
                   return;
                 }
                 const bool there = !rows.empty();
                 const std::uint64_t last =
                     there ? parse_head(rows.front().value) : 0;
                 const bool lost_before = self->m_unsettled;
                 if (lost_before && last >= self->m_sequence) {
                   self->check_log();
                   return;
                 }
                 self->m_unsettled = false;
                 self->m_sequence = last + 1;
                 self->read_item(there ? rows.front().version : 0);
               });
}

void config_write::check_log() {
  // The log names the operation of each sequence, also after the item has
  // been overwritten by a later change.
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.read({config_log_key(m_sequence), "", 1},
               [self](table_status status, const std::vector<table_row>& rows) {
                 if (status != table_status::ok || rows.empty()) {
                   self->again(true);
                   return;
                 }
                 const config_change c = parse_change(rows.front().value);
                 if (c.operation == self->m_request.operation) {
                   self->finish(write_status::accepted, c.item.sequence);
                   return;
                 }
                 self->m_unsettled = false;
                 self->again(false);
               });
}

void config_write::read_item(std::uint64_t head_version) {
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.read({config_item_key(m_request.key), "", 1},
               [self, head_version](table_status status,
                                    const std::vector<table_row>& rows) {
                 if (status != table_status::ok) {
                   self->again(true);
                   return;
                 }
                 self->decide(head_version, rows);
               });
}

void config_write::decide(std::uint64_t head_version,
                          const std::vector<table_row>& rows) {
  // A prefix read may return the next key instead of the one asked for.
  const bool there =
      !rows.empty() && rows.front().key == config_item_key(m_request.key);
  const config_change now =
      there ? parse_change(rows.front().value) : config_change{};
  if (there && now.operation == m_request.operation) {
    finish(write_status::accepted, now.item.sequence);
    return;
  }
  const bool moved = m_request.expected_sequence &&
                     *m_request.expected_sequence != now.item.sequence;
  if (moved) {
    finish(write_status::conflict, 0, now.item);
    return;
  }
  write(head_version, there ? rows.front().version : 0);
}

void config_write::write(std::uint64_t head_version,
                         std::uint64_t item_version) {
  const config_change c{{m_request.key, m_request.value, m_sequence},
                        m_request.operation};
  const std::string text = to_json(c);
  table_transaction writes{
      {std::string(config_head_key), head_version, head_to_json(m_sequence),
       false},
      {config_item_key(m_request.key), item_version, text, false},
      {config_log_key(m_sequence), 0, text, false}};
  const std::shared_ptr<config_write> self = shared_from_this();
  m_table.commit(std::move(writes), [self](table_status status, std::uint64_t) {
    if (status == table_status::ok) {
      self->finish(write_status::accepted, self->m_sequence);
      return;
    }
    self->m_unsettled = status == table_status::unknown;
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
  read_head();
}

void config_write::finish(write_status status, std::uint64_t sequence,
                          config_item current) {
  const write_handler handler = std::exchange(m_handler, nullptr);
  if (handler) {
    handler(write_result{status, sequence, std::move(current)});
  }
}

} // namespace kingcupslip
