// Tests peers whose frames do not end: the memory that they take together is
// bounded, and the messages of other peers arrive.
#include "kingcupslip/net/peer_network.hpp"

#include "kingcupslip/core/digest.hpp"
#include "kingcupslip/net/frame.hpp"
#include "support/heap_bytes.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr const char* secret = "the-secret-of-both";
constexpr std::size_t peers = 10;
/// Of the bound on frames that are being received, with their growth.
constexpr std::size_t max_memory_growth = 48UL * 1024 * 1024;
/// Of a greeting of 4 KB, with the session.
constexpr std::size_t max_greeting_growth = 32UL * 1024;
constexpr std::size_t large_body_bytes = 9UL * 1024 * 1024;
constexpr std::size_t small_body_bytes = 1024;

node_identity identity(const std::string& name) {
  node_identity out;
  out.node = name;
  out.incarnation = 1;
  return out;
}

/// Greets as a node does, then sends the beginning of a frame.
class endless_peer {
public:
  endless_peer(io_loop& loop, std::uint16_t port, const std::string& name,
               std::size_t sent_bytes)
      : m_socket(loop), m_name(name), m_frame(frame_header_bytes + sent_bytes) {
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
      m_frame[i] = static_cast<std::uint8_t>(
          max_frame_bytes >> (8 * (frame_header_bytes - 1 - i)));
    }
    m_socket.connect({asio::ip::address_v4::loopback(), port});
    wire::helloT hello;
    hello.node = m_name;
    hello.nonce = "n";
    wire::payloadUnion body;
    body.Set(std::move(hello));
    m_hello = encode_frame(body);
    asio::async_write(m_socket, asio::buffer(m_hello),
                      [this](const error_code&, std::size_t) { read_hello(); });
  }

  bool closed = false;

private:
  void read_hello() {
    asio::async_read(m_socket, asio::buffer(m_header),
                     [this](const error_code&, std::size_t) {
                       m_body.resize(*frame_length(m_header.data()));
                       asio::async_read(m_socket, asio::buffer(m_body),
                                        [this](const error_code&, std::size_t) {
                                          send_proof();
                                        });
                     });
  }

  void send_proof() {
    std::optional<wire::payloadUnion> hello = decode_frame(m_body);
    wire::hello_proofT proof;
    proof.proof = hmac_hex(secret, "peer/" + m_name + "/dial/n/" +
                                       hello->Ashello()->nonce);
    wire::payloadUnion body;
    body.Set(std::move(proof));
    m_hello = encode_frame(body);
    asio::async_write(m_socket, asio::buffer(m_hello),
                      [this](const error_code&, std::size_t) {
                        asio::async_write(
                            m_socket, asio::buffer(m_frame),
                            [](const error_code&, std::size_t) {});
                        read_until_closed();
                      });
  }

  void read_until_closed() {
    m_socket.async_read_some(asio::buffer(m_header),
                             [this](const error_code& ec, std::size_t) {
                               ec ? void(closed = true) : read_until_closed();
                             });
  }

  tcp::socket m_socket;
  std::string m_name;
  frame_bytes m_frame;
  frame_bytes m_hello;
  frame_bytes m_body;
  std::array<std::uint8_t, frame_header_bytes> m_header{};
};

} // namespace

TEST_GROUP(endless_frame) {
  io_loop loop;
  std::vector<std::uint64_t> calls;
  std::size_t lost_connections = 0;
  std::string callee_address;

  peer_hooks hooks() {
    peer_hooks out;
    out.on_message = [this](const std::string&, wire::payloadUnion& body) {
      if (body.type == wire::payload::call) {
        calls.push_back(body.Ascall()->correlation);
      }
    };
    out.on_unsent = [](std::uint64_t) {};
    out.on_connection_lost = [this](const std::string&) { ++lost_connections; };
    out.address_of = [this](const std::string&) { return callee_address; };
    out.log = [](event_id, const event_fields&) {};
    return out;
  }

  static wire::payloadUnion call_with(std::size_t body_bytes) {
    wire::callT call;
    call.correlation = 7;
    call.body.resize(body_bytes);
    wire::payloadUnion out;
    out.Set(std::move(call));
    return out;
  }

  void run_until_calls(std::size_t n) {
    const instant end = read_clocks().now + milliseconds(5000);
    while (calls.size() < n && read_clocks().now < end) {
      loop.run_one_for(milliseconds(10));
    }
    UNSIGNED_LONGS_EQUAL(n, calls.size());
  }

  /// Returns how much memory frames took of which so much had arrived, without
  /// what their senders hold.
  std::size_t growth_with(std::size_t sent_bytes) {
    peer_network callee(loop, identity("callee"), secret, "127.0.0.1", 0,
                        hooks());
    std::vector<std::unique_ptr<endless_peer>> senders;
    for (std::size_t i = 0; i < peers; ++i) {
      senders.push_back(std::make_unique<endless_peer>(
          loop, callee.port(), "peer-" + std::to_string(i), sent_bytes));
    }
    const std::size_t heap_before = heap_bytes();
    std::size_t growth = 0;
    const instant end = read_clocks().now + milliseconds(1000);
    while (read_clocks().now < end) {
      loop.run_one_for(milliseconds(10));
      const std::size_t now_used = heap_bytes();
      growth = std::max(growth, now_used - std::min(now_used, heap_before));
    }
    callee_address = "127.0.0.1:" + std::to_string(callee.port());
    peer_network sound(loop, identity("sound"), secret, "127.0.0.1", 0,
                       hooks());
    sound.send("callee", call_with(0));
    loop.run_for(milliseconds(300));
    return growth;
  }
};

// Memory was taken for the announced length of each frame.
TEST(endless_frame, memory_grows_with_what_has_arrived) {
  const std::size_t growth = growth_with(1);
  CHECK_COMPARE(growth, <=, 8UL * 1024 * 1024);
  LONGS_EQUAL(1, calls.size());
}

TEST(endless_frame, frames_that_do_not_end_are_bounded_in_their_sum) {
  const std::size_t growth = growth_with(max_frame_bytes - 1);
  CHECK_COMPARE(growth, <=, max_memory_growth);
  LONGS_EQUAL(1, calls.size());
}

// A peer that has not proved the fleet's secret sends short frames only.
TEST(endless_frame, a_long_greeting_closes_its_connection) {
  peer_network callee(loop, identity("callee"), secret, "127.0.0.1", 0,
                      hooks());
  tcp::socket stranger(loop);
  stranger.connect({asio::ip::address_v4::loopback(), callee.port()});
  frame_bytes frame(1024UL * 1024);
  frame[1] = 0x10;
  asio::async_write(stranger, asio::buffer(frame),
                    [](const error_code&, std::size_t) {});
  bool closed = false;
  std::array<std::uint8_t, 4096> buf{};
  std::function<void()> read = [&] {
    stranger.async_read_some(asio::buffer(buf),
                             [&](const error_code& ec, std::size_t) {
                               ec ? void(closed = true) : read();
                             });
  };
  read();
  const std::size_t heap_before = heap_bytes();
  std::size_t growth = 0;
  const instant end = read_clocks().now + milliseconds(500);
  while (!closed && read_clocks().now < end) {
    loop.run_one_for(milliseconds(10));
    growth =
        std::max(growth, heap_bytes() - std::min(heap_bytes(), heap_before));
  }
  CHECK(closed);
  CHECK_COMPARE(growth, <=, max_greeting_growth);
}

// The memory of a large frame was kept by both ends as long as their connection
// was open.
TEST(endless_frame, memory_of_a_large_frame_is_released_after_it) {
  peer_network callee(loop, identity("callee"), secret, "127.0.0.1", 0,
                      hooks());
  callee_address = "127.0.0.1:" + std::to_string(callee.port());
  peer_network sender(loop, identity("sender"), secret, "127.0.0.1", 0,
                      hooks());
  sender.send("callee", call_with(0));
  run_until_calls(1);
  const std::size_t heap_before = heap_bytes();
  sender.send("callee", call_with(large_body_bytes));
  run_until_calls(2);
  loop.run_for(milliseconds(50));
  const std::size_t now_used = heap_bytes();
  CHECK_COMPARE(now_used - std::min(now_used, heap_before), <=,
                large_body_bytes / 2);
}

// Frames that had been received in full counted as unfinished ones when their
// senders began the next frame, and sound connections were closed.
TEST(endless_frame, large_frames_that_have_arrived_close_no_connection) {
  peer_network callee(loop, identity("callee"), secret, "127.0.0.1", 0,
                      hooks());
  callee_address = "127.0.0.1:" + std::to_string(callee.port());
  std::vector<std::unique_ptr<peer_network>> senders;
  for (std::size_t i = 0; i < peers; ++i) {
    senders.push_back(std::make_unique<peer_network>(
        loop, identity("sender-" + std::to_string(i)), secret, "127.0.0.1", 0,
        hooks()));
    senders.back()->send("callee", call_with(large_body_bytes));
    run_until_calls(i + 1);
  }
  for (const std::unique_ptr<peer_network>& it : senders) {
    it->send("callee", call_with(small_body_bytes));
  }
  run_until_calls(2 * peers);
  UNSIGNED_LONGS_EQUAL(0, lost_connections);
}
