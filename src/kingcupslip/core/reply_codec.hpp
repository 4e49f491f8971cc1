// Conversion of outcomes to and from the reply message between nodes.
#ifndef KINGCUPSLIP_CORE_REPLY_CODEC_HPP
#define KINGCUPSLIP_CORE_REPLY_CODEC_HPP

#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/wire/generated/messages.hpp"

#include <memory>
#include <vector>

namespace kingcupslip {

using wire_headers = std::vector<std::unique_ptr<wire::header_fieldT>>;

wire_headers to_wire(const std::vector<header>& headers);
std::vector<header> from_wire(const wire_headers& headers);

wire::replyT to_reply(std::uint64_t correlation, outcome o);

/// Converts a reply, moving out its body. A reply with an unknown verdict or
/// reason becomes `connection_lost` with `may_have_run`, because it proves
/// nothing about the execution.
outcome from_reply(wire::replyT& reply);

/// Copies a call; the generated type has no copy constructor.
wire::callT copy_of(const wire::callT& c);

} // namespace kingcupslip

#endif
