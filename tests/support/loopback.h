// Loopback addresses that no other process uses.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_

#include <unistd.h>

#include <string>

namespace cranberryshunt::test {

// An address of the loopback network 127.0.0.0/8 that belongs to this process
// as long as it lives, so that tests which run at the same time share no ports.
// Process ids have at most 22 bits.
inline std::string OwnLoopbackIp() {
  constexpr unsigned int kByte = 0xff;
  constexpr unsigned int kFirst = 0x40;  // Keeps 127.0.0.1 to others.
  const auto pid = static_cast<unsigned int>(getpid());
  return "127." + std::to_string(kFirst | (pid >> 16U & kByte)) + "." +
         std::to_string(pid >> 8U & kByte) + "." + std::to_string(pid & kByte);
}

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_LOOPBACK_H_
