#include "cranberryshunt/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace cranberryshunt {

std::optional<sockaddr_in> ParseEndpoint(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto ip = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  const char* const end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto [next, ec] = std::from_chars(digits.data(), end, port);
  // inet_pton() reads up to the first NUL.
  if (ec != std::errc() || next != end || digits.front() == '0' ||
      ip.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  if (inet_pton(AF_INET, std::string(ip).c_str(), &out.sin_addr) != 1) {
    return std::nullopt;
  }
  return out;
}

}  // namespace cranberryshunt
