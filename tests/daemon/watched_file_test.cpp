// Tests which changes of a file are noticed.
#include "kingcupslip/daemon/watched_file.hpp"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

using namespace kingcupslip;

namespace {

void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

} // namespace

// clang-format off
TEST_GROUP(watched_file) {
  std::string path;

  void setup() override {
    std::string name = "/tmp/watched_file_XXXXXX";
    close(mkstemp(name.data()));
    path = name;
    write_file(path, "one");
  }
  void teardown() override { std::remove(path.c_str()); }
};
// clang-format on

// Settings that named another service were read up to 5 s late.
TEST(watched_file, that_is_replaced_has_changed_until_it_is_read) {
  watched_file f(path);
  STRCMP_EQUAL("one", f.read()->c_str());
  CHECK_FALSE(f.changed());
  // The same size, as names of services may have.
  write_file(path + ".new", "two");
  LONGS_EQUAL(0, std::rename((path + ".new").c_str(), path.c_str()));
  CHECK(f.changed());
  STRCMP_EQUAL("two", f.read()->c_str());
  CHECK_FALSE(f.changed());
}

TEST(watched_file, that_is_written_in_place_has_changed) {
  watched_file f(path);
  f.read();
  std::ofstream(path, std::ios::app) << "more";
  CHECK(f.changed());
}

TEST(watched_file, that_is_removed_has_changed_once) {
  watched_file f(path);
  f.read();
  std::remove(path.c_str());
  CHECK(f.changed());
  CHECK_FALSE(f.read().has_value());
  CHECK_FALSE(f.changed());
  write_file(path, "one");
  CHECK(f.changed());
}
