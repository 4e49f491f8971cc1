// Frames between nodes: a length prefix and a FlatBuffers message.
#ifndef KINGCUPSLIP_NET_FRAME_HPP
#define KINGCUPSLIP_NET_FRAME_HPP

#include "kingcupslip/wire/generated/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kingcupslip {

using frame_bytes = std::vector<std::uint8_t>;

constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t max_frame_bytes = 10UL * 1024 * 1024;

/// Encodes a message as a frame: its length in 4 big-endian bytes, then the
/// message.
frame_bytes encode_frame(const wire::payloadUnion& body);

/// Reads the message length from a frame header; null if it is 0 or exceeds
/// `max_frame_bytes`.
std::optional<std::size_t> frame_length(const std::uint8_t* frame_header);

/// Decodes the bytes of a frame after its header; null if the FlatBuffers
/// verifier rejects them or they hold no message.
std::optional<wire::payloadUnion> decode_frame(const frame_bytes& bytes);

} // namespace kingcupslip

#endif
