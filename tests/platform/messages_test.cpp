// Tests which check-ins and goodbyes are announcements of a target.
#include "platform/messages.hpp"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <array>
#include <string>

using namespace kingcupslip;
using nlohmann::json;

namespace {

json sound_check_in() {
  return {{"service", "svc"},
          {"address", "10.0.0.1:80"},
          {"zone", "dc-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-remaining-s", 0},
          {"sequence", 4},
          {"born", 1700000000000U}};
}

bool is_announcement(const std::string& path, const std::string& body) {
  caller_request r;
  r.method = "POST";
  r.request_target = path;
  r.body.assign(body.begin(), body.end());
  return platform::decode_announcement(r).has_value();
}

bool is_check_in(const json& body, const std::string& id = "i-1") {
  return is_announcement("/Instances.Heartbeat/" + id, body.dump());
}

bool is_goodbye(const std::string& body, const std::string& id = "i-1") {
  return is_announcement("/Instances.Deregister/" + id, body);
}

} // namespace

// clang-format off
TEST_GROUP(messages){
};
// clang-format on

// A check-in without a data centre or a version was taken for the target's.
TEST(messages, a_check_in_that_lacks_a_field_is_no_announcement) {
  CHECK(is_check_in(sound_check_in()));
  for (const char* name : {"service", "address", "zone", "version", "slots",
                           "state", "cold-remaining-s", "sequence"}) {
    json body = sound_check_in();
    body.erase(name);
    CHECK_FALSE_TEXT(is_check_in(body), name);
  }
  json body = sound_check_in();
  body.erase("born");
  CHECK_TEXT(is_check_in(body), "targets may leave their start time out");
}

// A start time of another type was taken for none.
TEST(messages, a_check_in_with_a_field_of_another_type_is_no_announcement) {
  const json fields = sound_check_in();
  for (const auto& field : fields.items()) {
    for (const json& value :
         {json(nullptr), json(true), json(-7), json(1.5), json(1e300),
          json::array({1}), json::object({{"a", 1}})}) {
      json body = sound_check_in();
      body[field.key()] = value;
      const bool is_number = field.value().is_number();
      const bool allowed = field.key() == "cold-remaining-s" && value == 1.5;
      if (!allowed) {
        CHECK_FALSE_TEXT(is_check_in(body), field.key().c_str());
      }
      body[field.key()] = is_number ? json("7") : json(7);
      CHECK_FALSE_TEXT(is_check_in(body), field.key().c_str());
    }
  }
}

TEST(messages, a_check_in_with_an_unknown_state_is_no_announcement) {
  for (const char* state : {"", "Ready", "resting", "ready "}) {
    json body = sound_check_in();
    body["state"] = state;
    CHECK_FALSE(is_check_in(body));
  }
}

// Requests name the instance in a header field. One without a name took the
// place of the target, whose requests then named no instance.
TEST(messages, an_instance_needs_a_name_that_fits_into_a_header) {
  for (const std::string& id :
       {std::string(), std::string("a/b"), std::string("a?b=c"),
        std::string("\xff\xfe"), std::string(1000, 'a')}) {
    CHECK_FALSE(is_check_in(sound_check_in(), id));
    CHECK_FALSE(is_goodbye("", id));
  }
}

// A goodbye that could not be read made all earlier instances of the name
// leave.
TEST(messages, a_goodbye_that_cannot_be_read_is_no_announcement) {
  for (const char* body : {"", "{}", R"({"born":1700000000000})",
                           R"({"born":0,"service":"svc"})"}) {
    CHECK_TEXT(is_goodbye(body), body);
  }
  for (const char* body :
       {"\xff{", "7", "[]", "null", "\"text\"", R"({"born":"1"})",
        R"({"born":-1})", R"({"born":1.5})", R"({"born":null})"}) {
    CHECK_FALSE_TEXT(is_goodbye(body), body);
  }
}
