// Tests what the operators' documents say of routes.
#include "platform/documents.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

namespace {

std::shared_ptr<const route_table> routes_of_kind(const std::string& kind) {
  return platform::decode_routes(
      R"({"version": "r1", "resources": [{"resource-kind": "routes",)"
      R"("metadata": {"name": "r"}, "spec": {"host": "h", "prefix": "/p/",)"
      R"("service": "s", "max-attempts": 2, "kind": ")" +
      kind + "\"}}]}");
}

} // namespace

// clang-format off
TEST_GROUP(documents){
};
// clang-format on

// A download that was lost at one target was not sent to another one.
TEST(documents, downloads_may_run_more_than_once) {
  CHECK(routes_of_kind("idempotent")->find_route("h", "/p/x")->idempotent);
  CHECK(routes_of_kind("download")->find_route("h", "/p/x")->idempotent);
}

TEST(documents, requests_of_an_unknown_kind_run_once) {
  for (const char* it : {"non_idempotent", "", "downloads", "IDEMPOTENT"}) {
    CHECK_FALSE(routes_of_kind(it)->find_route("h", "/p/x")->idempotent);
  }
}
