// The platform's table service over HTTP (cpprestsdk).
#ifndef KINGCUPSLIP_NET_TABLE_CLIENT_HPP
#define KINGCUPSLIP_NET_TABLE_CLIENT_HPP

#include "kingcupslip/core/table.hpp"
#include "kingcupslip/net/loop.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcupslip {

/// Calls run on the library's pool; handlers run on the loop. A commit
/// whose answer did not come is reported as `unknown`.
class table_client {
public:
  table_client(io_loop& loop, const std::string& url);
  ~table_client();

  /// Hooks that stay valid for the client's life.
  table_hooks hooks();

  std::uint64_t reads() const;
  std::uint64_t commits() const;

private:
  class state;
  std::shared_ptr<state> m_state;
};

} // namespace kingcupslip

#endif
