// HTTP client of the platform's table service.
#ifndef KINGCUPSLIP_NET_TABLE_CLIENT_HPP
#define KINGCUPSLIP_NET_TABLE_CLIENT_HPP

#include "kingcupslip/core/table.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace kingcupslip {

/// Reads and commits rows of the table service. Runs on the loop. A commit
/// without a response is reported as `unknown`, and as `unavailable` if it was
/// not sent. Responses are bounded as those of any other server.
class table_client {
public:
  table_client(io_loop& loop, const boost::asio::ip::tcp::endpoint& table);

  /// Hooks that call this client. Once the client is destroyed, handlers of
  /// calls in progress no longer run.
  table_hooks hooks();

  std::uint64_t reads() const { return m_reads; }
  std::uint64_t commits() const { return m_commits; }

private:
  void read(const table_query& q, read_handler handler);
  void commit(const table_transaction& transaction, commit_handler handler);
  void post(const std::string& path, const std::string& body,
            http_client::result_handler handler);

  http_client m_client;
  std::uint64_t m_last_request_id = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_commits = 0;
};

} // namespace kingcupslip

#endif
