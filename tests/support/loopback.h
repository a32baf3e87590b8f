// Loopback addresses that no other process uses.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_

#include <unistd.h>

#include <string>

namespace cranberryshunt::test {

// The `n`-th address of the loopback network 127.0.0.0/8 that belongs to this
// process as long as it lives, so that tests which run at the same time share
// no ports. `n` is below 200. Process ids have 15 bits unless a machine was set
// up for more.
inline std::string LoopbackIp(int n) {
  constexpr int kFirst = 16;  // Keeps 127.0.0.1 to others.
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
