// The Prometheus text format.
#include "kingcupslip/daemon/metrics.hpp"

#include <boost/histogram/indexed.hpp>

#include <array>
#include <cstdio>

namespace kingcupslip {

namespace {

constexpr unsigned latency_bins = 24;
constexpr double shortest_s = 1e-4;
constexpr double longest_s = 100;

std::string number(double v) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.9g", v);
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

void type_line(std::string& out, const std::string& name,
               const std::string& type) {
  out += "# TYPE " + name + " " + type + "\n";
}

void sample(std::string& out, const std::string& name,
            const std::string& labels, double value) {
  out += name + (labels.empty() ? "" : "{" + labels + "}") + " " +
         number(value) + "\n";
}

std::string route_labels(const tally_key& key) {
  return "team=\"" + key.first + "\",route=\"" + key.second + "\"";
}

using reason_counts = std::array<std::uint64_t, reason_count>;

void by_reason(std::string& out, const std::string& name, const tally& counts,
               const reason_counts route_tally::*member) {
  type_line(out, name, "counter");
  for (const std::pair<const tally_key, route_tally>& it : counts.rows()) {
    const reason_counts& n = it.second.*member;
    for (std::size_t i = 0; i < n.size(); ++i) {
      if (n[i] > 0) {
        const std::string_view why = info_of(static_cast<reason>(i)).name;
        sample(out, name,
               route_labels(it.first) + ",reason=\"" + std::string(why) + "\"",
               static_cast<double>(n[i]));
      }
    }
  }
}

void by_route(std::string& out, const std::string& name, const tally& counts,
              const std::uint64_t route_tally::*member) {
  type_line(out, name, "counter");
  for (const std::pair<const tally_key, route_tally>& it : counts.rows()) {
    sample(out, name, route_labels(it.first),
           static_cast<double>(it.second.*member));
  }
}

void gauge(std::string& out, const std::string& name, double value) {
  type_line(out, name, "gauge");
  sample(out, name, "", value);
}

void counter(std::string& out, const std::string& name, std::uint64_t value) {
  type_line(out, name, "counter");
  sample(out, name, "", static_cast<double>(value));
}

void render_requests(const tally& counts, const target_stage& target,
                     const latency_histogram& latencies, std::string& out) {
  by_route(out, "kingcupslip_asked_total", counts, &route_tally::asked);
  by_route(out, "kingcupslip_ran_total", counts, &route_tally::ran);
  by_reason(out, "kingcupslip_refused_total", counts, &route_tally::refused);
  by_reason(out, "kingcupslip_uncertain_total", counts,
            &route_tally::uncertain);
  by_reason(out, "kingcupslip_retries_total", counts, &route_tally::retried);
  latencies.render("kingcupslip_answer_seconds", out);
  gauge(out, "kingcupslip_target_limit", static_cast<double>(target.limit()));
  gauge(out, "kingcupslip_target_in_flight",
        static_cast<double>(target.in_flight()));
  gauge(out, "kingcupslip_target_queued", static_cast<double>(target.queued()));
}

void render_peers(const peer_network& peers, std::string& out) {
  const peer_counters& p = peers.counters();
  counter(out, "kingcupslip_peer_bad_frames_total", p.bad_frames);
  counter(out, "kingcupslip_peer_refused_total", p.refused_peers);
  counter(out, "kingcupslip_peer_silent_total", p.silent_peers);
  counter(out, "kingcupslip_peer_sent_bytes_total", p.bytes_sent);
  counter(out, "kingcupslip_peer_received_bytes_total", p.bytes_received);
}

} // namespace

latency_histogram::latency_histogram()
    : m_bins(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<double>(),
          log_axis(latency_bins, shortest_s, longest_s))) {}

void latency_histogram::add(duration latency) {
  const double s = static_cast<double>(latency.count()) / us_per_s;
  m_bins(s);
  m_sum += s;
}

void latency_histogram::render(const std::string& name,
                               std::string& out) const {
  type_line(out, name, "histogram");
  double total = m_bins.at(-1);
  for (int i = 0; i < static_cast<int>(latency_bins); ++i) {
    total += m_bins.at(i);
    const double upper = m_bins.axis().bin(i).upper();
    sample(out, name + "_bucket", "le=\"" + number(upper) + "\"", total);
  }
  total += m_bins.at(static_cast<int>(latency_bins));
  sample(out, name + "_bucket", "le=\"+Inf\"", total);
  sample(out, name + "_sum", "", m_sum);
  sample(out, name + "_count", "", total);
}

std::string render_metrics(const node& n, const peer_network& peers,
                           const table_client& table,
                           const latency_histogram& latencies) {
  std::string out;
  const tally& counts = n.counts();
  render_requests(counts, n.target(), latencies, out);
  gauge(out, "kingcupslip_config_sequence",
        static_cast<double>(n.config().sequence()));
  gauge(out, "kingcupslip_config_age_seconds",
        static_cast<double>(n.sync().age(n.clock().now).count()) / us_per_s);
  gauge(out, "kingcupslip_members",
        static_cast<double>(n.members().usable().size()));
  gauge(out, "kingcupslip_key_slots",
        static_cast<double>(n.slots().all().size()));
  gauge(out, "kingcupslip_remembered_requests",
        static_cast<double>(n.remembered_requests().size()));
  counter(out, "kingcupslip_table_reads_total", table.reads());
  counter(out, "kingcupslip_table_commits_total", table.commits());
  render_peers(peers, out);
  return out;
}

std::string render_metrics(const routed_node& n, const peer_network& peers,
                           const http_client& store, const http_client& target,
                           const latency_histogram& latencies) {
  std::string out;
  render_requests(n.counts(), n.target(), latencies, out);
  gauge(out, "kingcupslip_requests_in_progress",
        static_cast<double>(n.in_progress()));
  gauge(out, "kingcupslip_routes_version",
        static_cast<double>(n.state().routes_version()));
  gauge(out, "kingcupslip_state_age_seconds",
        static_cast<double>(n.state().age().count()) / us_per_s);
  gauge(out, "kingcupslip_members",
        static_cast<double>(n.members().usable().size()));
  counter(out, "kingcupslip_store_connections_total",
          store.connections_opened());
  counter(out, "kingcupslip_target_connections_total",
          target.connections_opened());
  render_peers(peers, out);
  return out;
}

} // namespace kingcupslip
