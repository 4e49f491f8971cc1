// Conversion between HTTP and the requests of the administration service.
#include "kingcupslip/daemon/admin_listener.hpp"

#include <boost/asio/post.hpp>
#include <cpprest/http_listener.h>

#include <cstddef>
#include <utility>

namespace kingcupslip {

namespace {

namespace rest = web::http;

constexpr std::size_t max_body_bytes = 256UL * 1024;

std::string header_value(const rest::http_request& r, const std::string& name) {
  const rest::http_headers::const_iterator it = r.headers().find(name);
  return it == r.headers().end() ? std::string() : it->second;
}

void reply(const rest::http_request& request, const admin_response& a) {
  rest::http_response out(a.status);
  out.set_body(a.body, "application/json");
  request.reply(out);
}

} // namespace

/// Owns the HTTP listener and passes its requests to the service.
class admin_listener::state {
public:
  state(io_loop& loop, admin_service& service, const std::string& url)
      : m_loop(loop), m_service(service), m_listener(url) {
    m_listener.support([this](const rest::http_request& r) { on_request(r); });
    m_listener.open().wait();
  }

  void close() { m_listener.close().wait(); }

private:
  void on_request(rest::http_request request) {
    if (request.headers().content_length() > max_body_bytes) {
      reply(request, {413, R"({"error":"the body is too large"})"});
      return;
    }
    request.extract_utf8string(true).then(
        [this, request](const pplx::task<std::string>& t) {
          admin_request r;
          try {
            r.body = t.get();
          } catch (const std::exception&) {
            reply(request, {400, R"({"error":"the body cannot be read"})"});
            return;
          }
          r.method = request.method();
          r.path = request.request_uri().path();
          r.authorization = header_value(request, "Authorization");
          r.operation = header_value(request, "Operation-Id");
          r.if_match = header_value(request, "If-Match");
          boost::asio::post(m_loop, [this, request, r] {
            m_service.handle(
                r, [request](const admin_response& a) { reply(request, a); });
          });
        });
  }

  io_loop& m_loop;
  admin_service& m_service;
  rest::experimental::listener::http_listener m_listener;
};

admin_listener::admin_listener(io_loop& loop, admin_service& service,
                               const std::string& url)
    : m_state(std::make_unique<state>(loop, service, url)) {}

admin_listener::~admin_listener() { m_state->close(); }

} // namespace kingcupslip
