// Port to workers that the leader calls itself. The adapter of a platform
// implements it; the orders and answers say what was meant, not how it is sent.
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

// Whom an order is for. A worker with another id at this address refuses it.
struct WorkerAddress {
  std::string id;
  std::string address;  // "ip:port".

  bool operator==(const WorkerAddress&) const = default;
};

// Renews the lease of everything that runs on the worker and reads what runs
// and what has ended. All worker times are on the worker's own clock.
struct HoldOrder {
  std::int64_t fence = 0;
  std::int64_t acknowledged_end = 0;
  std::int64_t lease_until_ms = 0;  // 0: the lease is left as it is.
  std::chrono::milliseconds wait{0};

  bool operator==(const HoldOrder&) const = default;
};

struct StartOrder {
  std::int64_t fence = 0;
  graph::TaskKey task;
  std::int32_t run = 0;
  std::string payload;
  std::string checkpoint;  // Empty: from the beginning.
  std::string ticket;      // Empty: none needed.
  std::int64_t lease_until_ms = 0;

  bool operator==(const StartOrder&) const = default;
};

// Stops a run, or bars it if it has not arrived yet.
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
  kStaleRun,  // A run at least as high was stopped or has ended there.
  kTooLate,   // The lease of the order had passed.
  kNoCapacity,
  kTicketRefused,
  kInvalid,
  kOverloaded,   // Nothing was done; the worker is not healthy.
  kNotSent,      // No connection; the order never left.
  kOtherWorker,  // Another worker answers at this address.
  kNoAnswer,     // The order may have been carried out, or may be later.
};

struct RunningRow {
  graph::TaskKey task;
  std::int32_t run = 0;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t usage = 0;  // Milli-CPUs, or the tail latency of a service.

  bool operator==(const RunningRow&) const = default;
};

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
  std::int64_t clock_ms = -1;  // -1: not told.
  std::int64_t born_ms = 0;    // 0: not told.
  // Of a hold. `unreadable_rows` counts rows that name no task of ours.
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  std::int32_t unreadable_rows = 0;
  std::string detail;  // For the log.

  bool operator==(const WorkerReply&) const = default;
};

using OrderId = std::uint64_t;

struct SentOrder {
  OrderId id = 0;
  WorkerAddress worker;
  WorkerOrder order;
  std::chrono::milliseconds timeout{0};
  // Opens a new connection, because the earlier ones may have gone silent.
  bool fresh_connection = false;

  bool operator==(const SentOrder&) const = default;
};

// Sends orders without blocking and reports each answer once, from a thread of
// its own, to the sink that it was created with.
class WorkerDriver {
 public:
  virtual ~WorkerDriver() = default;
  virtual void Send(std::vector<SentOrder> orders) = 0;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_WORKER_DRIVER_H_
