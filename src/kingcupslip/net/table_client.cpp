// Table reads and transactions as HTTP requests.
#include "kingcupslip/net/table_client.hpp"

#include "kingcupslip/core/json_field.hpp"

#include <boost/asio/post.hpp>
#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;
namespace rest = web::http;

constexpr std::chrono::milliseconds call_timeout{2000};

rest::client::http_client_config client_config() {
  rest::client::http_client_config out;
  out.set_timeout(call_timeout);
  return out;
}

json to_json(const table_transaction& transaction) {
  json out = json::array();
  for (const table_write& it : transaction) {
    json w{{"key", it.key},
           {"version", it.expected_version},
           {"check_only", it.check_only}};
    if (it.value) {
      w["value"] = *it.value;
    }
    out.push_back(std::move(w));
  }
  return out;
}

std::vector<table_row> rows_from_json(const json& list) {
  std::vector<table_row> out;
  if (!list.is_array()) {
    return out;
  }
  for (const json& it : list) {
    out.push_back({text_field(it, "key"), text_field(it, "value"),
                   unsigned_field(it, "version")});
  }
  return out;
}

/// Status and body of an HTTP response.
struct raw_response {
  std::uint16_t status = 0;
  std::string body;
};

} // namespace

/// State of the client. Shared with calls in progress, which may outlive the
/// client.
class table_client::state : public std::enable_shared_from_this<state> {
public:
  state(io_loop& loop, const std::string& url)
      : m_loop(&loop), m_client(url, client_config()) {}

  void read(const table_query& q, read_handler handler) {
    ++reads;
    const json body{
        {"prefix", q.prefix}, {"after", q.after}, {"most", q.row_limit}};
    post("/read", body.dump(), [handler](std::optional<raw_response> a) {
      if (!a || a->status != rest::status_codes::OK) {
        handler(table_status::unavailable, {});
        return;
      }
      handler(table_status::ok,
              rows_from_json(json::parse(a->body, nullptr, false)));
    });
  }

  void commit(const table_transaction& transaction, commit_handler handler) {
    ++commits;
    post("/commit", to_json(transaction).dump(),
         [handler](std::optional<raw_response> a) {
           if (!a) {
             handler(table_status::unknown, 0);
           } else if (a->status == rest::status_codes::OK) {
             const json value = json::parse(a->body, nullptr, false);
             handler(table_status::ok, unsigned_field(value, "version"));
           } else if (a->status == rest::status_codes::Conflict) {
             handler(table_status::conflict, 0);
           } else {
             handler(a->status == rest::status_codes::ServiceUnavailable
                         ? table_status::unavailable
                         : table_status::unknown,
                     0);
           }
         });
  }

  /// Detaches from the loop, which may be destroyed once this has returned,
  /// while calls are still in progress in the library's thread pool.
  void stop() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_loop = nullptr;
  }

  std::atomic<std::uint64_t> reads{0};
  std::atomic<std::uint64_t> commits{0};

private:
  template <class Handler>
  void post(const std::string& path, const std::string& body, Handler handler) {
    const std::shared_ptr<state> self = shared_from_this();
    rest::http_request request(rest::methods::POST);
    request.set_request_uri(path);
    request.set_body(body, "application/json");
    m_client.request(request)
        .then([](const rest::http_response& r) {
          const std::uint16_t status = r.status_code();
          return r.extract_utf8string(true).then(
              [status](const std::string& text) {
                return raw_response{status, text};
              });
        })
        .then([self, handler](const pplx::task<raw_response>& t) {
          std::optional<raw_response> a;
          try {
            a = t.get();
          } catch (const std::exception&) {
            // No response: whether the call took effect is not known.
            a.reset();
          }
          self->post_to_loop([handler, a] { handler(a); });
        });
  }

  void post_to_loop(std::function<void()> callback) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_loop == nullptr) {
      return;
    }
    const std::shared_ptr<state> self = shared_from_this();
    boost::asio::post(*m_loop, [self, callback] {
      if (self->m_loop != nullptr) {
        callback();
      }
    });
  }

  std::mutex m_mutex;
  io_loop* m_loop;
  rest::client::http_client m_client;
};

table_client::table_client(io_loop& loop, const std::string& url)
    : m_state(std::make_shared<state>(loop, url)) {}

table_client::~table_client() { m_state->stop(); }

table_hooks table_client::hooks() {
  const std::shared_ptr<state> s = m_state;
  table_hooks out;
  out.read = [s](const table_query& q, read_handler handler) {
    s->read(q, std::move(handler));
  };
  out.commit = [s](const table_transaction& t, commit_handler handler) {
    s->commit(t, std::move(handler));
  };
  return out;
}

std::uint64_t table_client::reads() const { return m_state->reads; }

std::uint64_t table_client::commits() const { return m_state->commits; }

} // namespace kingcupslip
