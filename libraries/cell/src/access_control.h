// Decides which client account a call belongs to and which jobs it may see or
// change, by the committed configuration.
#ifndef CRANBERRYSHUNT_CELL_ACCESS_CONTROL_H_
#define CRANBERRYSHUNT_CELL_ACCESS_CONTROL_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::cell {

// Returns the name of the account that a call to `queue` belongs to; empty for
// a call without a key, and for every call if the configuration has no
// accounts. Fails with kUnauthorized if the key belongs to no account, or if
// there is none and the queue needs one.
Result<std::string> Authenticate(const graph::GraphStore& store,
                                 const wire::JobQueue& queue,
                                 const std::string& key_digest);

// Whether calls of `account` may show and cancel a job of the account `owner`.
// A job that was submitted without a key may be shown and cancelled by every
// call that its queue admits. Fails with kWrongAccount.
Result<void> AuthorizeOwner(const graph::GraphStore& store,
                            const std::string& owner,
                            const std::string& account);
// As AuthorizeOwner(), for the account of the job. A job that is not in the
// store has none.
Result<void> AuthorizeJob(const graph::GraphStore& store,
                          graph::JobId job,
                          const std::string& account);

// Whether `account` may submit a job once more whose first submission is of the
// account `owner`. Unlike for AuthorizeOwner(), they must be the same even if
// that had no key: otherwise anyone could occupy the id of an account's job
// beforehand. Fails with kWrongAccount.
Result<void> AuthorizeRepetition(const graph::GraphStore& store,
                                 const std::string& owner,
                                 const std::string& account);

// Counts and logs the calls that are refused because of their key or account.
// Refuse() may be called by several threads.
class AccessRefusals {
 public:
  explicit AccessRefusals(MetricsRegistry& metrics) : metrics_(metrics) {}

  // Counts the refusal of a call by `account`, empty if it is not known, and
  // returns the reply to it.
  wire::GraphReply Refuse(const Error& error,
                          const wire::GraphRequest& request,
                          const std::string& queue,
                          const std::string& account);
  // Logs one line about the refusals since the last one, at most once a second:
  // a flood of unknown keys must not fill the log.
  void LogIfDue(std::int64_t now_ms);

 private:
  enum Reason { kUnknownKey, kMissingKey, kWrongAccount, kReasonCount };

  static Reason ReasonOf(const Error& error, const wire::GraphRequest& request);

  MetricsRegistry& metrics_;
  std::int64_t last_log_ms_ = 0;
  std::atomic<bool> has_unlogged_ = false;
  std::mutex mutex_;  // Guards the members below.
  std::array<std::int64_t, kReasonCount> unlogged_{};
  // Of the last refusal.
  std::string queue_;
  std::string account_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ACCESS_CONTROL_H_
