// The configuration in force at a node: contracts, keys and out marks.
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

/// One row of configuration, as the table holds it. Keys are
/// `contract/TEAM`, `key/ID`, `out/data-centre/NAME`, `out/target/NODE`.
struct config_item {
  std::string key;
  std::string value; ///< JSON
  std::uint64_t sequence = 0;
};

/// What a node knows of an API key. Only the secret's hash is kept.
struct api_key {
  std::string id;
  std::string team;
  std::string secret_hash; ///< SHA-256, hexadecimal
  bool withdrawn = false;
};

/// Invariants: `sequence()` never falls; an item is replaced only by one of
/// a higher sequence, so neither a stale peer nor a lagging read can bring
/// an older version back.
class configuration {
public:
  /// Takes items that are complete from sequence `since` up to `through`.
  /// Items that leave a gap are refused: returns false where `since` is
  /// later than what is held.
  bool apply(const std::vector<config_item>& items, std::uint64_t since,
             std::uint64_t through);

  std::uint64_t sequence() const { return m_sequence; }

  /// Items changed after `since`.
  std::vector<config_item> items_after(std::uint64_t since) const;
  const config_item* find(const std::string& key) const;

  const contract* find_contract(const std::string& team) const;
  const std::map<std::string, contract>& contracts() const {
    return m_contracts;
  }

  /// The key whose secret this is, withdrawn or not; null if none.
  const api_key* find_key(std::string_view secret) const;
  bool key_withdrawn(const std::string& id) const;
  std::vector<api_key> keys() const;

  bool data_centre_out_of_service(const std::string& name) const {
    return m_data_centres_out.count(name) != 0;
  }
  bool target_out_of_service(const std::string& node) const {
    return m_targets_out.count(node) != 0;
  }

  /// Whether any contract names the service.
  bool has_service(const std::string& service) const;

  /// The contract and route that serve this path without a key.
  const contract* find_open_contract(const std::string& service,
                                     const std::string& path) const;

  /// Keys withdrawn since the last call; for work that is still queued.
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
