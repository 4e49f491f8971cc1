// The hook by which the core sends a message to another node.
#ifndef KINGCUPSLIP_CORE_MESSAGE_SENDER_HPP
#define KINGCUPSLIP_CORE_MESSAGE_SENDER_HPP

#include "kingcupslip/wire/generated/messages.hpp"

#include <functional>
#include <string>

namespace kingcupslip {

/// Sends a message to a node by name.
using message_sender =
    std::function<void(const std::string& node, wire::payloadUnion body)>;

} // namespace kingcupslip

#endif
