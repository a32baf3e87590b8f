// Sends Raft messages to the other controllers by Thrift.
#ifndef CRANBERRYSHUNT_CONSENSUS_THRIFT_PEER_TRANSPORT_H_
#define CRANBERRYSHUNT_CONSENSUS_THRIFT_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cranberryshunt/consensus/replica.h"

namespace cranberryshunt::consensus {

struct ThriftPeerTransportOptions {
  std::string own_id;
  std::string cluster_secret;
  // Limit of a call without payload; larger calls get time for a link of
  // 1 MiB/s in addition.
  // Several round trips between regions. After all connections went silent, an
  // append and then its reply are lost one after the other; both must be
  // noticed within an election timeout, or the leader is replaced for nothing.
  std::chrono::milliseconds call_timeout{150};
  // Messages waiting for one peer; further ones are dropped.
  std::size_t max_queued_messages = 1024;
};

// One thread and one bounded ring for each peer. All messages that wait for a
// peer go into one call, up to a limit of bytes.
class ThriftPeerTransport final : public PeerTransport {
 public:
  explicit ThriftPeerTransport(ThriftPeerTransportOptions options);
  ~ThriftPeerTransport() override;

  void Send(std::vector<wire::RaftMessage> messages) override;
  void SetMembers(const wire::Membership& membership) override;
  std::int64_t bytes_sent() const override;

  // Bytes of the messages sent to each peer by its id, estimated from
  // the sizes of the data and typical sizes of the other fields.
  std::map<std::string, std::int64_t> BytesSentByPeer() const;

 private:
  class Peer;

  const ThriftPeerTransportOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Peer>> peers_;
  // Peers whose address changed or that were removed. Their threads are joined
  // at the end, because a call may still be open.
  std::vector<std::shared_ptr<Peer>> retired_peers_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_THRIFT_PEER_TRANSPORT_H_
