// Time limits and errors of Thrift sockets.
#ifndef CRANBERRYSHUNT_WIRE_TRANSPORT_ERRORS_H_
#define CRANBERRYSHUNT_WIRE_TRANSPORT_ERRORS_H_

#include <thrift/transport/TSocket.h>

#include <chrono>
#include <functional>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

// Limits each read and write to `timeout` and to the time until `deadline`.
// Throws a TTransportException if the deadline has passed.
void LimitSocket(apache::thrift::transport::TSocket& socket,
                 std::chrono::milliseconds timeout,
                 std::chrono::steady_clock::time_point deadline);

// Runs `body` and turns Thrift's exceptions into errors: kTimeout,
// kNotAuthenticated or kUnavailable.
Result<void> CatchTransportErrors(const std::function<Result<void>()>& body);

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_TRANSPORT_ERRORS_H_
