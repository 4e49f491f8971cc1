// Explains the end of a request from the nodes' log lines.
#ifndef KINGCUPSLIP_CLI_EXPLAIN_HPP
#define KINGCUPSLIP_CLI_EXPLAIN_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace kingcupslip {

/// Collects the log lines of one request and derives the cause of its end.
/// Reads lines one by one and keeps only those of the request, so that logs
/// of any size can be read. Text before a line's first brace is skipped.
class request_explainer {
public:
  explicit request_explainer(std::string request_id)
      : m_request_id(std::move(request_id)) {}

  void read(std::istream& lines);
  void add_line(const std::string& line);

  bool found() const { return !m_lines.empty(); }
  /// Numbers of lines that the nodes did not write, by name of the event.
  const std::map<std::string, std::uint64_t>& suppressed_lines() const {
    return m_suppressed_lines;
  }

  /// The request's lines in order of time, and the cause in one sentence.
  std::string as_text() const;
  /// {"request", "cause", "lines": [...], "left_out": {...}}
  std::string as_json() const;
  /// The cause of the request's end in one sentence, or a sentence that says
  /// that the lines do not contain it.
  std::string cause() const;

private:
  std::vector<nlohmann::json> lines_by_time() const;

  std::string m_request_id;
  std::vector<nlohmann::json> m_lines;
  std::map<std::string, std::uint64_t> m_suppressed_lines;
};

} // namespace kingcupslip

#endif
