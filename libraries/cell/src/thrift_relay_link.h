// Sends relayed orders and replies to other controllers over Thrift.
#ifndef CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_
#define CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "relay.h"

namespace cranberryshunt::cell {

// Uses a thread, a connection and a bounded queue for the orders to each
// destination, and others for the replies to it, so that neither a destination
// that does not answer nor orders delay other messages. Queued messages are
// sent together, in their order. They are sent again after a failure until
// their deadline has passed, except starts that the controller may have
// received. Messages that do not fit into the queue are dropped.
class ThriftRelayLink final : public RelayLink {
 public:
  // `own_address` is the address to which replies are sent, "ip:port".
  ThriftRelayLink(std::string own_address,
                  std::string cluster_secret,
                  const Clock& clock);
  ~ThriftRelayLink() override;

  void SendOrders(const std::string& controller,
                  std::vector<Expiring<wire::RelayedOrder>> orders) override;
  void SendReplies(const std::string& controller,
                   std::vector<Expiring<wire::RelayedReply>> replies) override;

 private:
  template <typename T>
  class Sender;
  template <typename T>
  using Senders = std::map<std::string, std::unique_ptr<Sender<T>>>;

  template <typename T>
  Sender<T>& Find(Senders<T>& senders, const std::string& controller);

  const std::string own_address_;
  const std::string cluster_secret_;
  const Clock& clock_;
  std::mutex mutex_;
  Senders<wire::RelayedOrder> order_senders_;
  Senders<wire::RelayedReply> reply_senders_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_THRIFT_RELAY_LINK_H_
