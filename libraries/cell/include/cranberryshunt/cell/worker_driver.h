// Interface through which the leader calls workers. A platform adapter
// implements it; orders and answers do not depend on the transport.
#ifndef CRANBERRYSHUNT_CELL_WORKER_DRIVER_H_
#define CRANBERRYSHUNT_CELL_WORKER_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cranberryshunt/graph/task_key.h"
#include "wire_types.h"

namespace cranberryshunt::cell {

// Recipient of an order. A worker with another id at this address refuses it,
// but a later incarnation with the same id carries it out.
struct WorkerAddress {
  std::string id;
  std::string address;  // "ip:port".
  // Unix time at which the incarnation started; 0 if unknown.
  std::int64_t born_ms = 0;

  bool operator==(const WorkerAddress&) const = default;
};

// Renews the lease of all runs on the worker and requests its running and ended
// runs. All worker times are on the worker's own clock.
struct HoldOrder {
  // Fencing token. A worker refuses orders with a lower fence than the highest
  // one that it has seen.
  std::int64_t fence = 0;
  // Highest EndedRow::number of the incarnation that this leader has committed;
  // 0 if none. Another incarnation would forget its own ends, so the driver
  // leaves this out unless it is certain which one it reaches.
  std::int64_t acknowledged_end = 0;
  std::int64_t lease_until_ms = 0;  // 0 leaves the lease unchanged.
  std::chrono::milliseconds wait{0};

  bool operator==(const HoldOrder&) const = default;
};

struct StartOrder {
  std::int64_t fence = 0;
  graph::TaskKey task;
  std::int32_t run = 0;
  std::string payload;
  std::string checkpoint;  // Empty to start from the beginning.
  std::string ticket;      // Empty if none is needed.
  std::int64_t lease_until_ms = 0;

  bool operator==(const StartOrder&) const = default;
};

// Stops a run, or prevents its start if its start order has not arrived yet.
struct StopOrder {
  std::int64_t fence = 0;
  graph::TaskKey task;
  std::int32_t run = 0;

  bool operator==(const StopOrder&) const = default;
};

using WorkerOrder = std::variant<HoldOrder, StartOrder, StopOrder>;

enum class WorkerAnswer {
  kDone,
  kFenced,    // The worker has seen a higher fence.
  kStaleRun,  // The same or a later run was stopped or has ended there.
  kTooLate,   // The lease in the order had already expired.
  kNoCapacity,
  kTicketRefused,
  kInvalid,
  kOverloaded,   // Nothing was done; the worker is not healthy.
  kNotSent,      // No connection; the order was not sent.
  kOtherWorker,  // Another worker answers at this address.
  kNoAnswer,     // The order may have been or may still be executed.
  // The host refused the connection, since no process listens at the address.
  // The order was not sent.
  kNoListener,
};

// Whether the order certainly reached nobody.
constexpr bool WasNotSent(WorkerAnswer answer) {
  return answer == WorkerAnswer::kNotSent ||
         answer == WorkerAnswer::kNoListener;
}

// A running run, as a worker lists it.
struct RunningRow {
  graph::TaskKey task;
  std::int32_t run = 0;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t usage = 0;  // Milli-CPUs, or the tail latency of a service.

  bool operator==(const RunningRow&) const = default;
};

// An ended run, as a worker lists it.
struct EndedRow {
  std::int64_t number = 0;
  graph::TaskKey task;
  std::int32_t run = 0;
  wire::RunEnd::type how = wire::RunEnd::kStopped;
  std::string checkpoint;

  bool operator==(const EndedRow&) const = default;
};

struct WorkerReply {
  WorkerAnswer answer = WorkerAnswer::kNoAnswer;
  std::int64_t clock_ms = -1;  // -1 if not reported.
  // Unix time at which the worker's incarnation started; 0 if not reported.
  std::int64_t born_ms = 0;
  // Set in the reply to a HoldOrder: the running and ended runs of the worker,
  // and the number of rows that could not be decoded.
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  std::int32_t unreadable_rows = 0;
  // Whether the order was written only to a connection on which the worker had
  // answered before. If not, a later incarnation may carry it out.
  bool reused_connection = false;
  std::string detail;  // For log messages.

  bool operator==(const WorkerReply&) const = default;
};

using OrderId = std::uint64_t;

struct SentOrder {
  OrderId id = 0;
  WorkerAddress worker;
  WorkerOrder order;
  std::chrono::milliseconds timeout{0};
  // Use a new connection, because earlier ones may no longer respond.
  bool fresh_connection = false;

  bool operator==(const SentOrder&) const = default;
};

// Sends orders without blocking. Reports the reply to each order once, from its
// own thread, to the sink that it was created with.
class WorkerDriver {
 public:
  virtual ~WorkerDriver() = default;
  virtual void Send(std::vector<SentOrder> orders) = 0;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_WORKER_DRIVER_H_
