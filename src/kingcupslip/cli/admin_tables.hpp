// Renders responses of the administration API as tables.
#ifndef KINGCUPSLIP_CLI_ADMIN_TABLES_HPP
#define KINGCUPSLIP_CLI_ADMIN_TABLES_HPP

#include <string>

namespace kingcupslip {

/// The closing report: per team and route, how many requests were received,
/// ran and were refused, with the reasons, and which nodes did not respond.
std::string report_as_table(const std::string& json_text);

/// Members with their state and the configuration sequence that each applies.
std::string status_as_table(const std::string& json_text);

/// Contracts, one per line.
std::string contracts_as_table(const std::string& json_text);

/// Keys, one per line. Nodes do not store the secrets.
std::string keys_as_table(const std::string& json_text);

/// Where a request would go: the route, and each target with its load or the
/// reason why it is left out.
std::string route_as_table(const std::string& json_text);

/// Any other response: one line per field.
std::string fields_as_table(const std::string& json_text);

} // namespace kingcupslip

#endif
