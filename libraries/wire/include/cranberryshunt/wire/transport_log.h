// Messages of the Thrift library.
#ifndef CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_
#define CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_

namespace cranberryshunt::wire {

// Sends what the Thrift library prints to the structured log, at debug level:
// failed calls are also returned as errors, and a controller that is down would
// fill the log otherwise.
void RouteTransportMessagesToLog();

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_
