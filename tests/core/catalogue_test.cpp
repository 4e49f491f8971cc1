// Tests that the documentation lists every reason and every event.
#include "kingcupslip/core/log_event.hpp"
#include "kingcupslip/core/reason.hpp"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace kingcupslip;

TEST_GROUP(catalogue){static std::string page(const std::string& name){
    std::ifstream in(std::string(BASELINES_DIR) + "/../../docs/" + name);
std::ostringstream out;
out << in.rdbuf();
return out.str();
}
}
;

TEST(catalogue, every_reason_is_on_the_callers_page_with_its_status) {
  const std::string text = page("callers.md");
  for (std::size_t i = 1; i < reason_count; ++i) {
    const reason_info& r = info_of(static_cast<reason>(i));
    const std::string row = "| `" + std::string(r.name) + "` | " +
                            std::to_string(r.http_status) + " |";
    STRCMP_CONTAINS(row.c_str(), text.c_str());
  }
}

TEST(catalogue, every_event_is_on_the_events_page) {
  const std::string text = page("events.md");
  for (const event_info& it : all_events()) {
    const std::string row = "| " + std::to_string(static_cast<int>(it.id)) +
                            " | `" + std::string(it.name) + "` |";
    STRCMP_CONTAINS(row.c_str(), text.c_str());
  }
}
