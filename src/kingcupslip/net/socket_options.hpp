// Options that are set on every TCP connection of a node.
#ifndef KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP
#define KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace kingcupslip {

/// Disables Nagle's algorithm, and tunes keep-alive so that a connection of
/// which a device on the path has lost track is detected within about four
/// seconds, even while a request is running on it. Errors are ignored: the
/// connection works without the options.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// The same without the user timeout, which also ends the connection of a peer
/// that acknowledges but does not read: callers may read slowly. A connection
/// that is lost while bytes for the peer are on their way is not detected.
void set_caller_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace kingcupslip

#endif
