// Client of a node's administration API, for the operators' program.
#ifndef KINGCUPSLIP_CLI_ADMIN_CLIENT_HPP
#define KINGCUPSLIP_CLI_ADMIN_CLIENT_HPP

#include <cstdint>
#include <string>

namespace kingcupslip {

/// The result of a call.
struct admin_reply {
  std::uint16_t status = 0; ///< HTTP status; 0 if there was no response
  std::string body;         ///< JSON; an error message if `status` is 0
};

/// Calls the administration API. Each call blocks until its response
/// arrives, which suits a program that carries out a single command.
class admin_client {
public:
  admin_client(std::string url, std::string token);

  /// `body`, `operation` and `if_match` are not sent if empty. Errors are
  /// reported in the result, never thrown.
  admin_reply call(const std::string& method, const std::string& path,
                   const std::string& body = "",
                   const std::string& operation = "",
                   const std::string& if_match = "") const;

private:
  std::string m_url;
  std::string m_token;
};

} // namespace kingcupslip

#endif
