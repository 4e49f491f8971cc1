// Typed access to settings, with an error for each value that is not valid.
#include "kingcupslip/daemon/settings_reader.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/text.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>
#include <tuple>
#include <utility>

namespace kingcupslip {

namespace {

constexpr double ms_per_s = 1000;
constexpr std::size_t min_secret_length = 16;

int line_of(const YAML::Node& n) {
  return n.IsDefined() ? n.Mark().line + 1 : 0;
}

} // namespace

std::optional<listen_address> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  listen_address out;
  out.ip = text.substr(0, colon);
  boost::system::error_code ec;
  boost::asio::ip::make_address(out.ip, ec);
  const char* end = text.data() + text.size();
  const std::from_chars_result r =
      std::from_chars(text.data() + colon + 1, end, out.port);
  if (ec || r.ec != std::errc() || r.ptr != end || out.port == 0) {
    return std::nullopt;
  }
  return out;
}

std::optional<YAML::Node> load_settings_map(const std::string& yaml_text,
                                            settings_errors& errors) {
  YAML::Node root;
  try {
    root = YAML::Load(yaml_text);
  } catch (const YAML::Exception& e) {
    errors.push_back({e.mark.line + 1, "", "well-formed YAML"});
    return std::nullopt;
  }
  if (!root.IsMap()) {
    errors.push_back({1, "", "a map of settings"});
    return std::nullopt;
  }
  return root;
}

void sort_errors(settings_errors& errors) {
  std::sort(errors.begin(), errors.end(),
            [](const settings_error& a, const settings_error& b) {
              return std::tie(a.line, a.key) < std::tie(b.line, b.key);
            });
}

double map_reader::non_negative_number(const std::string& key,
                                       double fallback) {
  const YAML::Node n = child(key);
  // Templates leave the value of an optional setting empty.
  if (!n.IsDefined() || n.IsNull()) {
    return fallback;
  }
  double out = 0;
  if (!n.IsScalar() || !YAML::convert<double>::decode(n, out) || out < 0) {
    add_error(key, n, "a number that is not negative");
    return fallback;
  }
  return out;
}

std::chrono::milliseconds
map_reader::seconds(const std::string& key,
                    std::chrono::milliseconds fallback) {
  const double s = non_negative_number(
      key, static_cast<double>(fallback.count()) / ms_per_s);
  return std::chrono::milliseconds(static_cast<std::int64_t>(s * ms_per_s));
}

map_reader::map_reader(const YAML::Node& node, std::string key_prefix,
                       settings_errors& errors)
    : m_node(node), m_key_prefix(std::move(key_prefix)), m_errors(errors) {}

YAML::Node map_reader::child(const std::string& key) {
  m_known_keys.insert(key);
  return m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
}

std::string map_reader::text(const std::string& key, bool required,
                             const std::string& expected) {
  const YAML::Node n = child(key);
  if (n.IsDefined() && n.IsScalar()) {
    return n.Scalar();
  }
  if (required || n.IsDefined()) {
    add_error(key, n, expected);
  }
  return {};
}

std::string map_reader::name(const std::string& key) {
  const std::string expected = "a name of 1 to 63 of a-z, 0-9 and -";
  std::string out = text(key, true, expected);
  if (!out.empty() && !is_valid_name(out)) {
    add_error(key, child(key), expected);
  }
  return out;
}

std::string map_reader::secret(const std::string& key) {
  const std::string expected = "a secret of at least " +
                               std::to_string(min_secret_length) +
                               " characters";
  std::string out = text(key, true, expected);
  if (!out.empty() && out.size() < min_secret_length) {
    add_error(key, child(key), expected);
  }
  return out;
}

listen_address map_reader::address(const std::string& key) {
  const std::string expected = "IP:PORT, as in 10.0.0.7:8080";
  const std::string out = text(key, true, expected);
  const std::optional<listen_address> parsed = parse_address(out);
  if (!out.empty() && !parsed) {
    add_error(key, child(key), expected);
  }
  return parsed.value_or(listen_address{});
}

listen_address map_reader::http_url(const std::string& key) {
  constexpr std::string_view scheme = "http://";
  const std::string expected = "a URL, as in http://IP:PORT";
  std::string out = text(key, true, expected);
  const bool has_path = !out.empty() && out.back() == '/';
  out.resize(out.size() - (has_path ? 1 : 0));
  const std::optional<listen_address> parsed =
      starts_with(out, scheme) ? parse_address(out.substr(scheme.size()))
                               : std::nullopt;
  if (!out.empty() && !parsed) {
    add_error(key, child(key), expected);
  }
  return parsed.value_or(listen_address{});
}

std::int64_t map_reader::integer(const std::string& key, std::int64_t fallback,
                                 std::int64_t min_value,
                                 std::int64_t max_value) {
  const YAML::Node n = child(key);
  if (!n.IsDefined()) {
    return fallback;
  }
  std::int64_t out = 0;
  const std::string value = n.IsScalar() ? n.Scalar() : "";
  const char* end = value.data() + value.size();
  const std::from_chars_result r = std::from_chars(value.data(), end, out);
  const bool is_valid = r.ec == std::errc() && r.ptr == end && !value.empty() &&
                        out >= min_value && out <= max_value;
  if (!is_valid) {
    add_error(key, n,
              "a whole number from " + std::to_string(min_value) + " to " +
                  std::to_string(max_value));
    return fallback;
  }
  return out;
}

std::size_t map_reader::choice(const std::string& key,
                               const std::vector<std::string>& names) {
  const YAML::Node n = child(key);
  if (!n.IsDefined()) {
    return 0;
  }
  const std::string value = n.IsScalar() ? n.Scalar() : "";
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == value) {
      return i;
    }
  }
  std::string expected = names.front();
  for (std::size_t i = 1; i < names.size(); ++i) {
    expected += " or " + names[i];
  }
  add_error(key, n, expected);
  return 0;
}

void map_reader::add_error(const std::string& key, const YAML::Node& n,
                           const std::string& expected) {
  const int line = n.IsDefined() ? line_of(n) : line_of(m_node);
  m_errors.push_back({line, m_key_prefix + key, expected});
}

void map_reader::reject_unknown_keys() {
  if (!m_node.IsMap()) {
    return;
  }
  for (auto it = m_node.begin(); it != m_node.end(); ++it) {
    const std::string key = it->first.Scalar();
    if (m_known_keys.count(key) == 0) {
      m_errors.push_back(
          {line_of(it->first), m_key_prefix + key, "no such key"});
    }
  }
}

} // namespace kingcupslip
