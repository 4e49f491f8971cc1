// Small parts that both daemons are made of.
#ifndef KINGCUPSLIP_DAEMON_DAEMON_COMMON_HPP
#define KINGCUPSLIP_DAEMON_DAEMON_COMMON_HPP

#include "kingcupslip/core/member_table.hpp"
#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/table.hpp"
#include "kingcupslip/daemon/settings.hpp"
#include "kingcupslip/net/http_client.hpp"
#include "kingcupslip/net/peer_network.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

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

/// How connections to other nodes reach a daemon's core. `core` sets the
/// core's clock and returns it.
template <class Core>
peer_hooks peer_hooks_for(const Core& core, const event_sink& log) {
  peer_hooks out;
  out.on_message = [core](const std::string& from, wire::payloadUnion& body) {
    core().on_message(from, body);
  };
  out.on_unsent = [core](std::uint64_t correlation) {
    core().on_call_unsent(correlation);
  };
  out.on_connection_lost = [core](const std::string& peer) {
    core().on_peer_lost(peer);
  };
  out.address_of = [core](const std::string& peer) {
    return core().address_of(peer);
  };
  out.log = log;
  return out;
}

/// How a core's target stage reaches its target, and hears of it.
template <class Core>
target_hooks target_hooks_for(const Core& core, http_client& target,
                              const event_sink& log) {
  target_hooks out;
  out.run = [core, &target](std::uint64_t run, target_request request) {
    target.send(run, std::move(request), [core, run](target_result r) {
      core().on_target_result(run, std::move(r));
    });
  };
  out.cancel = [&target](std::uint64_t run) { target.cancel(run); };
  out.log = log;
  return out;
}

/// Seeded from the system's entropy.
member_table::random_source make_random();

} // namespace kingcupslip

#endif
