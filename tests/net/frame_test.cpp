// Tests that frames between nodes are decoded only if they hold a message.
#include "kingcupslip/net/frame.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace kingcupslip;

TEST_GROUP(frame){static wire::payloadUnion sample(){wire::callT c;
c.correlation = 42;
c.service = "svc";
c.path = "/list";
c.body.assign(100, 7);
wire::payloadUnion out;
out.Set(std::move(c));
return out;
}

static frame_bytes payload_of(const frame_bytes& f) {
  return frame_bytes(f.begin() + frame_header_bytes, f.end());
}
}
;

TEST(frame, round_trips_a_message) {
  const frame_bytes f = encode_frame(sample());
  LONGS_EQUAL(f.size() - frame_header_bytes, *frame_length(f.data()));
  std::optional<wire::payloadUnion> m = decode_frame(payload_of(f));
  CHECK_TRUE(m.has_value());
  LONGS_EQUAL(42, m->Ascall()->correlation);
  LONGS_EQUAL(100, m->Ascall()->body.size());
}

TEST(frame, refuses_empty_and_oversized_lengths) {
  const std::uint8_t zero[frame_header_bytes] = {0, 0, 0, 0};
  const std::uint8_t huge[frame_header_bytes] = {255, 255, 255, 255};
  CHECK_FALSE(frame_length(zero).has_value());
  CHECK_FALSE(frame_length(huge).has_value());
}

TEST(frame, refuses_every_truncation) {
  const frame_bytes whole = payload_of(encode_frame(sample()));
  for (std::size_t n = 0; n + 1 < whole.size(); ++n) {
    const frame_bytes truncated(whole.begin(),
                                whole.begin() + static_cast<std::ptrdiff_t>(n));
    decode_frame(truncated);
  }
  CHECK_FALSE(
      decode_frame(frame_bytes(whole.begin(), whole.begin() + 20)).has_value());
}

TEST(frame, survives_random_and_mutated_bytes) {
  std::mt19937_64 random(20'261'204);
  const frame_bytes whole = payload_of(encode_frame(sample()));
  int decoded = 0;
  for (int i = 0; i < 50'000; ++i) {
    frame_bytes bytes = whole;
    if (i % 2 == 0) {
      bytes.resize(random() % 300);
      for (std::uint8_t& b : bytes) {
        b = static_cast<std::uint8_t>(random());
      }
    } else {
      for (int k = 0; k < 4; ++k) {
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
      }
    }
    decoded += decode_frame(bytes).has_value() ? 1 : 0;
  }
  CHECK_COMPARE(decoded, <, 50'000);
}
