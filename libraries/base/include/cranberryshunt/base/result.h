// Result codes shared by all libraries, and the Result type, which holds a
// value or an error with such a code.
#ifndef CRANBERRYSHUNT_BASE_RESULT_H_
#define CRANBERRYSHUNT_BASE_RESULT_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace cranberryshunt {

// Result codes as callers and operators see them. docs/codes.md lists them;
// numbers are never reused.
enum class ResultCode : int {
  kOk = 0,

  kNotLeader = 1101,
  kNoLeader = 1102,
  kStorageFull = 1103,
  kTimeout = 1104,
  kUnavailable = 1105,
  kShuttingDown = 1106,
  kNotReady = 1107,
  kNotAuthenticated = 1108,

  kInvalidJson = 1201,
  kUnknownField = 1202,
  kWrongType = 1203,
  kInvalidField = 1204,
  kTooLarge = 1205,
  kNotFound = 1206,
  kKeyConflict = 1207,
  kUnauthorized = 1208,
  kMissingField = 1209,
  kGone = 1210,
  kWrongAccount = 1211,

  kQueueFull = 1301,
  kQuotaExceeded = 1302,
  kImpossible = 1303,
  kDeadlinePassed = 1304,

  kTaskFailed = 1401,
  kWorkerLost = 1402,
  kOutcomeUnknown = 1403,
  kAnswerInvalid = 1404,
  kCancelledByCaller = 1405,
  kJobFaulty = 1406,
  kRetryBudgetExhausted = 1407,
  kAnswerUnavailable = 1408,
  kStartRefused = 1409,
  kPreempted = 1410,

  kRulesInvalid = 1501,
  kRevisionConflict = 1502,
  kNotInForceYet = 1503,

  kIoError = 1601,
  kCorrupt = 1602,
  kWrongIdentity = 1603,

  kInvalidSettings = 1701,
};

// Returns the snake_case name of `code`, as in docs/codes.md.
std::string_view ResultCodeName(ResultCode code);

// Returns whether the same request may succeed when it is sent again.
bool IsRetryable(ResultCode code);

// An error: its code, a message for people and, for an invalid request, the
// field at fault.
class Error {
 public:
  Error(ResultCode code, std::string message, std::string field = {})
      : code_(code), message_(std::move(message)), field_(std::move(field)) {}

  ResultCode code() const { return code_; }
  const std::string& message() const { return message_; }
  const std::string& field() const { return field_; }

  bool operator==(const Error&) const = default;

 private:
  ResultCode code_;
  std::string message_;
  std::string field_;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Builds the error side of a Result.
inline tl::unexpected<Error> Fail(ResultCode code,
                                  std::string message,
                                  std::string field = {}) {
  return tl::unexpected<Error>(
      Error(code, std::move(message), std::move(field)));
}

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_RESULT_H_
