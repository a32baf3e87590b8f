#include "cranberryshunt/base/log.h"

#include <fmt/format.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <functional>
#include <map>
#include <memory>

#include "batch_appender.h"

namespace cranberryshunt {

namespace {

constexpr char kRootLogger[] = "cranberryshunt";

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

// Finding a logger by name takes a lock and builds the name, so each thread
// keeps the loggers that it has used.
const log4cxx::LoggerPtr& FindLogger(std::string_view component) {
  thread_local std::map<std::string, log4cxx::LoggerPtr, std::less<>> loggers;
  auto it = loggers.find(component);
  if (it == loggers.end()) {
    const std::string name(component);
    it = loggers
             .emplace(name, log4cxx::Logger::getLogger(
                                std::string(kRootLogger) + "." + name))
             .first;
  }
  return it->second;
}

// Quotes a value that is empty or holds blanks, quotes or `=`, so that the
// fields of a line can be parsed. Line breaks become spaces, so that each
// message stays on one line.
std::string Quote(std::string_view value) {
  if (!NeedsQuotes(value)) {
    return std::string(value);
  }
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return out + "\"";
}

}  // namespace

LogField::LogField(std::string_view name, std::string_view value)
    : name(name), value(value) {}
LogField::LogField(std::string_view name, const char* value)
    : name(name), value(value) {}
LogField::LogField(std::string_view name, long long value)
    : name(name), value(std::to_string(value)) {}
LogField::LogField(std::string_view name, long value)
    : name(name), value(std::to_string(value)) {}
LogField::LogField(std::string_view name, int value)
    : name(name), value(std::to_string(value)) {}
LogField::LogField(std::string_view name, unsigned long value)
    : name(name), value(std::to_string(value)) {}
LogField::LogField(std::string_view name, double value)
    : name(name), value(fmt::format("{:.3f}", value)) {}

Result<void> ConfigureLogging(std::string_view level,
                              std::string_view process) {
  LogLevel parsed = LogLevel::kInfo;
  if (level == "debug") {
    parsed = LogLevel::kDebug;
  } else if (level == "warning") {
    parsed = LogLevel::kWarning;
  } else if (level == "error") {
    parsed = LogLevel::kError;
  } else if (level != "info") {
    return Fail(ResultCode::kInvalidSettings,
                "log level must be debug, info, warning or error", "log-level");
  }
  const std::string pattern =
      "%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p process=" + Quote(process) +
      " component=%c{1} %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  // A slow reader of the output must not block the process.
  auto queue = std::make_shared<BatchAppender>(layout);
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(queue);
  root->setLevel(ToLog4cxx(parsed));
  return {};
}

void ShutDownLogging() {
  auto root = log4cxx::Logger::getRootLogger();
  for (const auto& it : root->getAllAppenders()) {
    it->close();
  }
  root->removeAllAppenders();
}

void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  const auto& logger = FindLogger(component);
  const auto target_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(target_level)) {
    return;
  }
  std::string line = "message=" + Quote(message);
  for (const auto& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += Quote(field.value);
  }
  logger->log(target_level, line);
}

}  // namespace cranberryshunt
