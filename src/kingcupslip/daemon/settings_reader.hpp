// Reads the maps of a settings file and collects their errors.
#ifndef KINGCUPSLIP_DAEMON_SETTINGS_READER_HPP
#define KINGCUPSLIP_DAEMON_SETTINGS_READER_HPP

#include "kingcupslip/daemon/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcupslip {

/// Parses "IP:PORT"; null if it is malformed or the port is 0.
std::optional<listen_address> parse_address(const std::string& text);

/// Parses the file's top-level map; if that fails, adds an error and returns
/// null.
std::optional<YAML::Node> load_settings_map(const std::string& yaml_text,
                                            settings_errors& errors);

/// Sorts errors by line and key, the order in which they are reported.
void sort_errors(settings_errors& errors);

/// Reads one map of the file. Each accessor adds an error if the key's value
/// is not valid, and marks the key as known. An absent optional key has the
/// value `fallback`.
class map_reader {
public:
  map_reader(const YAML::Node& node, std::string key_prefix,
             settings_errors& errors);

  /// The key's value; an undefined node if it is absent.
  YAML::Node child(const std::string& key);
  std::string text(const std::string& key, bool required,
                   const std::string& expected = "a text");
  /// A name of a node, service or data centre.
  std::string name(const std::string& key);
  std::string secret(const std::string& key);
  listen_address address(const std::string& key);
  /// A URL without a path; its host is an IP address.
  listen_address http_url(const std::string& key);
  std::int64_t integer(const std::string& key, std::int64_t fallback,
                       std::int64_t min_value, std::int64_t max_value);
  /// Seconds, which may have fractions, as milliseconds.
  std::chrono::milliseconds seconds(const std::string& key,
                                    std::chrono::milliseconds fallback);
  double non_negative_number(const std::string& key, double fallback);

  /// The index of the key's value in `names`; 0 if it is absent or not valid.
  std::size_t choice(const std::string& key,
                     const std::vector<std::string>& names);

  void add_error(const std::string& key, const YAML::Node& n,
                 const std::string& expected);
  /// Adds an error for each key that no accessor has read.
  void reject_unknown_keys();

private:
  YAML::Node m_node;
  std::string m_key_prefix;
  settings_errors& m_errors;
  std::set<std::string> m_known_keys;
};

} // namespace kingcupslip

#endif
