// Serves the administration API over HTTP, on cpprestsdk's listener.
#ifndef KINGCUPSLIP_DAEMON_ADMIN_LISTENER_HPP
#define KINGCUPSLIP_DAEMON_ADMIN_LISTENER_HPP

#include "kingcupslip/daemon/admin_service.hpp"
#include "kingcupslip/net/loop.hpp"

#include <memory>
#include <string>

namespace kingcupslip {

/// Receives administration requests on an address of its own, so that no
/// caller of the data path can reach it. Requests are handled on the loop.
class admin_listener {
public:
  /// Throws if it cannot listen on `url`.
  admin_listener(io_loop& loop, admin_service& service, const std::string& url);
  ~admin_listener();

private:
  class state;
  std::unique_ptr<state> m_state;
};

} // namespace kingcupslip

#endif
