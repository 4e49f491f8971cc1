// Timelines and causes of single requests.
#include "kingcupslip/cli/explain.hpp"

#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/reason.hpp"

#include <algorithm>
#include <cstdlib>

namespace kingcupslip {

namespace {

using nlohmann::json;

std::string field(const json& line, const char* name) {
  const auto it = line.find(name);
  return it != line.end() && it->is_string() ? it->get<std::string>() : "";
}

bool is_event(const json& line, event_id id) {
  return line.value("event", 0) == static_cast<int>(id);
}

const reason_info* reason_named(const std::string& name) {
  for (std::size_t i = 0; i < reason_count; ++i) {
    const reason_info& r = info_of(static_cast<reason>(i));
    if (r.name == name) {
      return &r;
    }
  }
  return nullptr;
}

std::string verdict_text(const std::string& verdict) {
  if (verdict == "not-run") {
    return "it has not run";
  }
  return verdict == "ran" ? "it ran" : "it may have run";
}

/// What decided, with its age.
std::string inputs_text(const json& end) {
  std::string out = "decided by version " + field(end, "routes") +
                    ", confirmed " + field(end, "state_age_ms") + " ms before";
  const std::string targets = field(end, "targets");
  return targets.empty() ? out : out + "; sent to " + targets;
}

std::string cause_of(const json& end, const std::vector<json>& lines) {
  const std::string why = field(end, "reason");
  if (why == "none") {
    return "answered by its target with status " + field(end, "status") +
           " after " + field(end, "took_us") + " us; " + inputs_text(end);
  }
  const reason_info* info = reason_named(why);
  std::string out = "refused by " + field(end, "node") + ": " +
                    (info == nullptr ? why : std::string(info->title)) + " (" +
                    why + "); " + verdict_text(field(end, "verdict")) + "; " +
                    inputs_text(end);
  for (const json& it : lines) {
    if (is_event(it, event_id::run_failed)) {
      out += "; its run beside " + field(it, "node") + " ended as " +
             field(it, "how") + " after " + field(it, "ran_us") + " us";
    }
  }
  return out;
}

} // namespace

void request_explainer::read(std::istream& lines) {
  std::string line;
  while (std::getline(lines, line)) {
    add_line(line);
  }
}

void request_explainer::add_line(const std::string& line) {
  const std::size_t brace = line.find('{');
  const bool of_request = line.find(m_id) != std::string::npos;
  const bool of_left_out = line.find("lines_dropped") != std::string::npos;
  if (brace == std::string::npos || (!of_request && !of_left_out)) {
    return;
  }
  const json parsed = json::parse(line.substr(brace), nullptr, false);
  if (!parsed.is_object()) {
    return;
  }
  if (is_event(parsed, event_id::lines_dropped)) {
    for (const event_info& it : all_events()) {
      const std::string n = field(parsed, std::string(it.name).c_str());
      if (!n.empty()) {
        m_left_out[std::string(it.name)] +=
            std::strtoull(n.c_str(), nullptr, 10);
      }
    }
  } else if (field(parsed, "request") == m_id) {
    m_lines.push_back(parsed);
  }
}

std::vector<json> request_explainer::in_order() const {
  std::vector<json> out = m_lines;
  std::stable_sort(out.begin(), out.end(), [](const json& a, const json& b) {
    return field(a, "time") < field(b, "time");
  });
  return out;
}

std::string request_explainer::cause() const {
  const std::vector<json> lines = in_order();
  for (const json& it : lines) {
    if (is_event(it, event_id::request_answered) ||
        is_event(it, event_id::request_refused)) {
      return cause_of(it, lines);
    }
  }
  if (!lines.empty()) {
    return "its end is not in these lines: the node that it entered through "
           "was lost, or its line was left out";
  }
  std::string out = "request " + m_id + " is not in these lines";
  for (const std::pair<const std::string, std::uint64_t>& it : m_left_out) {
    out += "; " + std::to_string(it.second) + " lines of " + it.first +
           " were left out";
  }
  return out;
}

std::string request_explainer::as_text() const {
  std::string out;
  for (const json& it : in_order()) {
    out +=
        field(it, "time") + " " + field(it, "node") + " " + field(it, "name");
    for (auto f_it = it.begin(); f_it != it.end(); ++f_it) {
      const bool shown = f_it.key() == "time" || f_it.key() == "node" ||
                         f_it.key() == "name" || f_it.key() == "event" ||
                         f_it.key() == "level" || f_it.key() == "request";
      if (!shown && f_it->is_string() && !f_it->get<std::string>().empty()) {
        out += " " + f_it.key() + "=" + f_it->get<std::string>();
      }
    }
    out += "\n";
  }
  return out + "cause: " + cause() + "\n";
}

std::string request_explainer::as_json() const {
  return json{{"request", m_id},
              {"cause", cause()},
              {"lines", in_order()},
              {"left_out", m_left_out}}
      .dump();
}

} // namespace kingcupslip
