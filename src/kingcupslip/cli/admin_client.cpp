// The administration client on cpprestsdk.
#include "kingcupslip/cli/admin_client.hpp"

#include <cpprest/http_client.h>

#include <exception>
#include <utility>

namespace kingcupslip {

namespace {

namespace rest = web::http;

constexpr std::chrono::seconds call_timeout{15};

} // namespace

admin_client::admin_client(std::string url, std::string token)
    : m_url(std::move(url)), m_token(std::move(token)) {}

admin_reply admin_client::call(const std::string& method,
                               const std::string& path, const std::string& body,
                               const std::string& operation,
                               const std::string& if_match) const {
  rest::client::http_client_config config;
  config.set_timeout(call_timeout);
  rest::http_request request(method);
  request.set_request_uri(path);
  request.headers().add("Authorization", "Bearer " + m_token);
  if (!operation.empty()) {
    request.headers().add("Operation-Id", operation);
  }
  if (!if_match.empty()) {
    request.headers().add("If-Match", if_match);
  }
  if (!body.empty()) {
    request.set_body(body, "application/json");
  }
  try {
    rest::client::http_client client(m_url, config);
    const rest::http_response r = client.request(request).get();
    return {r.status_code(), r.extract_utf8string(true).get()};
  } catch (const std::exception& e) {
    return {0, e.what()};
  }
}

} // namespace kingcupslip
