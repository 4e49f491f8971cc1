// Layout of the configuration in the table: a head row, a row per item, a log
// of changes, and a row per operation.
#ifndef KINGCUPSLIP_CORE_CONFIG_ROWS_HPP
#define KINGCUPSLIP_CORE_CONFIG_ROWS_HPP

#include "kingcupslip/core/configuration.hpp"
#include "kingcupslip/core/table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// Row keys. `config/head` holds the sequence of the last change,
/// `config/item/KEY` an item, `config/log/SEQUENCE` the change with that
/// sequence, and `config/op/OPERATION` the sequence of an operation that is
/// still in the log.
constexpr std::string_view config_head_key = "config/head";
constexpr std::string_view config_item_prefix = "config/item/";
constexpr std::string_view config_log_prefix = "config/log/";
constexpr std::string_view config_operation_prefix = "config/op/";

/// Number of changes kept in the log. A node that is further behind reads all
/// items instead.
constexpr std::uint64_t config_log_length = 10'000;

/// An item and the id of the operation that wrote it: the value of an item row
/// and of a log row.
struct config_change {
  config_item item;
  std::string operation;
};

std::string to_json(const config_change& c);
/// Returns an empty change if the text is not a JSON object.
config_change parse_change(std::string_view json_text);

std::string config_log_key(std::uint64_t sequence);
std::string config_operation_key(const std::string& operation);
std::string config_item_key(const std::string& key);

std::string head_to_json(std::uint64_t sequence);
/// Returns 0 if the text is not a JSON object.
std::uint64_t parse_head(std::string_view json_text);

} // namespace kingcupslip

#endif
