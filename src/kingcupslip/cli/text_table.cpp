// Column widths and padding of text tables.
#include "kingcupslip/cli/text_table.hpp"

#include <algorithm>
#include <cstddef>

namespace kingcupslip {

namespace {

void append_line(std::string& out, const text_row& row,
                 const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    line.append(widths[i] - row[i].size() + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out += line + "\n";
}

} // namespace

std::string render_table(const text_row& header_row,
                         const std::vector<text_row>& rows) {
  std::vector<std::size_t> widths(header_row.size(), 0);
  for (std::size_t i = 0; i < header_row.size(); ++i) {
    widths[i] = header_row[i].size();
    for (const text_row& row : rows) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  append_line(out, header_row, widths);
  for (const text_row& row : rows) {
    append_line(out, row, widths);
  }
  return out;
}

} // namespace kingcupslip
