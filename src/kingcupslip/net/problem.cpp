// Encoding of problem documents.
#include "kingcupslip/net/problem.hpp"

#include "kingcupslip/core/header_names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace kingcupslip {

namespace {

std::string problem_document(const outcome& o) {
  const reason_info& info = info_of(o.refusal_reason);
  return nlohmann::json{{"type", "about:blank"},
                        {"title", info.title},
                        {"status", o.status},
                        {"reason", info.name},
                        {"verdict", name_of(o.execution)}}
      .dump();
}

std::vector<header> forwarded_headers(const std::vector<header>& from) {
  std::vector<header> out;
  for (const header& it : from) {
    if (is_forwarded_to_caller(it.name)) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace

outcome to_http(outcome o) {
  o.headers = forwarded_headers(o.headers);
  if (o.refusal_reason != reason::none) {
    const std::string text = problem_document(o);
    o.body.assign(text.begin(), text.end());
    o.headers.push_back({"Content-Type", "application/problem+json"});
    if (info_of(o.refusal_reason).sends_retry_after) {
      const std::chrono::seconds wait =
          std::max(std::chrono::ceil<std::chrono::seconds>(o.retry_after),
                   std::chrono::seconds(1));
      o.headers.push_back({"Retry-After", std::to_string(wait.count())});
    }
  }
  o.headers.push_back(
      {std::string(header_names::verdict), std::string(name_of(o.execution))});
  return o;
}

} // namespace kingcupslip
