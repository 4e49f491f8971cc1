// Table reads and transactions as HTTP requests.
#include "kingcupslip/net/table_client.hpp"

#include "kingcupslip/core/http_status.hpp"
#include "kingcupslip/core/json_field.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace kingcupslip {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds call_timeout{2000};

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

std::vector<table_row> rows_from_json(const json& body) {
  std::vector<table_row> out;
  if (!body.is_array()) {
    return out;
  }
  for (const json& it : body) {
    out.push_back({text_field(it, "key"), text_field(it, "value"),
                   unsigned_field(it, "version")});
  }
  return out;
}

json body_of(const target_result& r) {
  const char* text = reinterpret_cast<const char*>(r.body.data());
  return parse_foreign_json({text, r.body.size()});
}

table_status commit_status(const target_result& r) {
  if (r.end == exchange_end::not_connected) {
    return table_status::unavailable;
  }
  if (r.end != exchange_end::answered) {
    return table_status::unknown;
  }
  switch (r.status) {
  case http_status::ok:
    return table_status::ok;
  case http_status::conflict:
    return table_status::conflict;
  case http_status::unavailable:
    return table_status::unavailable;
  default:
    return table_status::unknown;
  }
}

} // namespace

table_client::table_client(io_loop& loop,
                           const boost::asio::ip::tcp::endpoint& table)
    : m_client(loop, table) {}

table_hooks table_client::hooks() {
  table_hooks out;
  out.read = [this](const table_query& q, read_handler handler) {
    read(q, std::move(handler));
  };
  out.commit = [this](const table_transaction& t, commit_handler handler) {
    commit(t, std::move(handler));
  };
  return out;
}

void table_client::read(const table_query& q, read_handler handler) {
  ++m_reads;
  const json body{
      {"prefix", q.prefix}, {"after", q.after}, {"most", q.row_limit}};
  post("/read", body.dump(), [handler](const target_result& r) {
    const bool ok =
        r.end == exchange_end::answered && r.status == http_status::ok;
    if (ok) {
      handler(table_status::ok, rows_from_json(body_of(r)));
    } else {
      handler(table_status::unavailable, {});
    }
  });
}

void table_client::commit(const table_transaction& transaction,
                          commit_handler handler) {
  ++m_commits;
  post("/commit", to_json(transaction).dump(),
       [handler](const target_result& r) {
         const table_status status = commit_status(r);
         const bool ok = status == table_status::ok;
         handler(status, ok ? unsigned_field(body_of(r), "version") : 0);
       });
}

void table_client::post(const std::string& path, const std::string& body,
                        http_client::result_handler handler) {
  target_request r;
  r.method = "POST";
  r.path = path;
  r.headers.push_back({"Content-Type", "application/json"});
  r.body.assign(body.begin(), body.end());
  r.time_left = call_timeout;
  // Answers carry no request id, and a copy of an earlier one must not count
  // as the result of another call.
  r.exclusive_connection = true;
  m_client.send(++m_last_request_id, std::move(r), std::move(handler));
}

} // namespace kingcupslip
