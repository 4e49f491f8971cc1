// Reading and checking of the settings file.
#include "kingcupslip/daemon/settings.hpp"

#include "kingcupslip/core/contract_codec.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <set>

namespace kingcupslip {

namespace {

constexpr std::size_t least_secret = 16;
constexpr std::int64_t longest_ms = 3'600'000;

int line_of(const YAML::Node& n) {
  return n.IsDefined() ? n.Mark().line + 1 : 0;
}

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

/// Reads one map of the file; remembers which keys were asked for.
class map_reader {
public:
  map_reader(const YAML::Node& node, std::string where, settings_faults& faults)
      : m_node(node), m_where(std::move(where)), m_faults(faults) {}

  YAML::Node child(const std::string& key) {
    m_known.insert(key);
    return m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
  }

  std::string text(const std::string& key, bool needed,
                   const std::string& expected = "a text") {
    const YAML::Node n = child(key);
    if (n.IsDefined() && n.IsScalar()) {
      return n.Scalar();
    }
    if (needed || n.IsDefined()) {
      fault(key, n, expected);
    }
    return {};
  }

  std::string name(const std::string& key) {
    const std::string expected = "a name of 1 to 63 of a-z, 0-9 and -";
    std::string out = text(key, true, expected);
    if (!out.empty() && !is_valid_name(out)) {
      fault(key, child(key), expected);
    }
    return out;
  }

  std::string secret(const std::string& key) {
    const std::string expected =
        "a secret of at least " + std::to_string(least_secret) + " characters";
    std::string out = text(key, true, expected);
    if (!out.empty() && out.size() < least_secret) {
      fault(key, child(key), expected);
    }
    return out;
  }

  listen_address address(const std::string& key) {
    const std::string expected = "IP:PORT, as in 10.0.0.7:8080";
    const std::string out = text(key, true, expected);
    const std::optional<listen_address> parsed = parse_address(out);
    if (!out.empty() && !parsed) {
      fault(key, child(key), expected);
    }
    return parsed.value_or(listen_address{});
  }

  std::int64_t number(const std::string& key, std::int64_t fallback,
                      std::int64_t low, std::int64_t high) {
    const YAML::Node n = child(key);
    if (!n.IsDefined()) {
      return fallback;
    }
    std::int64_t out = 0;
    const std::string value = n.IsScalar() ? n.Scalar() : "";
    const char* end = value.data() + value.size();
    const std::from_chars_result r = std::from_chars(value.data(), end, out);
    const bool good = r.ec == std::errc() && r.ptr == end && !value.empty() &&
                      out >= low && out <= high;
    if (!good) {
      fault(key, n,
            "a whole number from " + std::to_string(low) + " to " +
                std::to_string(high));
      return fallback;
    }
    return out;
  }

  /// The index of the key's value among `names`; 0 where it is absent.
  std::size_t choice(const std::string& key,
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
    fault(key, n, expected);
    return 0;
  }

  void fault(const std::string& key, const YAML::Node& n,
             const std::string& expected) {
    const int line = n.IsDefined() ? line_of(n) : line_of(m_node);
    m_faults.push_back({line, m_where + key, expected});
  }

  void refuse_unknown_keys() {
    if (!m_node.IsMap()) {
      return;
    }
    for (auto it = m_node.begin(); it != m_node.end(); ++it) {
      const std::string key = it->first.Scalar();
      if (m_known.count(key) == 0) {
        m_faults.push_back({line_of(it->first), m_where + key, "no such key"});
      }
    }
  }

private:
  YAML::Node m_node;
  std::string m_where;
  settings_faults& m_faults;
  std::set<std::string> m_known;
};

void read_seeds(map_reader& in, node_settings& out, settings_faults& faults) {
  const YAML::Node list = in.child("seeds");
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence()) {
    in.fault("seeds", list, "a list of {node, address}");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    map_reader seed(list[i], "seeds[" + std::to_string(i) + "].", faults);
    seed_node s;
    s.node = seed.name("node");
    const listen_address a = seed.address("address");
    s.address = a.ip + ":" + std::to_string(a.port);
    seed.refuse_unknown_keys();
    out.seeds.push_back(s);
  }
}

void read_limits(map_reader& in, node_settings& out, settings_faults& faults) {
  map_reader limits(in.child("limits"), "limits.", faults);
  server_limits& l = out.limits;
  l.head_bytes = static_cast<std::size_t>(limits.number(
      "head_bytes", static_cast<std::int64_t>(l.head_bytes), 1024, 1 << 20));
  l.body_bytes = static_cast<std::size_t>(limits.number(
      "body_bytes", static_cast<std::int64_t>(l.body_bytes), 1024, 8 << 20));
  l.connections = static_cast<std::size_t>(limits.number(
      "connections", static_cast<std::int64_t>(l.connections), 1, 100'000));
  l.request_time = std::chrono::milliseconds(
      limits.number("request_ms", l.request_time.count(), 10, longest_ms));
  l.idle_time = std::chrono::milliseconds(
      limits.number("idle_ms", l.idle_time.count(), 10, longest_ms));
  out.most_in_flight = static_cast<std::size_t>(
      limits.number("target_in_flight", 1000, 1, 100'000));
  limits.refuse_unknown_keys();
}

} // namespace

settings_result parse_settings(const std::string& yaml_text) {
  settings_faults faults;
  YAML::Node root;
  try {
    root = YAML::Load(yaml_text);
  } catch (const YAML::Exception& e) {
    faults.push_back({e.mark.line + 1, "", "well-formed YAML"});
    return faults;
  }
  if (!root.IsMap()) {
    faults.push_back({1, "", "a map of settings"});
    return faults;
  }
  node_settings out;
  map_reader in(root, "", faults);
  out.node = in.name("node");
  out.data_centre = in.name("data_centre");
  out.service = in.name("service");
  out.target = in.address("target");
  out.callers = in.address("callers");
  out.peers = in.address("peers");
  out.announcements = in.address("announcements");
  out.admin = in.address("admin");
  out.table_url = in.text("table_url", true, "a URL, as in http://IP:PORT");
  out.fleet_secret = in.secret("fleet_secret");
  out.operator_token = in.secret("operator_token");
  read_seeds(in, out, faults);
  out.log = in.choice("log", {"json", "text"}) == 0 ? log_format::json
                                                    : log_format::text;
  out.unconfirmed = in.choice("unconfirmed_keys", {"serve", "refuse"}) == 0
                        ? unconfirmed_keys::serve
                        : unconfirmed_keys::refuse;
  out.confirmed_within = std::chrono::milliseconds(
      in.number("confirmed_within_ms", 60'000, 1000, longest_ms));
  out.drain_limit = std::chrono::milliseconds(
      in.number("drain_limit_ms", 20'000, 2000, longest_ms));
  out.pool_threads =
      static_cast<std::uint32_t>(in.number("pool_threads", 2, 1, 64));
  read_limits(in, out, faults);
  in.refuse_unknown_keys();
  if (!faults.empty()) {
    std::sort(faults.begin(), faults.end(),
              [](const settings_fault& a, const settings_fault& b) {
                return std::tie(a.line, a.key) < std::tie(b.line, b.key);
              });
    return faults;
  }
  return out;
}

std::string to_text(const settings_faults& faults, const std::string& file) {
  std::string out;
  for (const settings_fault& it : faults) {
    out += file + ":" + std::to_string(it.line) + ": ";
    out += it.key.empty() ? "" : it.key + ": ";
    out +=
        it.expected == "no such key" ? it.expected : "expected " + it.expected;
    out += "\n";
  }
  return out;
}

} // namespace kingcupslip
