// Options that every TCP connection of a node gets.
#ifndef KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP
#define KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace kingcupslip {

/// No delay, and keep-alive tuned so that a connection which something in
/// between has lost track of is found within about four seconds, also while
/// a request is running on it. Errors are ignored: the connection works
/// without the options.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace kingcupslip

#endif
