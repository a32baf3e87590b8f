// Failure handling and status of the consensus thread.
#include <utility>

#include "cranberryshunt/base/log.h"
#include "replica_thread.h"

namespace cranberryshunt::consensus {

namespace {

constexpr std::chrono::milliseconds kRecoveryInterval{250};

}  // namespace

void ReplicaThread::FinishProposal(PendingProposal& pending,
                                   Result<std::int64_t> result) {
  if (pending.counted) {
    open_proposals_.fetch_sub(1);
    open_proposal_bytes_.fetch_sub(pending.bytes);
  }
  if (pending.callback) {
    pending.callback(std::move(result));
  }
}

void ReplicaThread::FailStaleProposals() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (raft_->role() == Role::kLeader && it->second.term == raft_->term()) {
      ++it;
      continue;
    }
    auto pending = std::move(it->second);
    it = pending_.erase(it);
    FinishProposal(pending,
                   Fail(ResultCode::kNotLeader, "leadership was lost"));
  }
}

void ReplicaThread::FailAllProposals(const Error& error) {
  for (auto pending = std::move(pending_); auto& [index, it] : pending) {
    FinishProposal(it, tl::unexpected(error));
  }
  pending_.clear();
}

// `unwritten` is the output that could not be written; its messages were not
// sent and its entries were not synced. It is null after a failed sync.
void ReplicaThread::HandleStorageFailure(const Error& error,
                                         const RaftOutput* unwritten) {
  lease_until_us_ = 0;
  failure_ = error;
  Log(LogLevel::kError, "consensus", "storage failed",
      {{"error", error.message()}});
  if (error.code() == ResultCode::kStorageFull) {
    // Only a rollback makes it certain that no entry of the batch reappears.
    if (auto rolled_back = storage_->RollBack(); !rolled_back) {
      failure_ = rolled_back.error();
    }
  }
  const bool full = failure_->code() == ResultCode::kStorageFull;
  if (full && unwritten != nullptr && !unwritten->entries.empty()) {
    const auto first = unwritten->entries.front().index;
    for (auto it = pending_.lower_bound(first); it != pending_.end();) {
      auto pending = std::move(it->second);
      it = pending_.erase(it);
      FinishProposal(pending, tl::unexpected(*failure_));
    }
  }
  FailAllProposals(
      full ? Error(ResultCode::kNotLeader, "the disk of the leader is full")
           : *failure_);
  next_recovery_ = clock_.Now() + kRecoveryInterval;
  SetRole({raft_->role() == Role::kLearner ? Role::kLearner : Role::kFollower,
           raft_->term(),
           {},
           {}});
  observer_.OnStorageFailure(*failure_);
}

void ReplicaThread::Refuse(QueueItem& item, const Error& error) {
  if (auto* proposal = std::get_if<Proposal>(&item)) {
    PendingProposal pending;
    pending.bytes = proposal->data.size();
    pending.counted = true;
    pending.callback = std::move(proposal->callback);
    FinishProposal(pending, tl::unexpected(error));
  } else if (auto* change = std::get_if<ChangeRequest>(&item)) {
    if (change->callback) {
      change->callback(tl::unexpected(error));
    }
  } else if (std::holds_alternative<SnapshotWritten>(item)) {
    writing_snapshot_ = false;
  }
}

void ReplicaThread::TryRecover() {
  // The data folder must not be loaded while a snapshot is being written.
  if (failure_->code() != ResultCode::kStorageFull || writing_snapshot_ ||
      clock_.Now() < next_recovery_) {
    return;
  }
  next_recovery_ = clock_.Now() + kRecoveryInterval;
  if (auto recovered = storage_->Recover(); !recovered) {
    if (recovered.error().code() != ResultCode::kStorageFull) {
      failure_ = recovered.error();
      observer_.OnStorageFailure(*failure_);
    }
    return;
  }
  const auto applied = raft_->applied_index();
  StartRaft(applied);
  failure_.reset();
  Log(LogLevel::kInfo, "consensus", "storage has space again");
  const auto& snapshot = raft_->snapshot();
  if (snapshot && snapshot->index > applied) {
    observer_.OnSnapshot(snapshot->index, snapshot->data);
  }
  Flush();
}

void ReplicaThread::PublishStatus() {
  if (lease_term_ != raft_->term()) {
    lease_until_us_ = 0;
    lease_term_ = raft_->term();
  }
  lease_until_us_ = raft_->LeaseUntil() * 1000;
  if (auto contacts = raft_->KnownMembers(); contacts != known_members_) {
    known_members_ = std::move(contacts);
    transport_.SetMembers(known_members_);
    LogMembership();
  }
  std::lock_guard lock(mutex_);
  membership_ = {raft_->membership(), raft_->IsMembershipCommitted(),
                 raft_->Contacts()};
  stats_.term = raft_->term();
  stats_.commit_index = raft_->commit_index();
  stats_.last_index = raft_->log().last_index();
  stats_.first_index = raft_->log().base_index() + 1;
  stats_.syncs = storage_->syncs();
}

void ReplicaThread::LogMembership() const {
  std::string voters;
  std::string learners;
  for (const auto& it : known_members_.members) {
    auto& ids = it.voter ? voters : learners;
    ids += (ids.empty() ? "" : ",") + it.id;
  }
  Log(LogLevel::kInfo, "consensus", "membership changed",
      {{"voters", voters}, {"learners", learners}});
}

void ReplicaThread::PublishRole() {
  RoleChange change;
  change.role = raft_->role();
  change.term = raft_->term();
  if (change.role == Role::kLeader && !raft_->IsReadyLeader()) {
    change.role = Role::kCandidate;
  } else {
    change.leader_id = raft_->leader_id();
    change.leader_address = raft_->LeaderAddress();
  }
  SetRole(change);
}

void ReplicaThread::SetRole(const RoleChange& change) {
  {
    std::lock_guard lock(mutex_);
    if (change == role_) {
      return;
    }
    role_ = change;
    role_changed_.notify_all();
  }
  observer_.OnRoleChange(change);
}

}  // namespace cranberryshunt::consensus
