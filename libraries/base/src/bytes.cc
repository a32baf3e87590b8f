#include "cranberryshunt/base/bytes.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <zlib.h>

#include <array>
#include <cassert>
#include <cstring>

namespace cranberryshunt {

namespace {

constexpr std::size_t kSha256Bytes = 32;
constexpr std::size_t kRandomIdBytes = 12;

std::array<unsigned char, kSha256Bytes> Sha256(std::string_view bytes) {
  std::array<unsigned char, kSha256Bytes> digest{};
  const int rc = gnutls_hash_fast(GNUTLS_DIG_SHA256, bytes.data(), bytes.size(),
                                  digest.data());
  assert(rc == 0);
  static_cast<void>(rc);
  return digest;
}

std::string Hex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    out += kDigits[value >> 4];
    out += kDigits[value & 15];
  }
  return out;
}

}  // namespace

std::uint32_t Crc32(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32_z(0, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()));
}

std::int64_t Digest63(std::string_view bytes) {
  const auto digest = Sha256(bytes);
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(value); ++i) {
    value = value << 8 | digest[i];
  }
  return static_cast<std::int64_t>(value >> 1);
}

std::string Sha256Hex(std::string_view bytes) {
  const auto digest = Sha256(bytes);
  return Hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::string HmacSha256(std::string_view key, std::string_view message) {
  std::string digest(kSha256Bytes, '\0');
  const int rc =
      gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(),
                       message.data(), message.size(), digest.data());
  assert(rc == 0);
  static_cast<void>(rc);
  return digest;
}

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  const int rc = gnutls_rnd(GNUTLS_RND_NONCE, bytes.data(), bytes.size());
  assert(rc == 0);
  static_cast<void>(rc);
  return bytes;
}

std::int64_t RandomNumber() {
  std::int64_t n = 0;
  while (n == 0) {
    std::memcpy(&n, RandomBytes(sizeof(n)).data(), sizeof(n));
  }
  return n;
}

std::string RandomId(std::string_view prefix) {
  return std::string(prefix) + Hex(RandomBytes(kRandomIdBytes));
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  // Digests of the values are compared, because they all have the same length:
  // the time must not reveal the length of the secret either.
  const auto left_digest = Sha256(left);
  const auto right_digest = Sha256(right);
  return gnutls_memcmp(left_digest.data(), right_digest.data(),
                       left_digest.size()) == 0;
}

}  // namespace cranberryshunt
