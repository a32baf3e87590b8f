#include "cranberryshunt/consensus/replica.h"

#include <utility>

#include "membership.h"
#include "replica_storage.h"
#include "replica_thread.h"

namespace cranberryshunt::consensus {

struct Replica::Implementation {
  ReplicaThread thread;
  PeerTransport& transport;
};

Replica::Replica(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Replica::~Replica() = default;

Result<std::unique_ptr<Replica>> Replica::Start(
    const ReplicaOptions& options,
    storage::FileSystem& file_system,
    const Clock& clock,
    PeerTransport& transport,
    ReplicaObserver& observer) {
  auto storage = ReplicaStorage::Open(options, file_system);
  if (!storage) {
    return tl::unexpected(storage.error());
  }
  // ReplicaThread cannot be moved, so it is constructed in place.
  std::unique_ptr<Implementation> implementation(new Implementation{
      ReplicaThread(options, std::move(*storage), clock, transport, observer),
      transport});
  return std::unique_ptr<Replica>(new Replica(std::move(implementation)));
}

void Replica::Receive(std::vector<wire::RaftMessage> messages) {
  // Messages are dropped when the queue is full, as the network may drop them
  // too.
  (void)implementation_->thread.Post(QueueItem(std::move(messages)));
}

void Replica::Propose(std::int64_t term,
                      std::string data,
                      ProposalCallback callback) {
  implementation_->thread.Propose({term, std::move(data), std::move(callback)});
}

bool Replica::HasLease() const {
  return implementation_->thread.HasLease();
}

bool Replica::HasLease(std::int64_t term) const {
  return implementation_->thread.HasLease(term);
}

RoleChange Replica::role() const {
  return implementation_->thread.role();
}

wire::Membership Replica::membership() const {
  return implementation_->thread.membership();
}

MembershipStatus Replica::membership_status() const {
  return implementation_->thread.membership_status();
}

std::string Replica::disk_identity() const {
  return implementation_->thread.disk_identity();
}

ReplicaStats Replica::stats() const {
  auto stats = implementation_->thread.stats();
  stats.bytes_sent = implementation_->transport.bytes_sent();
  return stats;
}

void Replica::ChangeMembership(const wire::MembershipChange& change,
                               ProposalCallback callback) {
  QueueItem item(ChangeRequest{change, std::move(callback)});
  if (!implementation_->thread.Post(std::move(item))) {
    // Post() leaves the item unchanged when it fails.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    std::get<ChangeRequest>(item).callback(
        Fail(ResultCode::kQueueFull, "too many proposals are open"));
  }
}

bool Replica::TransferLeadership(std::chrono::milliseconds timeout) {
  const auto current = role();
  if (current.role == Role::kLeader && CountVoters(membership()) < 2) {
    return false;
  }
  (void)implementation_->thread.Post(
      QueueItem(TransferRequest{timeout.count()}));
  return implementation_->thread.WaitForOtherLeader(timeout);
}

void Replica::Compact(std::int64_t index, std::string snapshot) {
  (void)implementation_->thread.Post(
      QueueItem(CompactRequest{index, std::move(snapshot)}));
}

}  // namespace cranberryshunt::consensus
