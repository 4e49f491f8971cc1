// Tests that each error in the settings is reported with its line and with
// what was expected.
#include "kingcupslip/daemon/settings.hpp"
#include "support/golden.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

TEST_GROUP(settings){static std::string valid_settings(){
    return "node: n1\n"
           "data_centre: dc-1\n"
           "service: orders\n"
           "target: 127.0.0.1:9000\n"
           "callers: 127.0.0.1:9001\n"
           "peers: 127.0.0.1:9002\n"
           "announcements: 127.0.0.1:9003\n"
           "admin: 127.0.0.1:9004\n"
           "table_url: http://127.0.0.1:9005\n"
           "fleet_secret: 0123456789abcdef\n"
           "operator_token: 0123456789abcdef\n";
}

static std::string errors_in(const std::string& text) {
  const settings_result r = parse_settings(text);
  return r.has_value() ? "none\n" : to_text(r.error(), "node.yaml");
}
}
;

TEST(settings, accepts_a_complete_file) {
  STRCMP_EQUAL("none\n", errors_in(valid_settings()).c_str());
}

TEST(settings, reports_every_error) {
  transcript t;
  t.line("empty file");
  t.line(errors_in(""));
  t.line("not YAML");
  t.line(errors_in("node: [1\n"));
  t.line("unknown keys and wrong values");
  t.line(errors_in(valid_settings() + "colour: red\n"
                                      "log: loud\n"
                                      "drain_limit_ms: soon\n"
                                      "limits:\n"
                                      "  body_bytes: -1\n"
                                      "  heads: 3\n"
                                      "seeds:\n"
                                      "  - node: N1\n"));
  std::string text = valid_settings();
  text.replace(text.find("127.0.0.1:9001"), 14, "localhost:9001");
  text.replace(text.find("fleet_secret: 0123456789abcdef"), 30,
               "fleet_secret: short");
  t.line("wrong address and short secret");
  t.line(errors_in(text));
  check_golden("settings_faults", t);
}
