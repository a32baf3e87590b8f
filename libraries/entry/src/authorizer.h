// Checks the bearer tokens of callers, targets and operators.
#ifndef CRANBERRYSHUNT_ENTRY_AUTHORIZER_H_
#define CRANBERRYSHUNT_ENTRY_AUTHORIZER_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/entry/entry.h"
#include "cranberryshunt/http/http_server.h"
#include "reporter.h"

namespace cranberryshunt::entry {

using http::HttpRequest;

enum class Role { kCaller, kTarget, kOperator };

// Safe for use by several threads.
class Authorizer {
 public:
  Authorizer(const EntryOptions& options,
             Reporter& reporter,
             MetricsRegistry& metrics);

  // Returns whether the request carries the token of `role`; the comparison
  // takes constant time. A refused token is counted and recorded in the audit
  // trail, with at most a few records a second. A record states how many
  // refusals before it were not recorded.
  bool Authorize(Role role, const HttpRequest& request);

 private:
  const std::string& TokenOf(Role role) const;
  void RecordRefusal(Role role, const HttpRequest& request);

  const EntryOptions& options_;
  Reporter& reporter_;
  MetricsRegistry& metrics_;
  std::mutex mutex_;
  TimePoint second_started_at_{};
  int records_in_second_ = 0;
  std::int64_t unrecorded_refusals_ = 0;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_AUTHORIZER_H_
