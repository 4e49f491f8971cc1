// Configuration as rows of the table: a head, items, and a log of changes.
#ifndef KINGCUPSLIP_CORE_CONFIG_ROWS_HPP
#define KINGCUPSLIP_CORE_CONFIG_ROWS_HPP

#include "kingcupslip/core/configuration.hpp"
#include "kingcupslip/core/table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// `config/head` holds the sequence of the last change, `config/item/KEY`
/// each item, `config/log/SEQUENCE` the changes in order, and
/// `config/op/OPERATION` the sequence of each operation in the log.
constexpr std::string_view config_head_key = "config/head";
constexpr std::string_view config_item_prefix = "config/item/";
constexpr std::string_view config_log_prefix = "config/log/";
constexpr std::string_view config_operation_prefix = "config/op/";

/// Changes kept in the log; readers further behind read all items.
constexpr std::uint64_t config_log_length = 10'000;

/// An item with the operation that wrote it, as rows carry it.
struct config_change {
  config_item item;
  std::string operation;
};

std::string to_json(const config_change& c);
config_change parse_change(std::string_view json_text);

std::string config_log_key(std::uint64_t sequence);
std::string config_operation_key(const std::string& operation);
std::string config_item_key(const std::string& key);

std::string head_to_json(std::uint64_t sequence);
std::uint64_t parse_head(std::string_view json_text);

} // namespace kingcupslip

#endif
