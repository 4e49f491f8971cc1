// Contracts are written in YAML; the administration API takes JSON.
#ifndef KINGCUPSLIP_CLI_YAML_TO_JSON_HPP
#define KINGCUPSLIP_CLI_YAML_TO_JSON_HPP

#include <optional>
#include <string>

namespace kingcupslip {

/// The document as JSON; nothing where it is not YAML, with the place of
/// the fault in `fault`.
std::optional<std::string> yaml_to_json(const std::string& yaml_text,
                                        std::string& error_message);

} // namespace kingcupslip

#endif
