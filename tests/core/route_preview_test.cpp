// Tests that the preview of a route tells what requests meet, and sends
// nothing.
#include "support/routed_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

namespace {

using std::chrono::seconds;

std::string left_out(const route_preview& p, const std::string& node) {
  for (const previewed_service& s : p.services) {
    for (const previewed_target& it : s.targets) {
      if (it.node == node) {
        return it.left_out;
      }
    }
  }
  return "not listed";
}

} // namespace

// clang-format off
TEST_GROUP(route_preview){
};
// clang-format on

TEST(route_preview, names_the_targets_and_why_others_are_left_out) {
  routed_fleet f(1);
  build_routed_fleet(f, 2);
  f.mark_out("dc-b", true);
  f.kill("a2");
  f.run_for(seconds(12));
  const route_preview p = f.at("a1").preview("t", "h", "/safe/x");
  CHECK(p.refused_for == reason::none);
  STRCMP_EQUAL("safe", p.route.c_str());
  STRCMP_EQUAL("", left_out(p, "a1").c_str());
  STRCMP_EQUAL("gone", left_out(p, "a2").c_str());
  STRCMP_EQUAL("out_of_service", left_out(p, "b1").c_str());
}

TEST(route_preview, names_what_would_be_refused) {
  routed_fleet f(1);
  build_routed_fleet(f, 1);
  const routed_node& n = f.at("a1");
  CHECK(n.preview("t", "h", "/none/x").refused_for == reason::unknown_service);
  CHECK(n.preview("", "h", "/safe/x").refused_for == reason::no_key);
  CHECK(n.preview("other", "h", "/safe/x").unknown_team);
  CHECK(n.preview("", "h", "/inner/x").refused_for == reason::none);
}

// Guards against a preview that takes tokens or sends requests.
TEST(route_preview, takes_nothing) {
  routed_fleet f(1);
  build_routed_fleet(f, 1, simple_routes(10, 5));
  const double tokens =
      f.at("a1").preview("t", "h", "/safe/x").quota_tokens.value_or(-1);
  CHECK(tokens >= 0);
  for (int i = 0; i < 100; ++i) {
    f.at("a1").preview("t", "h", "/safe/x");
  }
  DOUBLES_EQUAL(
      tokens, f.at("a1").preview("t", "h", "/safe/x").quota_tokens.value_or(-1),
      0.0);
  LONGS_EQUAL(0, f.target("a1").total_runs + f.target("b1").total_runs);
}
