// Finds the process that owns a loopback connection.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace cranberryshunt::test {

// Returns the inode of the 127.0.0.1 socket with these two ports, or an empty
// string. Asks the kernel for this one socket: reading the list of all sockets
// takes tens of milliseconds after thousands of short connections, during which
// the proxy could accept no connection.
std::string FindSocketInode(std::uint16_t local_port, std::uint16_t peer_port);

// Whether the process `pid` has the socket open. The process must run as the
// same user, as those started by this test do.
bool OwnsSocket(pid_t pid, const std::string& inode);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_SOCKET_OWNER_H_
