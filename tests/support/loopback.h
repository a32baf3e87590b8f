// Loopback addresses that no other test process uses.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_

#include <unistd.h>

#include <string>

namespace cranberryshunt::test {

// Returns the `n`-th loopback address (127.0.0.0/8) of this process, so that
// tests that run at the same time share no ports. `n` is below 200. The last
// two octets are the low 16 bits of the process id: unique among live processes
// as long as ids have no more bits. By default, they have 15.
inline std::string LoopbackIp(int n) {
  constexpr int kFirst = 16;  // Leaves 127.0.0.1 to others.
  constexpr unsigned int kByte = 0xff;
  const auto pid = static_cast<unsigned int>(getpid());
  return "127." + std::to_string(kFirst + n) + "." +
         std::to_string(pid >> 8U & kByte) + "." + std::to_string(pid & kByte);
}

inline std::string OwnLoopbackIp() {
  return LoopbackIp(0);
}

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_
