// Sends relayed orders and replies to other controllers over Thrift.
#ifndef CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_
#define CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "relay.h"

namespace cranberryshunt::cell {

// Uses one thread and one bounded queue for each destination. Queued orders are
// sent in one call, and queued replies in another. Messages that do not fit
// into the queue are dropped.
class ThriftRelayLink final : public RelayLink {
 public:
  // `own_address` is the address to which replies are sent, "ip:port".
  ThriftRelayLink(std::string own_address, std::string cluster_secret);
  ~ThriftRelayLink() override;

  void SendOrders(const std::string& controller,
                  std::vector<wire::RelayedOrder> orders) override;
  void SendReplies(const std::string& controller,
                   std::vector<wire::RelayedReply> replies) override;

 private:
  class Peer;

  Peer& Find(const std::string& controller);

  const std::string own_address_;
  const std::string cluster_secret_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_
