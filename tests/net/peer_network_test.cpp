// Tests connections between nodes that go silent while new ones work.
#include "kingcupslip/net/peer_network.hpp"

#include "kingcupslip/net/frame.hpp"
#include "support/heap_bytes.hpp"
#include "support/silent_relay.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;

node_identity identity(const std::string& name) {
  node_identity out;
  out.node = name;
  out.incarnation = 1;
  return out;
}

wire::payloadUnion call_with(std::uint64_t correlation) {
  wire::callT call;
  call.correlation = correlation;
  wire::payloadUnion body;
  body.Set(std::move(call));
  return body;
}

} // namespace

// clang-format off
TEST_GROUP(peer_network){
};
// clang-format on

TEST(peer_network, a_silent_connection_is_noticed_dropped_and_replaced) {
  io_loop loop;
  std::vector<std::uint64_t> calls;
  peer_hooks default_hooks;
  default_hooks.on_message = [&calls](const std::string&,
                                      wire::payloadUnion& body) {
    if (body.type == wire::payload::call) {
      calls.push_back(body.Ascall()->correlation);
    }
  };
  default_hooks.on_unsent = [](std::uint64_t) {};
  default_hooks.on_connection_lost = [](const std::string&) {};
  default_hooks.address_of = [](const std::string&) { return ""; };
  default_hooks.log = [](event_id, const event_fields&) {};
  peer_network callee(loop, identity("callee"), "the-secret-of-both",
                      "127.0.0.1", 0, default_hooks);
  silent_relay relay(loop, callee.port());

  bool quiet = false;
  int lost = 0;
  peer_hooks hooks = default_hooks;
  hooks.on_unresponsive = [&quiet](const std::string&, bool q) { quiet = q; };
  hooks.on_connection_lost = [&lost](const std::string&) { ++lost; };
  hooks.address_of = [&relay](const std::string&) {
    return "127.0.0.1:" + std::to_string(relay.port());
  };
  peer_network caller(loop, identity("caller"), "the-secret-of-both",
                      "127.0.0.1", 0, hooks);
  const auto run_for = [&loop, &caller](milliseconds span) {
    const instant end = read_clocks().now + span;
    while (read_clocks().now < end) {
      loop.run_for(milliseconds(20));
      caller.tick();
    }
  };
  caller.send("callee", call_with(1));
  run_for(milliseconds(200));
  LONGS_EQUAL(1, calls.size());
  relay.silence_open_connections();
  caller.send("callee", call_with(2));
  run_for(milliseconds(1300));
  CHECK(quiet);
  LONGS_EQUAL(0, lost);
  run_for(milliseconds(1500));
  LONGS_EQUAL(1, lost);
  CHECK_FALSE(quiet);
  caller.send("callee", call_with(3));
  run_for(milliseconds(200));
  LONGS_EQUAL(2, calls.size());
  LONGS_EQUAL(3, calls.back());
}

namespace {

/// Sends one whole call, then one of which only `n` bytes arrive. Returns the
/// calls that the other node got.
std::size_t calls_after_cut(std::size_t n) {
  io_loop loop;
  std::size_t calls = 0;
  bool lost = false;
  peer_hooks callee_hooks;
  callee_hooks.on_message = [&calls](const std::string&,
                                     const wire::payloadUnion& body) {
    calls += body.type == wire::payload::call ? 1 : 0;
  };
  callee_hooks.on_unsent = [](std::uint64_t) {};
  callee_hooks.on_connection_lost = [](const std::string&) {};
  callee_hooks.address_of = [](const std::string&) { return ""; };
  callee_hooks.log = [](event_id, const event_fields&) {};
  peer_hooks hooks = callee_hooks;
  callee_hooks.on_connection_lost = [&lost](const std::string&) {
    lost = true;
  };
  peer_network callee(loop, identity("callee"), "the-secret-of-both",
                      "127.0.0.1", 0, callee_hooks);
  silent_relay relay(loop, callee.port());
  hooks.address_of = [&relay](const std::string&) {
    return "127.0.0.1:" + std::to_string(relay.port());
  };
  peer_network caller(loop, identity("caller"), "the-secret-of-both",
                      "127.0.0.1", 0, hooks);
  caller.send("callee", call_with(1));
  const instant give_up = read_clocks().now + milliseconds(3000);
  while (calls == 0 && read_clocks().now < give_up) {
    loop.run_one_for(milliseconds(10));
  }
  relay.close_open_connections_after(n);
  caller.send("callee", call_with(2));
  while (!lost && read_clocks().now < give_up) {
    loop.run_one_for(milliseconds(10));
  }
  CHECK(lost);
  return calls;
}

} // namespace

// A frame that its sender had not sent to the end was taken for a call.
TEST(peer_network, a_cut_frame_is_no_call) {
  const std::size_t frame_bytes = encode_frame(call_with(2)).size();
  for (std::size_t n = 0; n < frame_bytes; ++n) {
    LONGS_EQUAL(1, calls_after_cut(n));
  }
  LONGS_EQUAL(2, calls_after_cut(frame_bytes));
}

// Answers for a node that takes none of them filled the memory of the process.
TEST(peer_network, answers_for_a_peer_that_reads_nothing_are_bounded) {
  constexpr std::size_t answers = 200;
  constexpr std::size_t answer_bytes = 1024UL * 1024;
  constexpr std::size_t max_memory_growth = 64UL * 1024 * 1024;
  io_loop loop;
  boost::asio::ip::tcp::acceptor silent_peer(
      loop, {boost::asio::ip::address_v4::loopback(), 0});
  std::size_t dropped = 0;
  peer_hooks hooks;
  hooks.on_message = [](const std::string&, wire::payloadUnion&) {};
  hooks.on_unsent = [](std::uint64_t) {};
  hooks.on_connection_lost = [](const std::string&) {};
  hooks.address_of = [&silent_peer](const std::string&) {
    return "127.0.0.1:" + std::to_string(silent_peer.local_endpoint().port());
  };
  hooks.log = [&dropped](event_id id, const event_fields&) {
    dropped += id == event_id::frame_dropped ? 1 : 0;
  };
  peer_network network(loop, identity("node"), "the-secret-of-both",
                       "127.0.0.1", 0, hooks);
  const std::size_t before = heap_bytes();
  for (std::size_t i = 0; i < answers; ++i) {
    wire::replyT reply;
    reply.correlation = i + 1;
    reply.body.assign(answer_bytes, 'a');
    wire::payloadUnion body;
    body.Set(std::move(reply));
    network.send("peer", body);
  }
  CHECK(heap_bytes() <= before + max_memory_growth);
  CHECK(dropped > 0);
}

// A frame no longer counted once the first part of it was written.
TEST(peer_network, calls_that_are_written_in_part_are_bounded) {
  constexpr std::size_t peers = 10;
  constexpr std::size_t body_bytes = 9UL * 1024 * 1024;
  constexpr std::size_t max_memory_growth = 64UL * 1024 * 1024;
  io_loop loop;
  std::map<std::string, std::uint16_t> ports;
  std::size_t calls = 0;
  std::size_t unsent = 0;
  peer_hooks hooks;
  hooks.on_message = [&calls](const std::string&,
                              const wire::payloadUnion& body) {
    calls += body.type == wire::payload::call ? 1 : 0;
  };
  hooks.on_unsent = [&unsent](std::uint64_t) { ++unsent; };
  hooks.on_connection_lost = [](const std::string&) {};
  hooks.address_of = [&ports](const std::string& peer) {
    return "127.0.0.1:" + std::to_string(ports[peer]);
  };
  hooks.log = [](event_id, const event_fields&) {};
  peer_network caller(loop, identity("caller"), "the-secret-of-both",
                      "127.0.0.1", 0, hooks);
  std::vector<std::unique_ptr<peer_network>> callees;
  for (std::size_t i = 0; i < peers; ++i) {
    const std::string name = "callee-" + std::to_string(i);
    callees.push_back(std::make_unique<peer_network>(
        loop, identity(name), "the-secret-of-both", "127.0.0.1", 0, hooks));
    ports[name] = callees.back()->port();
    caller.send(name, call_with(1));
  }
  const instant give_up = read_clocks().now + milliseconds(3000);
  while (calls < peers && read_clocks().now < give_up) {
    loop.run_one_for(milliseconds(10));
  }
  UNSIGNED_LONGS_EQUAL(peers, calls);
  wire::payloadUnion large_call = call_with(2);
  large_call.Ascall()->body.resize(body_bytes);
  const std::size_t before = heap_bytes();
  for (const std::pair<const std::string, std::uint16_t>& it : ports) {
    caller.send(it.first, large_call);
  }
  CHECK_COMPARE(heap_bytes(), <=, before + max_memory_growth);
  CHECK(unsent > 0);
}

// Guards against an address that ends the process, or that is dialled, though
// its port is out of range or no number.
TEST(peer_network, an_address_without_a_valid_port_is_not_dialled) {
  io_loop loop;
  std::vector<std::uint64_t> unsent;
  std::string address;
  peer_hooks hooks;
  hooks.on_message = [](const std::string&, wire::payloadUnion&) {};
  hooks.on_unsent = [&unsent](std::uint64_t correlation) {
    unsent.push_back(correlation);
  };
  hooks.on_connection_lost = [](const std::string&) {};
  hooks.address_of = [&address](const std::string&) { return address; };
  hooks.log = [](event_id, const event_fields&) {};
  peer_network network(loop, identity("caller"), "the-secret-of-both",
                       "127.0.0.1", 0, hooks);
  std::uint64_t correlation = 0;
  const std::string own_port = std::to_string(network.port());
  for (const std::string& it : std::vector<std::string>{
           "127.0.0.1:" + own_port + "x", "127.0.0.1:" + own_port + " ",
           "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1",
           "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", ":80", "127.0.0.1:80x",
           "127.0.0.1: 80", "127.0.0.1:1e3", "[:80", "", ":"}) {
    address = it;
    network.send("peer", call_with(++correlation));
    loop.poll();
    loop.restart();
    LONGS_EQUAL(correlation, unsent.size());
  }
}

// Two nodes had a connection each to the other; when an idle one closed, the
// calls that ran on the other one failed.
TEST(peer_network, a_connection_that_closes_fails_no_call_on_another_one) {
  io_loop loop;
  std::uint16_t port_of_b = 0;
  std::uint16_t port_to_a = 0;
  std::size_t calls = 0;
  std::size_t lost = 0;
  peer_hooks hooks_of_a;
  hooks_of_a.on_message = [](const std::string&, const wire::payloadUnion&) {};
  hooks_of_a.on_unsent = [](std::uint64_t) {};
  hooks_of_a.on_connection_lost = [&lost](const std::string&) { ++lost; };
  hooks_of_a.address_of = [&port_of_b](const std::string&) {
    return "127.0.0.1:" + std::to_string(port_of_b);
  };
  hooks_of_a.log = [](event_id, const event_fields&) {};
  peer_hooks hooks_of_b = hooks_of_a;
  hooks_of_b.on_message = [&calls](const std::string&,
                                   const wire::payloadUnion& body) {
    calls += body.type == wire::payload::call ? 1 : 0;
  };
  hooks_of_b.on_connection_lost = [](const std::string&) {};
  hooks_of_b.address_of = [&port_to_a](const std::string&) {
    return "127.0.0.1:" + std::to_string(port_to_a);
  };
  peer_network a(loop, identity("a"), "the-secret-of-both", "127.0.0.1", 0,
                 hooks_of_a);
  peer_network b(loop, identity("b"), "the-secret-of-both", "127.0.0.1", 0,
                 hooks_of_b);
  silent_relay relay(loop, a.port());
  port_of_b = b.port();
  port_to_a = relay.port();
  a.send("b", call_with(1));
  b.send("a", call_with(2));
  const auto run_for = [&loop](milliseconds span) {
    const instant end = read_clocks().now + span;
    while (read_clocks().now < end) {
      loop.run_for(milliseconds(10));
    }
  };
  run_for(milliseconds(300));
  LONGS_EQUAL(1, calls);
  relay.close_open_connections_after(0);
  run_for(milliseconds(300));
  LONGS_EQUAL(0, lost);
  a.send("b", call_with(3));
  run_for(milliseconds(100));
  LONGS_EQUAL(2, calls);
}
