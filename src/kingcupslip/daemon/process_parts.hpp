// Small parts that both daemons are made of.
#ifndef KINGCUPSLIP_DAEMON_PROCESS_PARTS_HPP
#define KINGCUPSLIP_DAEMON_PROCESS_PARTS_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace kingcupslip {

boost::asio::ip::tcp::endpoint endpoint_of(const listen_address& a);

/// An answer of the process itself.
outcome plain_answer(std::uint16_t status, const std::string& type,
                     const std::string& text);

/// The file's text; null where it cannot be read.
std::optional<std::string> read_text(const std::string& file);

/// The same table, but `set_clock` runs before each answer is handed on:
/// answers come through the loop, long after their question.
table_hooks with_clock(const table_hooks& table,
                       const std::function<void()>& set_clock);

/// Seeded from the system's entropy.
member_table::random_source make_random();

} // namespace kingcupslip

#endif
