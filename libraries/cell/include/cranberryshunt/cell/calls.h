// Calls that a controller of a cell with called workers answers.
#ifndef CRANBERRYSHUNT_CELL_CALLS_H_
#define CRANBERRYSHUNT_CELL_CALLS_H_

#include <functional>
#include <string>
#include <variant>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::cell {

// Replies are called once, on the decision thread; they must not block.
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

// A member says that it is alive and wants to be part of the cell.
struct JoinCall {
  wire::Member member;
  std::function<void(wire::Status)> reply;
};

// A worker's report about itself.
struct WorkerReport {
  wire::CalledWorker worker;
  std::int64_t sequence = 0;
  std::int64_t clock_ms = -1;      // The worker's own clock; -1: not told.
  std::int64_t remaining_ms = -1;  // Before it leaves; -1: not leaving.
};

struct ReportCall {
  WorkerReport report;
  Reply<void> reply;
};

// The worker with this id ends. `born_ms` 0: any life.
struct DepartureCall {
  std::string worker_id;
  std::int64_t born_ms = 0;
  Reply<void> reply;
};

// Replaces the routing table if the version is higher than the one in force.
struct PublishTableCall {
  wire::RoutingTable table;
  Reply<void> reply;
};

// The document of the routing table in force, as the operator sent it; empty
// when there is none yet.
struct ReadTableCall {
  Reply<std::string> reply;
};

using Call = std::variant<GraphCall,
                          AdviceCall,
                          JoinCall,
                          ReportCall,
                          DepartureCall,
                          PublishTableCall,
                          ReadTableCall>;

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_CALLS_H_
