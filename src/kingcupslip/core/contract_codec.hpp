// Contracts as JSON. Validation reports every error, not only the first.
#ifndef KINGCUPSLIP_CORE_CONTRACT_CODEC_HPP
#define KINGCUPSLIP_CORE_CONTRACT_CODEC_HPP

#include "kingcupslip/core/contract.hpp"

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

/// One error in a document that an operator wrote.
struct document_error {
  std::string key;      ///< path of the field, such as `routes[2].priority`
  std::string expected; ///< description of a valid value
};

using document_errors = std::vector<document_error>;

using contract_result =
    boost::outcome_v2::result<contract, document_errors,
                              boost::outcome_v2::policy::terminate>;

/// Parses and validates a contract. Unknown keys are errors.
contract_result parse_contract(std::string_view json_text);

/// Returns the contract as a JSON object that `parse_contract` accepts.
std::string to_json(const contract& c);

/// Whether `name` is a valid name of a team, vm, data_centre or service.
bool is_valid_name(std::string_view name);

} // namespace kingcupslip

#endif
