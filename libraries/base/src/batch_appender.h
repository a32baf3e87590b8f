// Writes log lines to standard output on a thread of its own.
#ifndef CRANBERRYSHUNT_BASE_BATCH_APPENDER_H_
#define CRANBERRYSHUNT_BASE_BATCH_APPENDER_H_

#include <log4cxx/appenderskeleton.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/bounded_ring.h"

namespace cranberryshunt {

// A line is written at once if no other was written shortly before. The lines
// of a busy process are written in groups, because waking the thread and
// writing to the file for each line would cost more than the lines themselves.
// Lines that do not fit in the queue are dropped, and a line reports how many.
class BatchAppender final : public log4cxx::AppenderSkeleton {
 public:
  explicit BatchAppender(const log4cxx::LayoutPtr& layout);
  ~BatchAppender() override;

  // Writes the queued lines and ends the thread.
  void close() override;
  bool requiresLayout() const override { return true; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override;

 private:
  void Run();
  void WriteLines(const std::vector<log4cxx::spi::LoggingEventPtr>& events);
  void Format(const log4cxx::spi::LoggingEventPtr& event,
              std::string& out) const;

  const log4cxx::LayoutPtr layout_;
  BoundedRing<log4cxx::spi::LoggingEventPtr> queue_;
  std::atomic<std::int64_t> dropped_lines_{0};
  std::thread thread_;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_BATCH_APPENDER_H_
