// Golden files: a session's transcript against its approved text.
#ifndef KINGCUPSLIP_TESTS_GOLDEN_HPP
#define KINGCUPSLIP_TESTS_GOLDEN_HPP

#include <string>

namespace kingcupslip {

/// A transcript that a test writes line by line.
class transcript {
public:
  void line(const std::string& text) { m_text += text + "\n"; }
  const std::string& text() const { return m_text; }

private:
  std::string m_text;
};

/// Fails the test where `t` differs from tests/baselines/NAME.txt. With the
/// environment variable APPROVE set, writes the file instead.
void check_golden(const std::string& name, const transcript& t);

} // namespace kingcupslip

#endif
