// Counters of the request report, and their JSON form.
#include "kingcupslip/core/request_counters.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

namespace kingcupslip {

namespace {

using nlohmann::json;
using reason_counts = std::array<std::uint64_t, reason_count>;

json to_object(const reason_counts& counts) {
  json out = json::object();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      out[std::string(info_of(static_cast<reason>(i)).name)] = counts[i];
    }
  }
  return out;
}

reason_counts from_object(const json& row, const char* field) {
  reason_counts out{};
  const json::const_iterator object = row.find(field);
  if (object == row.end()) {
    return out;
  }
  for (std::size_t i = 0; i < out.size(); ++i) {
    const std::string name(info_of(static_cast<reason>(i)).name);
    out[i] = unsigned_field(*object, name.c_str());
  }
  return out;
}

void add_counts(reason_counts& to, const reason_counts& from) {
  for (std::size_t i = 0; i < to.size(); ++i) {
    to[i] += from[i];
  }
}

} // namespace

void route_counters::add(const route_counters& other) {
  asked += other.asked;
  ran += other.ran;
  may_have_run += other.may_have_run;
  replayed += other.replayed;
  add_counts(refused, other.refused);
  add_counts(uncertain, other.uncertain);
  add_counts(retried, other.retried);
}

void request_counters::on_outcome(const team_route_key& key, const outcome& o) {
  route_counters& row = m_rows[key];
  switch (o.execution) {
  case verdict::ran:
    ++row.ran;
    return;
  case verdict::may_have_run:
    ++row.may_have_run;
    ++row.uncertain[static_cast<std::size_t>(o.refusal_reason)];
    return;
  case verdict::not_run:
    ++row.refused[static_cast<std::size_t>(o.refusal_reason)];
    return;
  }
}

void request_counters::on_retry(const team_route_key& key, reason why) {
  ++m_rows[key].retried[static_cast<std::size_t>(why)];
}

std::string request_counters::to_json() const {
  json out = json::array();
  for (const std::pair<const team_route_key, route_counters>& it : m_rows) {
    const route_counters& t = it.second;
    out.push_back({{"team", it.first.first},
                   {"route", it.first.second},
                   {"asked", t.asked},
                   {"ran", t.ran},
                   {"may_have_run", t.may_have_run},
                   {"replayed", t.replayed},
                   {"refused", to_object(t.refused)},
                   {"uncertain", to_object(t.uncertain)},
                   {"retried", to_object(t.retried)}});
  }
  // Services in the paths of refused requests may be no UTF-8.
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool request_counters::add_from_json(std::string_view text) {
  const json rows = json::parse(text, nullptr, false);
  if (!rows.is_array()) {
    return false;
  }
  for (const json& it : rows) {
    if (!it.is_object()) {
      return false;
    }
    route_counters t;
    t.asked = unsigned_field(it, "asked");
    t.ran = unsigned_field(it, "ran");
    t.may_have_run = unsigned_field(it, "may_have_run");
    t.replayed = unsigned_field(it, "replayed");
    t.refused = from_object(it, "refused");
    t.uncertain = from_object(it, "uncertain");
    t.retried = from_object(it, "retried");
    add({text_field(it, "team"), text_field(it, "route")}, t);
  }
  return true;
}

} // namespace kingcupslip
