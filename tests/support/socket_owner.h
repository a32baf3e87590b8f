// Finds the process behind a connection on loopback.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace cranberryshunt::test {

// Inode of the socket of 127.0.0.1 that connects these two ports, or an empty
// string. Asks the kernel for this one socket: reading the list of all takes
// tens of milliseconds after thousands of short connections, and the proxy can
// accept nothing in that time.
std::string InodeOf(std::uint16_t local_port, std::uint16_t peer_port);

// Whether the process `pid`, started by this test, has the socket open.
bool OwnsSocket(pid_t pid, const std::string& inode);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_
