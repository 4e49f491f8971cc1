// HTTP client of the platform's table service, on cpprestsdk.
#ifndef KINGCUPSLIP_NET_TABLE_CLIENT_HPP
#define KINGCUPSLIP_NET_TABLE_CLIENT_HPP

#include "kingcupslip/core/table.hpp"
#include "kingcupslip/net/loop.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcupslip {

/// Reads and commits rows of the table service. Calls run on the library's
/// thread pool; handlers run on the loop. A commit without a response is
/// reported as `unknown`.
class table_client {
public:
  table_client(io_loop& loop, const std::string& url);
  ~table_client();

  /// Hooks that call this client. Once the client is destroyed, handlers of
  /// calls in progress no longer run.
  table_hooks hooks();

  std::uint64_t reads() const;
  std::uint64_t commits() const;

private:
  class state;
  std::shared_ptr<state> m_state;
};

} // namespace kingcupslip

#endif
