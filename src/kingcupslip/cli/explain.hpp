// Explains what became of a request, from the log lines of any nodes.
#ifndef KINGCUPSLIP_CLI_EXPLAIN_HPP
#define KINGCUPSLIP_CLI_EXPLAIN_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Reads lines one by one and keeps only those of one request, so that logs
/// of any size can be read. Text before a line's first brace is skipped.
class request_explainer {
public:
  explicit request_explainer(std::string request_id)
      : m_request_id(std::move(request_id)) {}

  void read(std::istream& lines);
  void add_line(const std::string& line);

  bool found() const { return !m_lines.empty(); }
  /// Lines that the nodes left out, by name of the event.
  const std::map<std::string, std::uint64_t>& suppressed_lines() const {
    return m_suppressed_lines;
  }

  /// The request's lines in order of time, and its cause in a sentence.
  std::string as_text() const;
  /// {"request", "cause", "lines": [...], "left_out": {...}}
  std::string as_json() const;
  /// The cause in a sentence; where the request is not in the lines, that.
  std::string cause() const;

private:
  std::vector<nlohmann::json> lines_by_time() const;

  std::string m_request_id;
  std::vector<nlohmann::json> m_lines;
  std::map<std::string, std::uint64_t> m_suppressed_lines;
};

} // namespace kingcupslip

#endif
