// Digests, message authentication codes and constant-time comparison (OpenSSL).
#ifndef KINGCUPSLIP_CORE_DIGEST_HPP
#define KINGCUPSLIP_CORE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of `data` with the key `secret`, as 64 lower-case hexadecimal
/// digits.
std::string hmac_hex(std::string_view secret, std::string_view data);

/// Compares two strings without branches that depend on their contents. Their
/// lengths are not protected.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// The first 64 bits of the SHA-256 of `data`.
std::uint64_t digest64(std::string_view data);

/// A fast 64-bit hash for placement decisions, equal on every node.
std::uint64_t placement_hash(std::string_view data);

} // namespace kingcupslip

#endif
