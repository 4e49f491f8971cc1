// Applies configuration items and looks up contracts, keys and marks.
#include "kingcupslip/core/configuration.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/core/json_field.hpp"
#include "kingcupslip/core/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::string_view contract_prefix = "contract/";
constexpr std::string_view key_prefix = "key/";
constexpr std::string_view out_data_centre_prefix = "out/data-centre/";
constexpr std::string_view out_target_prefix = "out/target/";

void set_mark(std::set<std::string>& marks, std::string_view name, bool out) {
  if (out) {
    marks.emplace(name);
  } else {
    marks.erase(std::string(name));
  }
}

} // namespace

bool configuration::apply(const std::vector<config_item>& items,
                          std::uint64_t since, std::uint64_t through) {
  if (since > m_sequence) {
    return false;
  }
  for (const config_item& it : items) {
    const auto known_it = m_items.find(it.key);
    const bool newer =
        known_it == m_items.end() || known_it->second.sequence < it.sequence;
    if (newer) {
      m_items[it.key] = it;
      apply_item(it);
    }
  }
  m_sequence = std::max(m_sequence, through);
  return true;
}

std::vector<config_item> configuration::items_after(std::uint64_t since) const {
  std::vector<config_item> out;
  for (const std::pair<const std::string, config_item>& it : m_items) {
    if (it.second.sequence > since) {
      out.push_back(it.second);
    }
  }
  return out;
}

const config_item* configuration::find(const std::string& key) const {
  const auto it = m_items.find(key);
  return it == m_items.end() ? nullptr : &it->second;
}

const contract* configuration::find_contract(const std::string& team) const {
  const auto it = m_contracts.find(team);
  return it == m_contracts.end() ? nullptr : &it->second;
}

const api_key* configuration::find_key(std::string_view secret) const {
  // The timing of a lookup by hash reveals nothing about the secret; the full
  // hashes are compared in constant time all the same.
  const std::string hash = sha256_hex(secret);
  const auto it = m_keys_by_hash.find(hash);
  if (it == m_keys_by_hash.end() ||
      !equal_in_constant_time(it->second.secret_hash, hash)) {
    return nullptr;
  }
  return &it->second;
}

bool configuration::key_withdrawn(const std::string& id) const {
  const auto it = m_hash_by_id.find(id);
  return it != m_hash_by_id.end() && m_keys_by_hash.at(it->second).withdrawn;
}

std::vector<api_key> configuration::keys() const {
  std::vector<api_key> out;
  for (const std::pair<const std::string, api_key>& it : m_keys_by_hash) {
    out.push_back(it.second);
  }
  std::sort(out.begin(), out.end(),
            [](const api_key& a, const api_key& b) { return a.id < b.id; });
  return out;
}

bool configuration::has_service(const std::string& service) const {
  return m_services.count(service) != 0;
}

const contract*
configuration::find_open_contract(const std::string& service,
                                  const std::string& path) const {
  for (const std::pair<const std::string, contract>& it : m_contracts) {
    const contract_route* r = it.second.find_route(service, path);
    if (r != nullptr && r->open) {
      return &it.second;
    }
  }
  return nullptr;
}

std::vector<std::string> configuration::take_withdrawn_keys() {
  return std::exchange(m_newly_withdrawn, {});
}

void configuration::apply_item(const config_item& item) {
  const std::string_view key = item.key;
  if (starts_with(key, contract_prefix)) {
    contract_result parsed = parse_contract(item.value);
    if (parsed.has_value()) {
      m_contracts[parsed.value().team] = std::move(parsed.value());
      m_services.clear();
      for (const std::pair<const std::string, contract>& it : m_contracts) {
        for (const contract_route& r : it.second.routes) {
          m_services.insert(r.service);
        }
      }
    }
  } else if (starts_with(key, key_prefix)) {
    apply_key(item);
  } else {
    const json value = json::parse(item.value, nullptr, false);
    const bool out = bool_field(value, "out");
    if (starts_with(key, out_data_centre_prefix)) {
      set_mark(m_data_centres_out, key.substr(out_data_centre_prefix.size()),
               out);
    } else if (starts_with(key, out_target_prefix)) {
      set_mark(m_targets_out, key.substr(out_target_prefix.size()), out);
    }
  }
}

void configuration::apply_key(const config_item& item) {
  const json value = json::parse(item.value, nullptr, false);
  if (!value.is_object()) {
    return;
  }
  api_key k;
  k.id = item.key.substr(key_prefix.size());
  k.team = text_field(value, "team");
  k.secret_hash = text_field(value, "secret_hash");
  k.withdrawn = bool_field(value, "withdrawn");
  if (k.withdrawn) {
    m_newly_withdrawn.push_back(k.id);
  }
  m_hash_by_id[k.id] = k.secret_hash;
  m_keys_by_hash[k.secret_hash] = k;
}

} // namespace kingcupslip
