// The version of this source.
#ifndef KINGCUPSLIP_VERSION_HPP
#define KINGCUPSLIP_VERSION_HPP

#include <string_view>

namespace kingcupslip {

constexpr std::string_view version = "0.1.0";

} // namespace kingcupslip

#endif
