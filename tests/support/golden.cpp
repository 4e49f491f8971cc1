// Compares transcripts with golden files, or writes the files.
#include "golden.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace kingcupslip {

void check_golden(const std::string& name, const transcript& t) {
  const std::string file = std::string(BASELINES_DIR) + "/" + name + ".txt";
  if (std::getenv("APPROVE") != nullptr) {
    std::ofstream(file) << t.text();
    return;
  }
  std::ifstream in(file);
  std::ostringstream approved;
  approved << in.rdbuf();
  STRCMP_EQUAL(approved.str().c_str(), t.text().c_str());
}

} // namespace kingcupslip
