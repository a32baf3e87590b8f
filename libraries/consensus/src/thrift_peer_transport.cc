#include "cranberryshunt/consensus/thrift_peer_transport.h"

#include <atomic>
#include <thread>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::consensus {

namespace {

constexpr std::size_t kMaxCallBytes = 128 << 10;
constexpr std::size_t kBytesPerMillisecond = 256;
// Estimated sizes of the identifiers, numbers and field headers of a message
// and of an entry.
constexpr std::size_t kMessageBytes = 160;
constexpr std::size_t kEntryBytes = 32;
constexpr std::size_t kMemberBytes = 80;
constexpr std::chrono::milliseconds kIdleWait{500};

std::size_t SizeOf(const wire::RaftMessage& message) {
  std::size_t n = kMessageBytes + message.data.size() +
                  message.membership.members.size() * kMemberBytes;
  for (const auto& it : message.entries) {
    n += kEntryBytes + it.data.size();
  }
  return n;
}

}  // namespace

class ThriftPeerTransport::Peer {
 public:
  Peer(const std::string& id,
       const std::string& address,
       const ThriftPeerTransportOptions& options)
      : id_(id),
        options_(options),
        channel_(address, options.own_id, options.cluster_secret),
        queue_(options.max_queued_messages),
        thread_([this] { Run(); }) {}

  ~Peer() {
    queue_.Close();
    thread_.join();
  }

  void Post(wire::RaftMessage message) {
    (void)queue_.TryPush(std::move(message));
  }
  void Close() { queue_.Close(); }
  const std::string& address() const { return channel_.address(); }
  std::int64_t bytes_sent() const { return bytes_sent_; }

 private:
  void Run() {
    std::vector<wire::RaftMessage> queued;
    while (queue_.PopMany(queued, SIZE_MAX, kIdleWait)) {
      auto next = queued.begin();
      while (next != queued.end()) {
        std::size_t n = 0;
        std::vector<wire::RaftMessage> call;
        while (next != queued.end() && (call.empty() || n < kMaxCallBytes)) {
          n += SizeOf(*next);
          call.push_back(std::move(*next++));
        }
        Deliver(call, n);
      }
      queued.clear();
    }
  }

  void Deliver(const std::vector<wire::RaftMessage>& messages, std::size_t n) {
    const auto timeout = options_.call_timeout +
                         std::chrono::milliseconds(n / kBytesPerMillisecond);
    bytes_sent_ += static_cast<std::int64_t>(n);
    const auto sent = channel_.Run(
        timeout, [&](auto& client) { client.DeliverRaft(messages); });
    // Only changes are logged, because a peer may be unreachable for a long
    // time.
    if (sent.has_value() != reachable_) {
      reachable_ = sent.has_value();
      Log(LogLevel::kInfo, "consensus",
          reachable_ ? "peer is reachable" : "peer is not reachable",
          {{"peer", id_},
           {"error", reachable_ ? std::string() : sent.error().message()}});
    }
  }

  const std::string id_;
  const ThriftPeerTransportOptions& options_;
  wire::ControllerChannel channel_;
  BoundedRing<wire::RaftMessage> queue_;
  std::atomic<std::int64_t> bytes_sent_ = 0;
  bool reachable_ = false;
  std::thread thread_;
};

ThriftPeerTransport::ThriftPeerTransport(ThriftPeerTransportOptions options)
    : options_(std::move(options)) {}

ThriftPeerTransport::~ThriftPeerTransport() = default;

void ThriftPeerTransport::Send(std::vector<wire::RaftMessage> messages) {
  std::lock_guard lock(mutex_);
  for (auto& it : messages) {
    const auto peer = peers_.find(it.receiver);
    if (peer != peers_.end()) {
      peer->second->Post(std::move(it));
    }
  }
}

void ThriftPeerTransport::SetMembers(const wire::Membership& membership) {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::shared_ptr<Peer>> next;
  for (const auto& it : membership.members) {
    if (it.id == options_.own_id || it.address.empty()) {
      continue;
    }
    const auto old = peers_.find(it.id);
    if (old != peers_.end() && old->second->address() == it.address) {
      next[it.id] = old->second;
      peers_.erase(old);
    } else {
      next[it.id] = std::make_shared<Peer>(it.id, it.address, options_);
    }
  }
  for (auto& [id, peer] : peers_) {
    peer->Close();
    retired_peers_.push_back(std::move(peer));
  }
  peers_ = std::move(next);
}

std::map<std::string, std::int64_t> ThriftPeerTransport::BytesSentByPeer()
    const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::int64_t> bytes;
  for (const auto& [id, peer] : peers_) {
    bytes[id] = peer->bytes_sent();
  }
  return bytes;
}

std::int64_t ThriftPeerTransport::bytes_sent() const {
  std::lock_guard lock(mutex_);
  std::int64_t n = 0;
  for (const auto& [id, peer] : peers_) {
    n += peer->bytes_sent();
  }
  for (const auto& it : retired_peers_) {
    n += it->bytes_sent();
  }
  return n;
}

}  // namespace cranberryshunt::consensus
