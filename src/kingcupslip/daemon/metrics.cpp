// The Prometheus text format.
#include "kingcupslip/daemon/metrics.hpp"

#include <boost/histogram/indexed.hpp>

#include <array>
#include <cstdio>

namespace kingcupslip {

namespace {

constexpr unsigned latency_bin_count = 24;
constexpr double min_latency_s = 1e-4;
constexpr double max_latency_s = 100;

std::string format_number(double v) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.9g", v);
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

void append_type(std::string& out, const std::string& name,
                 const std::string& type) {
  out += "# TYPE " + name + " " + type + "\n";
}

void append_sample(std::string& out, const std::string& name,
                   const std::string& labels, double value) {
  out += name + (labels.empty() ? "" : "{" + labels + "}") + " " +
         format_number(value) + "\n";
}

std::string route_labels(const team_route_key& key) {
  return "team=\"" + key.first + "\",route=\"" + key.second + "\"";
}

using reason_counts = std::array<std::uint64_t, reason_count>;

void append_by_reason(std::string& out, const std::string& name,
                      const request_counters& counts,
                      const reason_counts route_counters::*member) {
  append_type(out, name, "counter");
  for (const std::pair<const team_route_key, route_counters>& it :
       counts.rows()) {
    const reason_counts& n = it.second.*member;
    for (std::size_t i = 0; i < n.size(); ++i) {
      if (n[i] > 0) {
        const std::string_view why = info_of(static_cast<reason>(i)).name;
        append_sample(out, name,
                      route_labels(it.first) + ",reason=\"" + std::string(why) +
                          "\"",
                      static_cast<double>(n[i]));
      }
    }
  }
}

void append_by_route(std::string& out, const std::string& name,
                     const request_counters& counts,
                     const std::uint64_t route_counters::*member) {
  append_type(out, name, "counter");
  for (const std::pair<const team_route_key, route_counters>& it :
       counts.rows()) {
    append_sample(out, name, route_labels(it.first),
                  static_cast<double>(it.second.*member));
  }
}

void append_gauge(std::string& out, const std::string& name, double value) {
  append_type(out, name, "gauge");
  append_sample(out, name, "", value);
}

void append_counter(std::string& out, const std::string& name,
                    std::uint64_t value) {
  append_type(out, name, "counter");
  append_sample(out, name, "", static_cast<double>(value));
}

void append_request_metrics(const request_counters& counts,
                            const target_stage& target,
                            const latency_histogram& latencies,
                            std::string& out) {
  append_by_route(out, "kingcupslip_asked_total", counts,
                  &route_counters::asked);
  append_by_route(out, "kingcupslip_ran_total", counts, &route_counters::ran);
  append_by_reason(out, "kingcupslip_refused_total", counts,
                   &route_counters::refused);
  append_by_reason(out, "kingcupslip_uncertain_total", counts,
                   &route_counters::uncertain);
  append_by_reason(out, "kingcupslip_retries_total", counts,
                   &route_counters::retried);
  latencies.render("kingcupslip_answer_seconds", out);
  append_gauge(out, "kingcupslip_target_limit",
               static_cast<double>(target.limit()));
  append_gauge(out, "kingcupslip_target_in_flight",
               static_cast<double>(target.in_flight()));
  append_gauge(out, "kingcupslip_target_queued",
               static_cast<double>(target.queued()));
  append_gauge(out, "kingcupslip_target_rate_limit",
               target.notices().current().rate_limit_per_s.value_or(0));
  append_gauge(out, "kingcupslip_overload_level",
               target.overload_level_of_chain());
  append_counter(out, "kingcupslip_target_started_total", target.started());
}

void append_peer_metrics(const peer_network& peers, std::string& out) {
  const peer_counters& p = peers.counters();
  append_counter(out, "kingcupslip_peer_bad_frames_total", p.bad_frames);
  append_counter(out, "kingcupslip_peer_refused_total", p.refused_peers);
  append_counter(out, "kingcupslip_peer_silent_total", p.silent_peers);
  append_counter(out, "kingcupslip_peer_sent_bytes_total", p.bytes_sent);
  append_counter(out, "kingcupslip_peer_received_bytes_total",
                 p.bytes_received);
}

} // namespace

latency_histogram::latency_histogram()
    : m_bins(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<double>(),
          log_axis(latency_bin_count, min_latency_s, max_latency_s))) {}

void latency_histogram::add(duration latency) {
  const double s = static_cast<double>(latency.count()) / us_per_s;
  m_bins(s);
  m_sum_s += s;
}

void latency_histogram::render(const std::string& name,
                               std::string& out) const {
  append_type(out, name, "histogram");
  double cumulative_count = m_bins.at(-1);
  for (int i = 0; i < static_cast<int>(latency_bin_count); ++i) {
    cumulative_count += m_bins.at(i);
    const double upper = m_bins.axis().bin(i).upper();
    append_sample(out, name + "_bucket", "le=\"" + format_number(upper) + "\"",
                  cumulative_count);
  }
  cumulative_count += m_bins.at(static_cast<int>(latency_bin_count));
  append_sample(out, name + "_bucket", "le=\"+Inf\"", cumulative_count);
  append_sample(out, name + "_sum", "", m_sum_s);
  append_sample(out, name + "_count", "", cumulative_count);
}

std::string render_metrics(const node& n, const peer_network& peers,
                           const table_client& table,
                           const latency_histogram& latencies) {
  std::string out;
  const request_counters& counts = n.counts();
  append_request_metrics(counts, n.target(), latencies, out);
  append_gauge(out, "kingcupslip_config_sequence",
               static_cast<double>(n.config().sequence()));
  append_gauge(out, "kingcupslip_config_age_seconds",
               static_cast<double>(n.sync().age(n.clock().now).count()) /
                   us_per_s);
  append_gauge(out, "kingcupslip_members",
               static_cast<double>(n.members().usable().size()));
  append_gauge(out, "kingcupslip_key_slots",
               static_cast<double>(n.slots().all().size()));
  append_gauge(out, "kingcupslip_remembered_requests",
               static_cast<double>(n.idempotency_records().size()));
  append_counter(out, "kingcupslip_table_reads_total", table.reads());
  append_counter(out, "kingcupslip_table_commits_total", table.commits());
  append_peer_metrics(peers, out);
  return out;
}

std::string render_metrics(const routed_node& n, const peer_network& peers,
                           const http_client& store, const http_client& target,
                           const latency_histogram& latencies) {
  std::string out;
  append_request_metrics(n.counts(), n.target(), latencies, out);
  append_type(out, "kingcupslip_rollout_phase", "gauge");
  for (const std::pair<const std::string, std::optional<rollout_phase>>& it :
       n.rollout_states().phases()) {
    append_sample(out, "kingcupslip_rollout_phase",
                  "service=\"" + it.first + "\"",
                  it.second ? static_cast<double>(*it.second) + 1 : 0);
  }
  append_type(out, "kingcupslip_leaving_part", "gauge");
  for (const std::pair<const std::string, double>& it :
       n.dispatch().leaving().leaving_parts()) {
    append_sample(out, "kingcupslip_leaving_part",
                  "service=\"" + it.first + "\"", it.second);
  }
  append_gauge(out, "kingcupslip_requests_in_progress",
               static_cast<double>(n.in_progress()));
  append_gauge(out, "kingcupslip_routes_version",
               static_cast<double>(n.state().routes_version()));
  append_gauge(out, "kingcupslip_routes_revision",
               static_cast<double>(n.state().routes_revision()));
  append_gauge(out, "kingcupslip_store_timeline",
               static_cast<double>(n.state().store_timeline()));
  append_gauge(out, "kingcupslip_state_age_seconds",
               static_cast<double>(n.state().age().count()) / us_per_s);
  append_gauge(out, "kingcupslip_departures_known",
               n.departures().known() ? 1 : 0);
  append_counter(out, "kingcupslip_departures_unrecorded_total",
                 n.departures().unrecorded());
  append_gauge(out, "kingcupslip_members",
               static_cast<double>(n.members().usable().size()));
  append_counter(out, "kingcupslip_store_connections_total",
                 store.connections_opened());
  append_counter(out, "kingcupslip_target_connections_total",
                 target.connections_opened());
  append_peer_metrics(peers, out);
  return out;
}

} // namespace kingcupslip
