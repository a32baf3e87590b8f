#include "cranberryshunt/wire/transport_log.h"

#include <string>

// The next header of this version of Thrift uses <string> without including it.
#include <thrift/TOutput.h>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::wire {

void RouteTransportMessagesToLog() {
  apache::thrift::GlobalOutput.setOutputFunction(
      [](const char* message) { Log(LogLevel::kDebug, "transport", message); });
}

}  // namespace cranberryshunt::wire
