// Tests servers in a process that has no descriptor left for a connection.
#include "kingcupslip/net/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <sys/resource.h>

#include <fcntl.h>
#include <unistd.h>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Allows no further descriptor as long as it exists.
class no_descriptors {
public:
  no_descriptors() {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const int next = open("/dev/null", O_RDONLY | O_CLOEXEC);
    close(next);
    rlimit limit = m_before;
    limit.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  no_descriptors(const no_descriptors&) = delete;
  no_descriptors& operator=(const no_descriptors&) = delete;
  ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }

private:
  rlimit m_before{};
};

server_hooks no_hooks() {
  return {[](const caller_request&, const response_sender&) {}, nullptr,
          nullptr};
}

/// Runs the loop for a time; returns how many handlers ran.
std::size_t handlers_in(io_loop& loop, milliseconds span) {
  const instant end = read_clocks().now + span;
  std::size_t out = 0;
  while (read_clocks().now < end) {
    out += loop.run_one_for(milliseconds(10));
  }
  return out;
}

} // namespace

// clang-format off
TEST_GROUP(accept_error){
};
// clang-format on

// A server without a descriptor for the next connection tried again at once,
// and used a whole processor.
TEST(accept_error, a_server_out_of_descriptors_does_not_spin) {
  io_loop loop;
  http_server server(loop, "127.0.0.1", 0, {}, no_hooks());
  tcp::socket caller(loop);
  caller.open(tcp::v4());
  const std::uint16_t port = server.port();
  {
    const no_descriptors guard;
    caller.connect({asio::ip::address_v4::loopback(), port});
    CHECK_COMPARE(handlers_in(loop, milliseconds(200)), <=, 20);
    LONGS_EQUAL(0, server.connections());
  }
  handlers_in(loop, milliseconds(200));
  LONGS_EQUAL(1, server.connections());
}

// A server that waited to accept again wrote to its own memory after its end.
TEST(accept_error, a_server_may_end_while_it_waits_to_accept) {
  io_loop loop;
  std::unique_ptr<http_server> server = std::make_unique<http_server>(
      loop, "127.0.0.1", 0, server_limits{}, no_hooks());
  tcp::socket caller(loop);
  caller.open(tcp::v4());
  const std::uint16_t port = server->port();
  const no_descriptors guard;
  caller.connect({asio::ip::address_v4::loopback(), port});
  handlers_in(loop, milliseconds(30));
  server.reset();
  CHECK_COMPARE(handlers_in(loop, milliseconds(200)), <=, 20);
}
