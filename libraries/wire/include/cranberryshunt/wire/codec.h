// Encoding of Thrift structures for the replicated log and for snapshots.
#ifndef CRANBERRYSHUNT_WIRE_CODEC_H_
#define CRANBERRYSHUNT_WIRE_CODEC_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::wire {

// Encodes a generated structure with Thrift's compact protocol.
template <typename T>
std::string Encode(const T& value) {
  auto buf = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<
      apache::thrift::transport::TMemoryBuffer>
      protocol(buf);
  value.write(&protocol);
  return buf->getBufferAsString();
}

// Decodes bytes that Encode() returned. Fails with kCorrupt if they do not
// begin with a complete structure.
template <typename T>
Result<T> Decode(std::string_view bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buf = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
      static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buf);
  T value;
  try {
    value.read(&protocol);
  } catch (const apache::thrift::TException& error) {
    return Fail(ResultCode::kCorrupt, error.what());
  }
  return value;
}

// Builds a Status from an error; `leader` is the "ip:port" of the leader, empty
// if it is not known.
Status ToStatus(const Error& error, const std::string& leader = {});

// Converts `status` to an error; `status.code` must not be 0.
Error ToError(const Status& status);

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CODEC_H_
