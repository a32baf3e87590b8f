#include "batch_appender.h"

#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <log4cxx/level.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <string_view>

namespace cranberryshunt {

namespace {

// Holds the lines that a busy leader writes in some seconds, and takes at most
// a megabyte.
constexpr std::size_t kMaxQueuedLines = 4'096;
// Lines that arrive within this time after a write are written together.
constexpr std::chrono::milliseconds kWriteInterval{10};
constexpr std::chrono::seconds kIdleWait{10};
constexpr char kLogger[] = "cranberryshunt.log";

// Passes all lines to the system at once, so that a reader of the file does not
// see a part of a line. There is no other place to report a failure of standard
// output, so the lines are lost then.
void WriteToOutput(std::string_view text) {
  while (!text.empty()) {
    const auto written = write(STDOUT_FILENO, text.data(), text.size());
    if (written >= 0) {
      text.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno != EINTR) {
      return;
    }
  }
}

}  // namespace

BatchAppender::BatchAppender(const log4cxx::LayoutPtr& layout)
    : layout_(layout), queue_(kMaxQueuedLines), thread_([this] { Run(); }) {}

BatchAppender::~BatchAppender() {
  close();
}

void BatchAppender::close() {
  queue_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void BatchAppender::append(const log4cxx::spi::LoggingEventPtr& event,
                           log4cxx::helpers::Pool& /*pool*/) {
  if (!queue_.TryPush(log4cxx::spi::LoggingEventPtr(event))) {
    ++dropped_lines_;
  }
}

void BatchAppender::Run() {
  std::vector<log4cxx::spi::LoggingEventPtr> events;
  while (queue_.PopMany(events, kMaxQueuedLines, kIdleWait)) {
    if (!events.empty()) {
      WriteLines(events);
      events.clear();
      std::this_thread::sleep_for(kWriteInterval);
    }
  }
}

void BatchAppender::WriteLines(
    const std::vector<log4cxx::spi::LoggingEventPtr>& events) {
  std::string text;
  for (const auto& it : events) {
    Format(it, text);
  }
  if (const auto dropped = dropped_lines_.exchange(0); dropped > 0) {
    Format(std::make_shared<log4cxx::spi::LoggingEvent>(
               kLogger, log4cxx::Level::getWarn(),
               "message=\"log lines were dropped\" lines=" +
                   std::to_string(dropped),
               LOG4CXX_LOCATION),
           text);
  }
  WriteToOutput(text);
}

void BatchAppender::Format(const log4cxx::spi::LoggingEventPtr& event,
                           std::string& out) const {
  log4cxx::helpers::Pool pool;
  log4cxx::LogString line;
  layout_->format(line, event, pool);
  std::string encoded;
  log4cxx::helpers::Transcoder::encode(line, encoded);
  out += encoded;
}

}  // namespace cranberryshunt
