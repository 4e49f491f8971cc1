// Contracts as JSON, checked whole: every fault is named, not just the first.
#ifndef KINGCUPSLIP_CORE_CONTRACT_CODEC_HPP
#define KINGCUPSLIP_CORE_CONTRACT_CODEC_HPP

#include "kingcupslip/core/contract.hpp"

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupslip {

/// One fault in a document an operator wrote.
struct document_error {
  std::string key;      ///< where, as in `routes[2].priority`
  std::string expected; ///< what would have been right
};

using document_errors = std::vector<document_error>;

using contract_result =
    boost::outcome_v2::result<contract, document_errors,
                              boost::outcome_v2::policy::terminate>;

/// Parses and checks a contract. Unknown keys are faults.
contract_result parse_contract(std::string_view json_text);

/// The contract as one JSON object that `parse_contract` accepts.
std::string to_json(const contract& c);

/// Whether `name` may name a team, vm, data_centre or service.
bool is_valid_name(std::string_view name);

} // namespace kingcupslip

#endif
