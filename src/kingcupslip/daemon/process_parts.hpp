// Small parts that both daemons are made of.
#ifndef KINGCUPSLIP_DAEMON_PROCESS_PARTS_HPP
#define KINGCUPSLIP_DAEMON_PROCESS_PARTS_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/daemon/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace kingcupslip {

boost::asio::ip::tcp::endpoint endpoint_of(const listen_address& a);

/// An answer of the process itself.
outcome plain_answer(std::uint16_t status, const std::string& type,
                     const std::string& text);

/// Seeded from the system's entropy.
member_table::random_source make_random();

} // namespace kingcupslip

#endif
