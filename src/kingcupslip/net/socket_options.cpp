// TCP keep-alive and user timeout.
#include "kingcupslip/net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kingcupslip {

namespace {

constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;

void set_tcp_option(int fd, int name, int value) {
  setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value));
}

} // namespace

void set_keepalive_options(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ec;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
  const int fd = socket.native_handle();
  set_tcp_option(fd, TCP_KEEPIDLE, keepalive_idle_s);
  set_tcp_option(fd, TCP_KEEPINTVL, keepalive_interval_s);
  set_tcp_option(fd, TCP_KEEPCNT, keepalive_probes);
}

void set_socket_options(boost::asio::ip::tcp::socket& socket) {
  set_keepalive_options(socket);
  set_user_timeout(socket, default_user_timeout);
}

void set_user_timeout(boost::asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds timeout) {
  set_tcp_option(socket.native_handle(), TCP_USER_TIMEOUT,
                 static_cast<int>(timeout.count()));
}

} // namespace kingcupslip
