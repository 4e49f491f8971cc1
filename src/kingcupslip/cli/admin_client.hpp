// Calls to a node's administration API, for the operators' program.
#ifndef KINGCUPSLIP_CLI_ADMIN_CLIENT_HPP
#define KINGCUPSLIP_CLI_ADMIN_CLIENT_HPP

#include <cstdint>
#include <string>

namespace kingcupslip {

struct admin_reply {
  std::uint16_t status = 0; ///< 0: no answer
  std::string body;         ///< JSON, or what went wrong
};

/// Waits for each answer; meant for a program that does one thing.
class admin_client {
public:
  admin_client(std::string url, std::string token);

  /// `operation` and `if_match` are left out where empty.
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
