#include "cranberryshunt/wire/codec.h"

#include <cassert>

namespace cranberryshunt::wire {

Status ToStatus(const Error& error, const std::string& leader) {
  Status status;
  status.code = static_cast<int>(error.code());
  status.message = error.message();
  status.field = error.field();
  status.leader = leader;
  return status;
}

Error ToError(const Status& status) {
  assert(status.code != 0);
  return Error(static_cast<ResultCode>(status.code), status.message,
               status.field);
}

}  // namespace cranberryshunt::wire
