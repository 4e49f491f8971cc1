// Golden files: compares the transcript of a test with its approved text.
#ifndef KINGCUPSLIP_TESTS_GOLDEN_HPP
#define KINGCUPSLIP_TESTS_GOLDEN_HPP

#include <string>

namespace kingcupslip {

/// Collects the lines of a transcript.
class transcript {
public:
  void line(const std::string& text) { m_text += text + "\n"; }
  const std::string& text() const { return m_text; }

private:
  std::string m_text;
};

/// Fails the test if `t` differs from tests/baselines/NAME.txt. If the
/// environment variable APPROVE is set, writes that file instead.
void check_golden(const std::string& name, const transcript& t);

} // namespace kingcupslip

#endif
