#include "transport_errors.h"

#include <algorithm>

#include "ControllerService.h"

namespace cranberryshunt::wire {

using apache::thrift::transport::TTransportException;

void LimitSocket(apache::thrift::transport::TSocket& socket,
                 std::chrono::milliseconds timeout,
                 std::chrono::steady_clock::time_point deadline) {
  const auto now = std::chrono::steady_clock::now();
  if (now >= deadline) {
    throw TTransportException(TTransportException::TIMED_OUT,
                              "the deadline has passed");
  }
  const auto remaining =
      deadline - now > timeout
          ? timeout
          : std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
  const auto limit = static_cast<int>(remaining.count());
  socket.setConnTimeout(limit);
  socket.setRecvTimeout(limit);
  socket.setSendTimeout(limit);
}

Result<void> CatchTransportErrors(const std::function<Result<void>()>& body) {
  try {
    return body();
  } catch (const NotAuthenticated& error) {
    return Fail(ResultCode::kNotAuthenticated, error.message);
  } catch (const TTransportException& error) {
    return Fail(error.getType() == TTransportException::TIMED_OUT
                    ? ResultCode::kTimeout
                    : ResultCode::kUnavailable,
                error.what());
  } catch (const apache::thrift::TException& error) {
    return Fail(ResultCode::kUnavailable, error.what());
  }
}

}  // namespace cranberryshunt::wire
