// Endpoints, plain responses, files, clocks and randomness of the daemons.
#include "kingcupslip/daemon/daemon_common.hpp"

#include <boost/asio/ip/address.hpp>

#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <utility>

namespace kingcupslip {

boost::asio::ip::tcp::endpoint to_endpoint(const listen_address& a) {
  return {boost::asio::ip::make_address(a.ip), a.port};
}

outcome plain_response(std::uint16_t status, const std::string& type,
                       const std::string& text) {
  outcome out;
  out.execution = verdict::ran;
  out.status = status;
  out.headers.push_back({"Content-Type", type});
  out.body.assign(text.begin(), text.end());
  return out;
}

std::optional<std::string> read_file(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

table_hooks with_clock_refresh(const table_hooks& table,
                               const std::function<void()>& refresh_clock) {
  table_hooks out;
  out.read = [table, refresh_clock](const table_query& q,
                                    const read_handler& handler) {
    table.read(q, [refresh_clock, handler](table_status s,
                                           std::vector<table_row> rows) {
      refresh_clock();
      handler(s, std::move(rows));
    });
  };
  out.commit = [table, refresh_clock](const table_transaction& t,
                                      const commit_handler& handler) {
    table.commit(
        t, [refresh_clock, handler](table_status s, std::uint64_t version) {
          refresh_clock();
          handler(s, version);
        });
  };
  return out;
}

member_table::random_source make_random_source() {
  std::random_device seed;
  const std::shared_ptr<std::mt19937_64> engine =
      std::make_shared<std::mt19937_64>(
          (static_cast<std::uint64_t>(seed()) << 32U) | seed());
  return [engine] { return (*engine)(); };
}

} // namespace kingcupslip
