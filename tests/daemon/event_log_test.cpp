// Tests the lines of the event log.
#include "kingcupslip/daemon/event_log.hpp"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

using namespace kingcupslip;

namespace {

/// Writes one event and returns what reached standard output.
std::string logged_line(log_format format, const event_fields& fields) {
  std::fflush(stdout);
  std::FILE* const file = std::tmpfile();
  const int standard_output = dup(STDOUT_FILENO);
  dup2(fileno(file), STDOUT_FILENO);
  std::string error;
  try {
    const event_sink log = make_event_log(format, "n1");
    log(event_id::request_refused, fields);
  } catch (const std::exception& e) {
    error = e.what();
  }
  dup2(standard_output, STDOUT_FILENO);
  close(standard_output);
  STRCMP_EQUAL("", error.c_str());
  std::rewind(file);
  std::array<char, 4096> text{};
  const std::size_t n = std::fread(text.data(), 1, text.size(), file);
  std::fclose(file);
  return std::string(text.data(), n);
}

} // namespace

// clang-format off
TEST_GROUP(event_log){
};
// clang-format on

// A request whose id was not UTF-8 ended the process that logged it.
TEST(event_log, a_field_that_is_not_utf8_is_logged) {
  const std::string line = logged_line(
      log_format::json, {{"request", "\xff\xfe"}, {"route", "safe"}});
  const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
  CHECK(parsed.is_object());
  STRCMP_EQUAL("\xef\xbf\xbd\xef\xbf\xbd", parsed.value("request", "").c_str());
  STRCMP_EQUAL("safe", parsed.value("route", "").c_str());
}

// A cut character at the end of a field must not swallow its closing quote.
TEST(event_log, a_field_that_ends_within_a_character_is_logged) {
  const std::string line =
      logged_line(log_format::json, {{"path", "/a\xe2\x82"}, {"route", "x"}});
  const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
  CHECK(parsed.is_object());
  STRCMP_EQUAL("x", parsed.value("route", "").c_str());
}
