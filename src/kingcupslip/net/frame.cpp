// Encoding, verification and decoding of frames.
#include "kingcupslip/net/frame.hpp"

#include <memory>
#include <utility>

namespace kingcupslip {

frame_bytes encode_frame(const wire::payloadUnion& body) {
  flatbuffers::FlatBufferBuilder builder(512);
  const flatbuffers::Offset<void> packed = body.Pack(builder);
  builder.Finish(wire::Createmessage(builder, body.type, packed));
  const std::size_t n = builder.GetSize();
  frame_bytes out;
  out.reserve(frame_header_bytes + n);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<std::uint8_t>(n >> static_cast<unsigned>(shift)));
  }
  out.insert(out.end(), builder.GetBufferPointer(),
             builder.GetBufferPointer() + n);
  return out;
}

std::optional<std::size_t> frame_length(const std::uint8_t* frame_header) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < frame_header_bytes; ++i) {
    n = (n << 8U) | frame_header[i];
  }
  if (n == 0 || n > max_frame_bytes) {
    return std::nullopt;
  }
  return n;
}

std::optional<wire::payloadUnion> decode_frame(const frame_bytes& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifymessageBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::message* m = wire::Getmessage(bytes.data());
  if (m->body() == nullptr) {
    return std::nullopt;
  }
  wire::payloadUnion out;
  out.type = m->body_type();
  out.value = wire::payloadUnion::UnPack(m->body(), m->body_type(), nullptr);
  if (out.value == nullptr) {
    return std::nullopt;
  }
  return std::optional<wire::payloadUnion>(std::move(out));
}

} // namespace kingcupslip
