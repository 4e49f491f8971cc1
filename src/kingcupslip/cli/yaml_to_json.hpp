// Converts contracts, which are written in YAML, to the administration API's
// JSON.
#ifndef KINGCUPSLIP_CLI_YAML_TO_JSON_HPP
#define KINGCUPSLIP_CLI_YAML_TO_JSON_HPP

#include <optional>
#include <string>

namespace kingcupslip {

/// Converts a YAML document to JSON. If the text is not valid YAML, returns
/// null and sets `error_message`, which names the line.
std::optional<std::string> yaml_to_json(const std::string& yaml_text,
                                        std::string& error_message);

} // namespace kingcupslip

#endif
