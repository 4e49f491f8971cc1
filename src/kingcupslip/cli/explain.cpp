// Timelines of single requests and the causes of their ends.
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

const reason_info* find_reason(const std::string& name) {
  for (std::size_t i = 0; i < reason_count; ++i) {
    const reason_info& r = info_of(static_cast<reason>(i));
    if (r.name == name) {
      return &r;
    }
  }
  return nullptr;
}

std::string describe_verdict(const std::string& verdict) {
  if (verdict == "not-run") {
    return "it has not run";
  }
  return verdict == "ran" ? "it ran" : "it may have run";
}

/// The version and age of the routes that were used, and the targets tried.
std::string describe_inputs(const json& end_event) {
  std::string out = "decided by version " + field(end_event, "routes") +
                    ", confirmed " + field(end_event, "state_age_ms") +
                    " ms before";
  const std::string targets = field(end_event, "targets");
  return targets.empty() ? out : out + "; sent to " + targets;
}

std::string describe_cause(const json& end_event,
                           const std::vector<json>& lines) {
  const std::string why = field(end_event, "reason");
  if (why == "none") {
    return "answered by its target with status " + field(end_event, "status") +
           " after " + field(end_event, "took_us") + " us; " +
           describe_inputs(end_event);
  }
  const reason_info* info = find_reason(why);
  std::string out = "refused by " + field(end_event, "node") + ": " +
                    (info == nullptr ? why : std::string(info->title)) + " (" +
                    why + "); " +
                    describe_verdict(field(end_event, "verdict")) + "; " +
                    describe_inputs(end_event);
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
  const bool mentions_request = line.find(m_request_id) != std::string::npos;
  const bool mentions_suppressed =
      line.find("lines_dropped") != std::string::npos;
  if (brace == std::string::npos ||
      (!mentions_request && !mentions_suppressed)) {
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
        m_suppressed_lines[std::string(it.name)] +=
            std::strtoull(n.c_str(), nullptr, 10);
      }
    }
  } else if (field(parsed, "request") == m_request_id) {
    m_lines.push_back(parsed);
  }
}

std::vector<json> request_explainer::lines_by_time() const {
  std::vector<json> out = m_lines;
  std::stable_sort(out.begin(), out.end(), [](const json& a, const json& b) {
    return field(a, "time") < field(b, "time");
  });
  return out;
}

std::string request_explainer::cause() const {
  const std::vector<json> lines = lines_by_time();
  for (const json& it : lines) {
    if (is_event(it, event_id::request_answered) ||
        is_event(it, event_id::request_refused)) {
      return describe_cause(it, lines);
    }
  }
  if (!lines.empty()) {
    return "its end is not in these lines: the node that it entered through "
           "was lost, or its line was left out";
  }
  std::string out = "request " + m_request_id + " is not in these lines";
  for (const std::pair<const std::string, std::uint64_t>& it :
       m_suppressed_lines) {
    out += "; " + std::to_string(it.second) + " lines of " + it.first +
           " were left out";
  }
  return out;
}

std::string request_explainer::as_text() const {
  std::string out;
  for (const json& it : lines_by_time()) {
    out +=
        field(it, "time") + " " + field(it, "node") + " " + field(it, "name");
    for (auto field_it = it.begin(); field_it != it.end(); ++field_it) {
      const bool already_shown =
          field_it.key() == "time" || field_it.key() == "node" ||
          field_it.key() == "name" || field_it.key() == "event" ||
          field_it.key() == "level" || field_it.key() == "request";
      if (!already_shown && field_it->is_string() &&
          !field_it->get<std::string>().empty()) {
        out += " " + field_it.key() + "=" + field_it->get<std::string>();
      }
    }
    out += "\n";
  }
  return out + "cause: " + cause() + "\n";
}

std::string request_explainer::as_json() const {
  return json{{"request", m_request_id},
              {"cause", cause()},
              {"lines", lines_by_time()},
              {"left_out", m_suppressed_lines}}
      .dump();
}

} // namespace kingcupslip
