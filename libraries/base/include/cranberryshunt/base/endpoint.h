// Addresses of the form "a.b.c.d:port".
#ifndef CRANBERRYSHUNT_BASE_ENDPOINT_H_
#define CRANBERRYSHUNT_BASE_ENDPOINT_H_

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace cranberryshunt {

// Returns nothing unless `text` is an IPv4 address in dotted decimal notation,
// a colon and a port from 1 to 65535 in decimal digits without leading zeros.
std::optional<sockaddr_in> ParseEndpoint(std::string_view text);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_ENDPOINT_H_
