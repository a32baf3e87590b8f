#include <algorithm>
#include <utility>

#include "cranberryshunt/consensus/raft.h"

namespace cranberryshunt::consensus {

using wire::RaftMessageType;

void Raft::EnterSnapshotState(Progress& progress) {
  EnterProbeState(progress);
  progress.state = ProgressState::kSnapshot;
  progress.snapshot = snapshot_;
  progress.offset = 0;
}

void Raft::SendChunk(const std::string& id, Progress& progress) {
  const auto& snapshot = *progress.snapshot;
  auto message = MakeMessage(RaftMessageType::kSnapshotChunk, id);
  message.log_index = snapshot.index;
  message.log_term = snapshot.term;
  message.membership = snapshot.membership;
  message.commit = commit_index_;
  message.offset = static_cast<std::int64_t>(progress.offset);
  message.data =
      snapshot.data.substr(progress.offset, options_.snapshot_chunk_bytes);
  message.last = progress.offset + message.data.size() == snapshot.data.size();
  progress.awaiting_reply = true;
  progress.last_sent_at = now_;
  progress.last_chunk_sent_at = now_;
  output_.messages_before_sync.push_back(std::move(message));
}

void Raft::OnSnapshotChunk(wire::RaftMessage& message) {
  if (role_ == Role::kLeader) {
    return;
  }
  if (role_ == Role::kCandidate) {
    BecomeFollower(hard_state_.term, message.sender);
  }
  leader_id_ = message.sender;
  last_leader_contact_ = now_;
  ResetElectionTimer();
  if (leader_membership_.members.empty()) {
    leader_membership_ = message.membership;
  }
  auto reply = MakeReply(RaftMessageType::kSnapshotReply, message);
  if (message.log_index <= commit_index_) {
    reply.accepted = true;
    output_.messages_after_sync.push_back(std::move(reply));
    return;
  }
  if (message.offset == 0 || incoming_snapshot_.index != message.log_index ||
      incoming_snapshot_.term != message.log_term) {
    incoming_snapshot_ = {message.log_index, message.log_term, {}};
  }
  if (message.offset ==
      static_cast<std::int64_t>(incoming_snapshot_.data.size())) {
    incoming_snapshot_.data += message.data;
    if (message.last) {
      auto snapshot = std::make_shared<SnapshotState>();
      snapshot->index = incoming_snapshot_.index;
      snapshot->term = incoming_snapshot_.term;
      snapshot->membership = std::move(message.membership);
      snapshot->data = std::move(incoming_snapshot_.data);
      incoming_snapshot_ = {};
      InstallSnapshot(std::move(snapshot));
      reply.accepted = true;
    }
  }
  reply.offset = static_cast<std::int64_t>(incoming_snapshot_.data.size());
  output_.messages_after_sync.push_back(std::move(reply));
}

void Raft::InstallSnapshot(std::shared_ptr<const SnapshotState> snapshot) {
  const auto index = snapshot->index;
  const bool log_continues = log_.TermAt(index) == snapshot->term;
  if (log_continues) {
    std::erase_if(configs_,
                  [&](const Config& it) { return it.index <= index; });
  } else {
    log_.Reset(index, snapshot->term);
    configs_.clear();
    output_.reset_log = true;
    output_.truncate_from.reset();
    output_index_ = index;
    durable_index_ = index;
  }
  configs_.insert(configs_.begin(), {index, snapshot->membership});
  commit_index_ = index;
  applied_index_ = index;
  snapshot_ = snapshot;
  output_.snapshot = std::move(snapshot);
  UpdateFollowerRole();
}

void Raft::OnSnapshotReply(const wire::RaftMessage& message) {
  auto* progress = FindProgress(message);
  if (progress == nullptr) {
    return;
  }
  RecordReply(*progress, message);
  if (progress->state != ProgressState::kSnapshot ||
      progress->snapshot->index != message.log_index) {
    return;
  }
  if (message.accepted) {
    Acknowledge(*progress, message.log_index);
    MaybeCommit();
    return;
  }
  const auto offset = std::min(static_cast<std::size_t>(message.offset),
                               progress->snapshot->data.size());
  if (offset == progress->offset) {
    return;  // Another copy of a reply: the next chunk was sent already.
  }
  progress->offset = offset;
  progress->awaiting_reply = false;
}

}  // namespace cranberryshunt::consensus
