// Converts orders to workers and their replies for transfer between
// controllers.
#ifndef CRANBERRYSHUNT_CELL_RELAY_CODEC_H_
#define CRANBERRYSHUNT_CELL_RELAY_CODEC_H_

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/cell/worker_driver.h"

namespace cranberryshunt::cell {

wire::RelayedOrder ToWire(const SentOrder& order);
// Fails with kMissingField if the order has neither a hold, a start nor a stop.
Result<SentOrder> FromWire(const wire::RelayedOrder& order);

wire::RelayedReply ToWire(OrderId id, const WorkerReply& reply);
WorkerReply FromWire(const wire::RelayedReply& reply);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RELAY_CODEC_H_
