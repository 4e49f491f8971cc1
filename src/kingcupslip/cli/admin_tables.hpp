// Answers of the administration API as tables.
#ifndef KINGCUPSLIP_CLI_ADMIN_TABLES_HPP
#define KINGCUPSLIP_CLI_ADMIN_TABLES_HPP

#include <string>

namespace kingcupslip {

/// The closing report: per team and route what was asked, what ran, what
/// was refused and why, and which nodes could not be asked.
std::string report_as_table(const std::string& json_text);

/// Members with their state, and where the configuration is in force.
std::string status_as_table(const std::string& json_text);

/// Contracts, one line each.
std::string contracts_as_table(const std::string& json_text);

/// Keys, one line each; secrets are not known.
std::string keys_as_table(const std::string& json_text);

/// Any other answer: one line per field.
std::string fields_as_table(const std::string& json_text);

} // namespace kingcupslip

#endif
