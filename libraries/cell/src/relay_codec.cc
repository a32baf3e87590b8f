#include "relay_codec.h"

#include <utility>

namespace cranberryshunt::cell {

namespace {

struct OrderWriter {
  wire::RelayedOrder& out;

  void operator()(const HoldOrder& it) const {
    out.fence = it.fence;
    wire::RelayedHold hold;
    hold.acknowledged_end = it.acknowledged_end;
    hold.lease_until_ms = it.lease_until_ms;
    hold.wait_ms = it.wait.count();
    out.__set_hold(hold);
  }
  void operator()(const StartOrder& it) const {
    out.fence = it.fence;
    wire::RelayedStart start;
    start.task = graph::ToWire(it.task);
    start.run = it.run;
    start.payload = it.payload;
    start.checkpoint = it.checkpoint;
    start.ticket = it.ticket;
    start.lease_until_ms = it.lease_until_ms;
    out.__set_start(start);
  }
  void operator()(const StopOrder& it) const {
    out.fence = it.fence;
    wire::RelayedStop stop;
    stop.task = graph::ToWire(it.task);
    stop.run = it.run;
    out.__set_stop(stop);
  }
};

WorkerAnswer DecodeAnswer(std::int32_t number) {
  constexpr auto kLast = static_cast<std::int32_t>(WorkerAnswer::kNoListener);
  // Answers that a later version added are unknown here and count as no answer.
  return number >= 0 && number <= kLast ? static_cast<WorkerAnswer>(number)
                                        : WorkerAnswer::kNoAnswer;
}

}  // namespace

wire::RelayedOrder ToWire(const SentOrder& order) {
  wire::RelayedOrder out;
  out.id = static_cast<std::int64_t>(order.id);
  out.worker = order.worker.id;
  out.address = order.worker.address;
  out.born_ms = order.worker.born_ms;
  out.timeout_ms = order.timeout.count();
  std::visit(OrderWriter{out}, order.order);
  return out;
}

Result<SentOrder> FromWire(const wire::RelayedOrder& order) {
  SentOrder out;
  out.id = static_cast<OrderId>(order.id);
  out.worker = {order.worker, order.address, order.born_ms};
  out.timeout = std::chrono::milliseconds(order.timeout_ms);
  if (order.__isset.hold) {
    HoldOrder hold;
    hold.fence = order.fence;
    hold.acknowledged_end = order.hold.acknowledged_end;
    hold.lease_until_ms = order.hold.lease_until_ms;
    hold.wait = std::chrono::milliseconds(order.hold.wait_ms);
    out.order = hold;
  } else if (order.__isset.start) {
    StartOrder start;
    start.fence = order.fence;
    start.task = graph::FromWire(order.start.task);
    start.run = order.start.run;
    start.payload = order.start.payload;
    start.checkpoint = order.start.checkpoint;
    start.ticket = order.start.ticket;
    start.lease_until_ms = order.start.lease_until_ms;
    out.order = std::move(start);
  } else if (order.__isset.stop) {
    out.order = StopOrder{order.fence, graph::FromWire(order.stop.task),
                          order.stop.run};
  } else {
    return Fail(ResultCode::kMissingField, "a relayed order says nothing");
  }
  return out;
}

wire::RelayedReply ToWire(OrderId id, const WorkerReply& reply) {
  wire::RelayedReply out;
  out.id = static_cast<std::int64_t>(id);
  out.answer = static_cast<std::int32_t>(reply.answer);
  out.clock_ms = reply.clock_ms;
  out.born_ms = reply.born_ms;
  out.unreadable_rows = reply.unreadable_rows;
  out.reused_connection = reply.reused_connection;
  out.detail = reply.detail;
  out.running.reserve(reply.running.size());
  for (const auto& it : reply.running) {
    auto& row = out.running.emplace_back();
    row.task = graph::ToWire(it.task);
    row.run = it.run;
    row.checkpoint = it.checkpoint;
    row.percent = it.percent;
    row.usage = it.usage;
  }
  out.ended.reserve(reply.ended.size());
  for (const auto& it : reply.ended) {
    auto& row = out.ended.emplace_back();
    row.number = it.number;
    row.task = graph::ToWire(it.task);
    row.run = it.run;
    row.how = it.how;
    row.checkpoint = it.checkpoint;
  }
  return out;
}

WorkerReply FromWire(const wire::RelayedReply& reply) {
  WorkerReply out;
  out.answer = DecodeAnswer(reply.answer);
  out.clock_ms = reply.clock_ms;
  out.born_ms = reply.born_ms;
  out.unreadable_rows = reply.unreadable_rows;
  out.reused_connection = reply.reused_connection;
  out.detail = reply.detail;
  out.running.reserve(reply.running.size());
  for (const auto& it : reply.running) {
    out.running.push_back({graph::FromWire(it.task), it.run, it.checkpoint,
                           it.percent, it.usage});
  }
  out.ended.reserve(reply.ended.size());
  for (const auto& it : reply.ended) {
    out.ended.push_back(
        {it.number, graph::FromWire(it.task), it.run, it.how, it.checkpoint});
  }
  return out;
}

}  // namespace cranberryshunt::cell
