// Digests, message authentication and comparison in constant time (OpenSSL).
#ifndef KINGCUPSLIP_CORE_DIGEST_HPP
#define KINGCUPSLIP_CORE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupslip {

/// SHA-256 of `data`, as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of `data` under `secret`, as 64 hexadecimal digits.
std::string hmac_hex(std::string_view secret, std::string_view data);

/// Compares without a data-dependent branch. Lengths are not secret.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// The first 64 bits of the SHA-256 of `data`.
std::uint64_t digest64(std::string_view data);

/// A fast 64-bit hash for placement; the same on every node.
std::uint64_t placement_hash(std::string_view data);

} // namespace kingcupslip

#endif
