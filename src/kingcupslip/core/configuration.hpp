// The configuration in force at a node: contracts, API keys, and the data
// centres and targets marked out of service.
#ifndef KINGCUPSLIP_CORE_CONFIGURATION_HPP
#define KINGCUPSLIP_CORE_CONFIGURATION_HPP

#include "kingcupslip/core/contract.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcupslip {

/// One configuration item as stored in the table. Keys are `contract/TEAM`,
/// `key/ID`, `out/data-centre/NAME` and `out/target/NODE`.
struct config_item {
  std::string key;
  std::string value; ///< JSON
  std::uint64_t sequence = 0;
};

/// An API key. Only the hash of its secret is stored.
struct api_key {
  std::string id;
  std::string team;
  std::string secret_hash; ///< SHA-256, hexadecimal
  bool withdrawn = false;
};

/// Holds the configuration items of this node and the contracts, keys and marks
/// parsed from them.
///
/// Invariants: `sequence()` never decreases; an item is replaced only by one
/// with a higher sequence, so neither a stale peer nor a stale read of the
/// table can restore an older version.
class configuration {
public:
  /// Applies `items`, which contain every change after sequence `since` up to
  /// `through`. Returns false and applies nothing if `since` is later than
  /// `sequence()`, because changes would be missing.
  bool apply(const std::vector<config_item>& items, std::uint64_t since,
             std::uint64_t through);

  std::uint64_t sequence() const { return m_sequence; }

  /// Items whose last change has a sequence above `since`.
  std::vector<config_item> items_after(std::uint64_t since) const;
  const config_item* find(const std::string& key) const;

  const contract* find_contract(const std::string& team) const;
  const std::map<std::string, contract>& contracts() const {
    return m_contracts;
  }

  /// The API key with this secret, withdrawn or not; null if there is none.
  const api_key* find_key(std::string_view secret) const;
  bool key_withdrawn(const std::string& id) const;
  std::vector<api_key> keys() const;

  bool data_centre_out_of_service(const std::string& name) const {
    return m_data_centres_out.count(name) != 0;
  }
  bool target_out_of_service(const std::string& node) const {
    return m_targets_out.count(node) != 0;
  }

  /// Whether a contract has a route to the service.
  bool has_service(const std::string& service) const;

  /// The contract with a route that serves this path without a key; null if
  /// there is none.
  const contract* find_open_contract(const std::string& service,
                                     const std::string& path) const;

  /// Ids of the keys withdrawn since the last call, so that their queued
  /// requests can be refused.
  std::vector<std::string> take_withdrawn_keys();

private:
  void apply_item(const config_item& item);
  void apply_key(const config_item& item);

  std::uint64_t m_sequence = 0;
  std::map<std::string, config_item> m_items;
  std::map<std::string, contract> m_contracts;
  std::unordered_map<std::string, api_key> m_keys_by_hash;
  std::unordered_map<std::string, std::string> m_hash_by_id;
  std::set<std::string> m_services;
  std::set<std::string> m_data_centres_out;
  std::set<std::string> m_targets_out;
  std::vector<std::string> m_newly_withdrawn;
};

} // namespace kingcupslip

#endif
