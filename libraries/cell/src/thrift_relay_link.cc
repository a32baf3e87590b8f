#include "thrift_relay_link.h"

#include <condition_variable>
#include <thread>
#include <type_traits>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::cell {

namespace {

// Holds one helper's share of the orders of a large cell for some seconds.
constexpr std::size_t kMaxQueuedMessages = 4'096;
// Keeps a call short on a connection with a small window.
constexpr std::size_t kMaxMessagesPerCall = 512;
// Timeout of each step of a connection attempt and of a call, about that of an
// order. A controller that is short of processor time would have to execute a
// repeated handshake and call as well.
constexpr std::chrono::milliseconds kCallTimeout{1'000};
constexpr std::chrono::milliseconds kRetryPause{50};
// Messages that arrive within this time share a call. Each call wakes a thread
// on both sides, which costs more than its contents.
constexpr std::chrono::milliseconds kBatchTime{4};

}  // namespace

template <typename T>
class ThriftRelayLink::Sender {
 public:
  Sender(const std::string& address,
         const std::string& own_address,
         const std::string& cluster_secret,
         const Clock& clock)
      : own_address_(own_address),
        clock_(clock),
        channel_(address, own_address, cluster_secret, kCallTimeout),
        queue_(kMaxQueuedMessages),
        thread_([this] { Run(); }) {}

  ~Sender() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  void Post(std::vector<Expiring<T>> messages) {
    {
      const std::lock_guard lock(mutex_);
      for (auto& it : messages) {
        queue_.Push(std::move(it));
      }
    }
    changed_.notify_all();
  }

 private:
  static constexpr bool kSendsOrders = std::is_same_v<T, wire::RelayedOrder>;

  // kUnknown: the controller may have received the messages.
  enum class Delivery { kDone, kNotSent, kUnknown };

  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (!Pause(lock, kBatchTime)) {
        return;
      }
      auto batch = queue_.TakeBatch(kMaxMessagesPerCall, clock_.Now());
      const auto dropped = queue_.TakeDropped();
      lock.unlock();
      LogDropped(dropped);
      const auto delivery = batch.empty() ? Delivery::kDone : Deliver(batch);
      if (delivery == Delivery::kUnknown) {
        DropStarts(batch);
      }
      lock.lock();
      if (delivery != Delivery::kDone) {
        queue_.PutBack(std::move(batch));
        if (!Pause(lock, kRetryPause)) {
          return;
        }
      }
    }
  }

  // Returns false if the sender is stopping.
  bool Pause(std::unique_lock<std::mutex>& lock, Duration time) {
    return !changed_.wait_until(lock, std::chrono::steady_clock::now() + time,
                                [this] { return stopping_; });
  }

  void LogDropped(std::size_t count) const {
    if (count > 0) {
      Log(LogLevel::kWarning, "cell", "relayed messages were dropped",
          {{"controller", channel_.address()},
           {"kind", kSendsOrders ? "orders" : "replies"},
           {"messages", count}});
    }
  }

  // A controller that has restarted does not know which orders it executed
  // before. It would execute a second copy of a start, whose refusal says
  // nothing about the first one.
  void DropStarts(std::vector<Expiring<T>>& batch) const {
    if constexpr (kSendsOrders) {
      const auto dropped = std::erase_if(
          batch, [](const auto& it) { return it.message.__isset.start; });
      if (dropped > 0) {
        Log(LogLevel::kWarning, "cell",
            "relayed starts may have been delivered; not repeated",
            {{"controller", channel_.address()}, {"starts", dropped}});
      }
    }
  }

  Delivery Deliver(const std::vector<Expiring<T>>& batch) {
    std::vector<T> messages;
    messages.reserve(batch.size());
    for (const auto& it : batch) {
      messages.push_back(it.message);
    }
    bool written = false;
    const auto sent = channel_.Run(kCallTimeout, [&](auto& client) {
      written = true;
      if constexpr (kSendsOrders) {
        client.RelayOrders(own_address_, messages);
      } else {
        client.RelayReplies(messages);
      }
    });
    const auto reachability =
        sent ? Reachability::kReachable : Reachability::kUnreachable;
    if (reachability != reachability_) {
      reachability_ = reachability;
      Log(sent ? LogLevel::kInfo : LogLevel::kWarning, "cell",
          sent ? "relay reaches the controller"
               : "relay does not reach the controller",
          {{"controller", channel_.address()},
           {"kind", kSendsOrders ? "orders" : "replies"},
           {"messages", messages.size()},
           {"error", sent ? std::string() : sent.error().message()}});
    }
    if (sent) {
      return Delivery::kDone;
    }
    return written ? Delivery::kUnknown : Delivery::kNotSent;
  }

  enum class Reachability { kUnknown, kReachable, kUnreachable };

  const std::string own_address_;
  const Clock& clock_;
  wire::ControllerChannel channel_;
  Reachability reachability_ = Reachability::kUnknown;
  std::mutex mutex_;
  std::condition_variable changed_;
  RelayQueue<T> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

ThriftRelayLink::ThriftRelayLink(std::string own_address,
                                 std::string cluster_secret,
                                 const Clock& clock)
    : own_address_(std::move(own_address)),
      cluster_secret_(std::move(cluster_secret)),
      clock_(clock) {}

ThriftRelayLink::~ThriftRelayLink() = default;

template <typename T>
ThriftRelayLink::Sender<T>& ThriftRelayLink::Find(
    Senders<T>& senders,
    const std::string& controller) {
  const std::lock_guard lock(mutex_);
  auto& sender = senders[controller];
  if (!sender) {
    sender = std::make_unique<Sender<T>>(controller, own_address_,
                                         cluster_secret_, clock_);
  }
  return *sender;
}

void ThriftRelayLink::SendOrders(
    const std::string& controller,
    std::vector<Expiring<wire::RelayedOrder>> orders) {
  Find(order_senders_, controller).Post(std::move(orders));
}

void ThriftRelayLink::SendReplies(
    const std::string& controller,
    std::vector<Expiring<wire::RelayedReply>> replies) {
  Find(reply_senders_, controller).Post(std::move(replies));
}

}  // namespace cranberryshunt::cell
