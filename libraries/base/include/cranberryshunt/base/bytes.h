// Checksums, digests, random identifiers and the comparison of secrets.
#ifndef CRANBERRYSHUNT_BASE_BYTES_H_
#define CRANBERRYSHUNT_BASE_BYTES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryshunt {

// CRC-32 (IEEE) of `bytes`.
std::uint32_t Crc32(std::string_view bytes);

// The first 63 bits of the SHA-256 digest of `bytes`, so that the value fits a
// signed 64-bit field.
std::int64_t Digest63(std::string_view bytes);

// SHA-256 digest of `bytes` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

// HMAC-SHA-256 of `message` under `key`, 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view message);

// `count` unpredictable bytes from the random generator of GnuTLS.
std::string RandomBytes(std::size_t count);

// A random number other than 0.
std::int64_t RandomNumber();

// A random identifier: `prefix` followed by 24 hexadecimal digits.
std::string RandomId(std::string_view prefix);

// Compares two values in a time that does not depend on where they differ.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_BYTES_H_
