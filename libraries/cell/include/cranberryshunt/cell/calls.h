// Calls that the controllers of a cell with called workers handle. Called
// workers are those that the controllers send orders to.
#ifndef CRANBERRYSHUNT_CELL_CALLS_H_
#define CRANBERRYSHUNT_CELL_CALLS_H_

#include <functional>
#include <string>
#include <variant>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::cell {

// A reply callback is called exactly once, on the decision thread, and must not
// block.
template <typename T>
using Reply = std::function<void(Result<T>)>;

struct GraphCall {
  wire::GraphRequest request;
  std::function<void(wire::GraphReply)> reply;
};

struct AdviceCall {
  wire::AdvicePoll poll;
  std::function<void(wire::AdviceOrders)> reply;
};

// A controller reports that it is alive and asks to join the cell.
struct JoinCall {
  wire::Member member;
  std::function<void(wire::Status)> reply;
};

// A controller reports that it is about to end. The reply is kOk once it has no
// vote, kNotReady while another controller takes its place, or kUnavailable if
// none can.
struct LeaveCall {
  wire::Member member;
  std::function<void(wire::Status)> reply;
};

// The status that a worker reports about itself.
struct WorkerReport {
  wire::CalledWorker worker;
  // Increases with each report, so that reports that arrive out of order are
  // recognized.
  std::int64_t sequence = 0;
  std::int64_t clock_ms = -1;      // On the worker's clock; -1 if not reported.
  std::int64_t remaining_ms = -1;  // Until it leaves; -1 if it stays.
};

struct ReportCall {
  WorkerReport report;
  Reply<void> reply;
};

// Removes the worker with this id, unless its registered incarnation started
// after `born_ms` (Unix time). A `born_ms` of 0 matches every incarnation.
struct DepartureCall {
  std::string worker_id;
  std::int64_t born_ms = 0;
  Reply<void> reply;
};

// Replaces the routing table if the new version is higher than the current one.
struct PublishTableCall {
  wire::RoutingTable table;
  Reply<void> reply;
};

// Returns the document of the current routing table, as the operator sent it.
// It is empty if there is no table yet.
struct ReadTableCall {
  Reply<std::string> reply;
};

using Call = std::variant<GraphCall,
                          AdviceCall,
                          JoinCall,
                          LeaveCall,
                          ReportCall,
                          DepartureCall,
                          PublishTableCall,
                          ReadTableCall>;

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_CALLS_H_
