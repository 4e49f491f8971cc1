// Frames between nodes: a length, then a verified FlatBuffers message.
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

/// The frame for a message, length included (big-endian).
frame_bytes encode_frame(const wire::payloadUnion& body);

/// The length that a frame's head announces; nothing if it is too large.
std::optional<std::size_t> frame_length(const std::uint8_t* frame_header);

/// The message in a frame's bytes (without the head); nothing if the
/// verifier refuses them.
std::optional<wire::payloadUnion> decode_frame(const frame_bytes& bytes);

} // namespace kingcupslip

#endif
