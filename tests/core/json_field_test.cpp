// Tests the bounds on JSON that other processes have written.
#include "kingcupslip/core/json_field.hpp"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <string>

using namespace kingcupslip;

namespace {

constexpr std::size_t text_bytes = 4UL * 1024 * 1024;

std::string repeated(const std::string& part) {
  std::string out;
  while (out.size() < text_bytes) {
    out += part;
  }
  return out;
}

} // namespace

// clang-format off
TEST_GROUP(json_field){
};
// clang-format on

TEST(json_field, sound_text_is_parsed_in_full) {
  const std::string text =
      R"({"rows":[{"key":"a","value":"b","record-version":7}],"n":[1,[2]]})";
  CHECK(parse_foreign_json(text) == nlohmann::json::parse(text));
  CHECK(parse_foreign_json("").is_discarded());
  CHECK(parse_foreign_json("{").is_discarded());
  CHECK(parse_foreign_json("\xff").is_discarded());
}

// A value takes sixteen bytes and an array eighty: four megabytes of brackets
// took more than the memory of a node.
TEST(json_field, text_whose_values_take_too_much_memory_is_not_parsed) {
  CHECK(parse_foreign_json(repeated("[")).is_discarded());
  CHECK(parse_foreign_json("[" + repeated("[],") + "0]").is_discarded());
  CHECK(parse_foreign_json("[" + repeated("0,") + "0]").is_discarded());
  CHECK(parse_foreign_json("[" + repeated("{},") + "0]").is_discarded());
  CHECK(parse_foreign_json(repeated("{\"a\":")).is_discarded());
}
