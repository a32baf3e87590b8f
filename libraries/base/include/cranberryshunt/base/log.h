// Structured logs.
#ifndef CRANBERRYSHUNT_BASE_LOG_H_
#define CRANBERRYSHUNT_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A named value of a log line. It must never hold a secret.
struct LogField {
  LogField(std::string_view name, std::string_view value);
  LogField(std::string_view name, const char* value);
  LogField(std::string_view name, long long value);
  LogField(std::string_view name, long value);
  LogField(std::string_view name, int value);
  LogField(std::string_view name, unsigned long value);
  LogField(std::string_view name, double value);

  std::string name;
  std::string value;
};

// Sets up logging to standard output through a bounded queue: lines that do not
// fit are dropped, so that logging never blocks. Lines below `level` ("debug",
// "info", "warning" or "error") are left out; `process` names this process in
// each line. Fails with kInvalidSettings for any other level.
Result<void> ConfigureLogging(std::string_view level, std::string_view process);

// Writes the queued lines and ends logging. To be called before the process
// exits.
void ShutDownLogging();

// Writes one line: time, level, process, component, message and `name=value`
// fields.
void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_LOG_H_
