// The operators' administration API with JSON bodies, without its transport.
#ifndef KINGCUPSLIP_DAEMON_ADMIN_SERVICE_HPP
#define KINGCUPSLIP_DAEMON_ADMIN_SERVICE_HPP

#include "kingcupslip/core/node.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace kingcupslip {

/// One administration request.
struct admin_request {
  std::string method;
  std::string path;
  std::string body;
  std::string authorization;
  std::string operation; ///< header `Operation-Id`, which identifies repeats
  std::string if_match;  ///< header `If-Match`: the expected sequence
};

/// The response to an administration request.
struct admin_response {
  std::uint16_t status = 200;
  std::string body; ///< JSON
};

using admin_handler = std::function<void(admin_response)>;

/// Authorises administration requests and carries them out on the node. Runs
/// on the loop's thread, as the node does.
class admin_service {
public:
  admin_service(node& n, std::string operator_token, event_sink log);

  /// Handles one request; `handler` runs exactly once. A request without the
  /// operators' token gets status 401.
  void handle(const admin_request& request, admin_handler handler);

private:
  void handle_contracts(const admin_request& r, const std::string& team,
                        const admin_handler& handler);
  void handle_keys(const admin_request& r, const std::string& id,
                   const admin_handler& handler);
  void issue_key(const admin_request& r, const admin_handler& handler);
  void withdraw_key(const admin_request& r, const std::string& id,
                    const admin_handler& handler);
  void handle_out_marks(const admin_request& r, const std::string& kind,
                        const std::string& name, const admin_handler& handler);
  void send_status(const admin_handler& handler) const;
  void send_report(const admin_handler& handler);
  void write_item(const admin_request& r, const std::string& key,
                  const std::string& value, const std::string& response_json,
                  const admin_handler& handler);

  node& m_node;
  std::string m_operator_token;
  event_sink m_log;
};

} // namespace kingcupslip

#endif
