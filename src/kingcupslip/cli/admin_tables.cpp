// Conversion of JSON responses to tables.
#include "kingcupslip/cli/admin_tables.hpp"

#include "kingcupslip/cli/text_table.hpp"

#include <nlohmann/json.hpp>

#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;

std::string cell_text(const json& v) {
  return v.is_string() ? v.get<std::string>() : v.dump();
}

std::string field(const json& object, const char* key) {
  return object.contains(key) ? cell_text(object[key]) : "-";
}

std::string format_counts(const json& counts) {
  std::string out;
  for (json::const_iterator it = counts.begin(); it != counts.end(); ++it) {
    out += (out.empty() ? "" : " ") + it.key() + "=" + it.value().dump();
  }
  return out.empty() ? "-" : out;
}

std::uint64_t sum_counts(const json& counts) {
  std::uint64_t n = 0;
  for (const json& it : counts) {
    n += it.get<std::uint64_t>();
  }
  return n;
}

std::vector<text_row> make_rows(const json& list,
                                const std::vector<const char*>& keys) {
  std::vector<text_row> out;
  for (const json& it : list) {
    text_row row;
    for (const char* key : keys) {
      row.push_back(field(it, key));
    }
    out.push_back(row);
  }
  return out;
}

} // namespace

std::string report_as_table(const std::string& json_text) {
  const json report = json::parse(json_text);
  std::vector<text_row> rows;
  for (const json& it : report["rows"]) {
    const std::string team = field(it, "team");
    rows.push_back(
        {team.empty() ? "(none)" : team, field(it, "route"), field(it, "asked"),
         field(it, "ran"), std::to_string(sum_counts(it["refused"])),
         field(it, "may_have_run"), format_counts(it["refused"]),
         format_counts(it["uncertain"]), format_counts(it["retried"])});
  }
  std::string out = render_table({"TEAM", "ROUTE", "ASKED", "RAN", "NOT-RUN",
                                  "MAY-HAVE-RUN", "NOT-RUN BECAUSE",
                                  "MAY-HAVE-RUN BECAUSE", "RETRIED BECAUSE"},
                                 rows);
  if (report["unreachable"].empty()) {
    out += "All members answered.\n";
  } else {
    out += "No response from: " + report["unreachable"].dump() + "\n";
  }
  if (!report.value("table_read", false)) {
    out += "The table could not be read: departed nodes are missing.\n";
  }
  return out;
}

std::string status_as_table(const std::string& json_text) {
  const json status = json::parse(json_text);
  std::string out = "node " + field(status, "node") +
                    ", configuration sequence " +
                    field(status, "config_sequence") + ", confirmed " +
                    field(status, "config_age_s") + " s ago\n";
  out += render_table(
      {"NODE", "DATA CENTRE", "SERVICE", "STATE", "READY", "LIMIT", "KEY SLOTS",
       "CONFIG"},
      make_rows(status["members"],
                {"node", "data_centre", "service", "state", "ready", "limit",
                 "key_slots", "config_sequence"}));
  return out;
}

std::string contracts_as_table(const std::string& json_text) {
  std::vector<text_row> rows;
  for (const json& it : json::parse(json_text)) {
    rows.push_back({field(it, "team"), field(it, "rate_per_s"),
                    field(it, "burst"), field(it, "weight"),
                    field(it, "retries"), std::to_string(it["routes"].size())});
  }
  return render_table(
      {"TEAM", "RATE/S", "BURST", "WEIGHT", "RETRIES", "ROUTES"}, rows);
}

std::string keys_as_table(const std::string& json_text) {
  return render_table(
      {"ID", "TEAM", "WITHDRAWN"},
      make_rows(json::parse(json_text), {"id", "team", "withdrawn"}));
}

std::string route_as_table(const std::string& json_text) {
  const json p = json::parse(json_text);
  std::string out = "route " + field(p, "route") + ", team " +
                    field(p, "team") + ", at " + field(p, "node") +
                    ", refused for " + field(p, "refused_for") + "\n";
  if (p.contains("quota_tokens")) {
    out += "quota " + field(p, "quota_rate_per_s") + " a second, " +
           field(p, "quota_tokens") + " tokens here\n";
  }
  for (const json& s : p["services"]) {
    out += "service " + field(s, "service") + ", weight " + field(s, "weight") +
           ", leaving " + format_counts(s["leaving"]) + "\n";
    out += render_table(
        {"NODE", "DATA CENTRE", "VERSION", "LOAD", "LIMIT", "LEFT OUT"},
        make_rows(s["targets"], {"node", "data_centre", "version", "load",
                                 "limit", "left_out"}));
  }
  return out;
}

std::string fields_as_table(const std::string& json_text) {
  const json value = json::parse(json_text, nullptr, false);
  std::string out;
  if (value.is_object()) {
    for (json::const_iterator it = value.begin(); it != value.end(); ++it) {
      out += it.key() + ": " + cell_text(it.value()) + "\n";
    }
  } else if (value.is_array()) {
    for (const json& it : value) {
      out += cell_text(it) + "\n";
    }
  } else {
    out = json_text + "\n";
  }
  return out;
}

} // namespace kingcupslip
