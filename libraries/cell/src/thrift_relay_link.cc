#include "thrift_relay_link.h"

#include <thread>
#include <utility>
#include <variant>

#include "ControllerService.h"
#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/base/thread_times.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::cell {

namespace {

// Holds one helper's share of the orders of a large cell for some seconds.
constexpr std::size_t kMaxQueuedMessages = 4'096;
// Several round trips between regions; see ThriftPeerTransportOptions.
constexpr std::chrono::milliseconds kCallTimeout{300};
constexpr std::chrono::seconds kIdleWait{1};
// Messages that arrive within this time share a call. Each call wakes a thread
// on both sides, which costs more than its contents.
constexpr std::chrono::milliseconds kBatchTime{4};

using Message = std::variant<wire::RelayedOrder, wire::RelayedReply>;

}  // namespace

class ThriftRelayLink::Peer {
 public:
  Peer(const std::string& address,
       const std::string& own_address,
       const std::string& cluster_secret)
      : own_address_(own_address),
        channel_(address, own_address, cluster_secret),
        queue_(kMaxQueuedMessages),
        thread_([this] { Run(); }) {}

  ~Peer() {
    queue_.Close();
    thread_.join();
  }

  template <typename T>
  void Post(std::vector<T> messages) {
    for (auto& it : messages) {
      if (!queue_.TryPush(Message(std::move(it)))) {
        Log(LogLevel::kWarning, "cell", "relayed messages were dropped",
            {{"controller", channel_.address()}});
        return;
      }
    }
  }

 private:
  void Run() {
    const ScopedThreadName name("relay");
    std::vector<Message> batch;
    while (queue_.PopMany(batch, SIZE_MAX, kIdleWait)) {
      if (batch.empty()) {
        continue;
      }
      std::this_thread::sleep_for(kBatchTime);
      queue_.PopMany(batch, SIZE_MAX, std::chrono::microseconds(0));
      std::vector<wire::RelayedOrder> orders;
      std::vector<wire::RelayedReply> replies;
      for (auto& it : batch) {
        if (auto* order = std::get_if<wire::RelayedOrder>(&it)) {
          orders.push_back(std::move(*order));
        } else {
          replies.push_back(std::move(std::get<wire::RelayedReply>(it)));
        }
      }
      batch.clear();
      if (!orders.empty()) {
        Deliver([&](auto& client) { client.RelayOrders(own_address_, orders); },
                orders.size());
      }
      if (!replies.empty()) {
        Deliver([&](auto& client) { client.RelayReplies(replies); },
                replies.size());
      }
    }
  }

  // Lost messages are not sent again; the deadline of their order detects them.
  void Deliver(const wire::ControllerChannel::Call& call,
               std::size_t message_count) {
    const auto sent = channel_.Run(kCallTimeout, call);
    if (sent.has_value() != reachable_) {
      reachable_ = sent.has_value();
      Log(reachable_ ? LogLevel::kInfo : LogLevel::kWarning, "cell",
          reachable_ ? "relay reaches the controller"
                     : "relay does not reach the controller",
          {{"controller", channel_.address()},
           {"messages", message_count},
           {"error", reachable_ ? std::string() : sent.error().message()}});
    }
  }

  const std::string own_address_;
  wire::ControllerChannel channel_;
  BoundedRing<Message> queue_;
  bool reachable_ = false;
  std::thread thread_;
};

ThriftRelayLink::ThriftRelayLink(std::string own_address,
                                 std::string cluster_secret)
    : own_address_(std::move(own_address)),
      cluster_secret_(std::move(cluster_secret)) {}

ThriftRelayLink::~ThriftRelayLink() = default;

ThriftRelayLink::Peer& ThriftRelayLink::Find(const std::string& controller) {
  const std::lock_guard lock(mutex_);
  auto& peer = peers_[controller];
  if (!peer) {
    peer = std::make_unique<Peer>(controller, own_address_, cluster_secret_);
  }
  return *peer;
}

void ThriftRelayLink::SendOrders(const std::string& controller,
                                 std::vector<wire::RelayedOrder> orders) {
  Find(controller).Post(std::move(orders));
}

void ThriftRelayLink::SendReplies(const std::string& controller,
                                  std::vector<wire::RelayedReply> replies) {
  Find(controller).Post(std::move(replies));
}

}  // namespace cranberryshunt::cell
