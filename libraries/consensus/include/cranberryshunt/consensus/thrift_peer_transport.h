// Sends Raft messages to the other controllers over Thrift.
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
  // Timeout of a call without payload. Larger calls get additional time for a
  // link of 1 MiB/s. The timeout covers several round trips between regions.
  // When all connections have stopped responding, an append and then its reply
  // are lost one after the other. Both losses must be detected within an
  // election timeout; otherwise the leader is replaced without need.
  std::chrono::milliseconds call_timeout{150};
  // Limit of the messages queued for one peer. Further messages are dropped.
  std::size_t max_queued_messages = 1024;
};

// Has one thread and one bounded queue for each peer. The messages queued for a
// peer are sent in one call, up to a size limit.
class ThriftPeerTransport final : public PeerTransport {
 public:
  explicit ThriftPeerTransport(ThriftPeerTransportOptions options);
  ~ThriftPeerTransport() override;

  void Send(std::vector<wire::RaftMessage> messages) override;
  void SetMembers(const wire::Membership& membership) override;
  std::int64_t bytes_sent() const override;

  // Returns the bytes of the messages sent to each peer, by peer id. They are
  // estimated from the sizes of the data and typical sizes of the other fields.
  std::map<std::string, std::int64_t> BytesSentByPeer() const;

 private:
  class Peer;

  const ThriftPeerTransportOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Peer>> peers_;
  // Peers that were removed or whose address changed. Their threads are joined
  // only in the destructor, because a call may still be in progress.
  std::vector<std::shared_ptr<Peer>> retired_peers_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_THRIFT_PEER_TRANSPORT_H_
