// Reads the maps of a settings file and collects what is wrong with them.
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

/// "IP:PORT" with a port other than 0.
std::optional<listen_address> parse_address(const std::string& text);

/// The file's outermost map; a fault, and nothing, where it is not one.
std::optional<YAML::Node> load_settings_map(const std::string& yaml_text,
                                            settings_errors& errors);

/// In order of line and key, as reports show them.
void sort_errors(settings_errors& errors);

/// Reads one map of the file; remembers which keys were asked for.
class map_reader {
public:
  map_reader(const YAML::Node& node, std::string key_prefix,
             settings_errors& errors);

  YAML::Node child(const std::string& key);
  std::string text(const std::string& key, bool required,
                   const std::string& expected = "a text");
  std::string name(const std::string& key);
  std::string secret(const std::string& key);
  listen_address address(const std::string& key);
  std::int64_t integer(const std::string& key, std::int64_t fallback,
                       std::int64_t min_value, std::int64_t max_value);
  /// Seconds, with fractions, as milliseconds.
  std::chrono::milliseconds seconds(const std::string& key,
                                    std::chrono::milliseconds fallback);
  double non_negative_number(const std::string& key, double fallback);

  /// The index of the key's value among `names`; 0 where it is absent.
  std::size_t choice(const std::string& key,
                     const std::vector<std::string>& names);

  void add_error(const std::string& key, const YAML::Node& n,
                 const std::string& expected);
  void reject_unknown_keys();

private:
  YAML::Node m_node;
  std::string m_key_prefix;
  settings_errors& m_errors;
  std::set<std::string> m_known_keys;
};

} // namespace kingcupslip

#endif
