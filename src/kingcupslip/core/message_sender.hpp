// The callback through which the core sends messages to other nodes.
#ifndef KINGCUPSLIP_CORE_MESSAGE_SENDER_HPP
#define KINGCUPSLIP_CORE_MESSAGE_SENDER_HPP

#include "kingcupslip/wire/generated/messages.hpp"

#include <functional>
#include <string>

namespace kingcupslip {

/// Sends a message to the node with the given name.
using message_sender =
    std::function<void(const std::string& node, wire::payloadUnion body)>;

} // namespace kingcupslip

#endif
