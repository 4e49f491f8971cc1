// Aligned columns of text, for people.
#ifndef KINGCUPSLIP_CLI_TEXT_TABLE_HPP
#define KINGCUPSLIP_CLI_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace kingcupslip {

using text_row = std::vector<std::string>;

/// Lines of `rows` under `head`, each column as wide as its widest cell.
std::string render_table(const text_row& header_row,
                         const std::vector<text_row>& rows);

} // namespace kingcupslip

#endif
