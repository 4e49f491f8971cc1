// Counters and latency histograms in the Prometheus text format.
#ifndef KINGCUPSLIP_DAEMON_METRICS_HPP
#define KINGCUPSLIP_DAEMON_METRICS_HPP

#include "kingcupslip/core/node.hpp"
#include "kingcupslip/core/routed_node.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/peer_network.hpp"
#include "kingcupslip/net/table_client.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace kingcupslip {

/// Counts latencies in logarithmic bins from 100 us to 100 s.
class latency_histogram {
public:
  latency_histogram();
  void add(duration latency);

  /// Appends the series `name_bucket`, `name_sum` and `name_count`.
  void render(const std::string& name, std::string& out) const;

private:
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<log_axis>,
                              boost::histogram::dense_storage<double>>
      m_bins;
  double m_sum_s = 0;
};

/// All metrics of a node.
std::string render_metrics(const node& n, const peer_network& peers,
                           const table_client& table,
                           const latency_histogram& latencies);
/// All metrics of a routed node.
std::string render_metrics(const routed_node& n, const peer_network& peers,
                           const http_client& store, const http_client& target,
                           const latency_histogram& latencies);

} // namespace kingcupslip

#endif
