// Sends relayed orders and replies to other controllers by Thrift.
#ifndef CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_
#define CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "relay.h"

namespace cranberryshunt::cell {

// One thread and one bounded ring for each controller that is sent anything;
// what waits goes into one call. What does not fit into the ring is dropped.
class ThriftRelayLink final : public RelayLink {
 public:
  // `own_address` is where replies are to be sent, "ip:port".
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
