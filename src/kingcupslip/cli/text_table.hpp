// Text tables with aligned columns.
#ifndef KINGCUPSLIP_CLI_TEXT_TABLE_HPP
#define KINGCUPSLIP_CLI_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace kingcupslip {

using text_row = std::vector<std::string>;

/// Renders `rows` below `header_row`, each column as wide as its widest cell.
/// Every row has as many cells as `header_row`.
std::string render_table(const text_row& header_row,
                         const std::vector<text_row>& rows);

} // namespace kingcupslip

#endif
