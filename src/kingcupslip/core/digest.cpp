// Implements digests with OpenSSL's EVP interface.
#include "kingcupslip/core/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstddef>

namespace kingcupslip {

namespace {

constexpr std::size_t sha256_bytes = 32;
using sha256_value = std::array<unsigned char, sha256_bytes>;

sha256_value sha256(std::string_view data) {
  sha256_value out{};
  unsigned int n = 0;
  EVP_Digest(data.data(), data.size(), out.data(), &n, EVP_sha256(), nullptr);
  return out;
}

std::string to_hex(const sha256_value& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const unsigned char b : bytes) {
    out += digits[b >> 4U];
    out += digits[b & 15U];
  }
  return out;
}

} // namespace

std::string sha256_hex(std::string_view data) { return to_hex(sha256(data)); }

std::string hmac_hex(std::string_view secret, std::string_view data) {
  sha256_value out{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       out.data(), &n);
  return to_hex(out);
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t digest64(std::string_view data) {
  const sha256_value bytes = sha256(data);
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < sizeof(out); ++i) {
    out = (out << 8U) | bytes[i];
  }
  return out;
}

std::uint64_t placement_hash(std::string_view data) {
  // FNV-1a with a final avalanche step, because rendezvous hashing compares
  // the high bits.
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : data) {
    h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  h ^= h >> 33U;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33U;
  return h;
}

} // namespace kingcupslip
