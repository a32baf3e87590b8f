// Processor time of the named threads of this process.
#ifndef CRANBERRYSHUNT_BASE_THREAD_TIMES_H_
#define CRANBERRYSHUNT_BASE_THREAD_TIMES_H_

#include <chrono>
#include <map>
#include <string>

namespace cranberryshunt {

// Names the calling thread until destroyed. Threads may share a name.
class ScopedThreadName {
 public:
  explicit ScopedThreadName(std::string name);
  ~ScopedThreadName();
  ScopedThreadName(const ScopedThreadName&) = delete;
  ScopedThreadName& operator=(const ScopedThreadName&) = delete;

 private:
  int id_;
};

// Returns the processor time used so far, by name. "process" is the time of the
// whole process. Threads that have ended are included.
std::map<std::string, std::chrono::microseconds> ThreadTimes();

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_THREAD_TIMES_H_
