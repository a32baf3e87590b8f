// Processor time of the process by the duty of its threads.
#ifndef CRANBERRYSHUNT_BASE_THREAD_TIMES_H_
#define CRANBERRYSHUNT_BASE_THREAD_TIMES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cranberryshunt {

// Counts the processor time of the thread that creates it under a duty, from
// then until its end. Created and destroyed on the same thread.
class ThreadDuty {
 public:
  explicit ThreadDuty(std::string_view duty);
  ~ThreadDuty();
  ThreadDuty(const ThreadDuty&) = delete;
  ThreadDuty& operator=(const ThreadDuty&) = delete;

 private:
  std::uint64_t id_ = 0;
};

// Milliseconds by duty, of threads that run and of those that ended. "all" is
// the whole process, with threads that have no duty.
std::map<std::string, std::int64_t> ThreadTimes();

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_THREAD_TIMES_H_
