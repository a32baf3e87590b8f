// Logging of the messages of the Thrift library.
#ifndef CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_
#define CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_

namespace cranberryshunt::wire {

// Writes the messages of the Thrift library to the structured log. They are
// logged at debug level, because failed calls are also returned as errors, and
// a controller that is down would fill the log otherwise.
void RouteTransportMessagesToLog();

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_TRANSPORT_LOG_H_
