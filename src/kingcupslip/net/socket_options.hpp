// Options that are set on every TCP connection of a node.
#ifndef KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP
#define KINGCUPSLIP_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace kingcupslip {

/// How long bytes for a peer may stay unacknowledged or, while the peer reads
/// nothing, unsent.
constexpr std::chrono::milliseconds default_user_timeout{4000};

/// Disables Nagle's algorithm, and tunes keep-alive and the user timeout so
/// that a connection of which a device on the path has lost track is detected
/// within about four seconds, even while a request is running on it. Errors are
/// ignored: the connection works without the options.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// The same without the user timeout, which also ends the connection of a peer
/// that acknowledges but does not read, as callers and targets may. A
/// connection that is lost while bytes for the peer are on their way is not
/// detected.
void set_keepalive_options(boost::asio::ip::tcp::socket& socket);

/// 0: none. Errors are ignored.
void set_user_timeout(boost::asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds timeout);

} // namespace kingcupslip

#endif
