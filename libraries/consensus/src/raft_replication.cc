#include <algorithm>
#include <functional>
#include <utility>

#include "cranberryshunt/consensus/raft.h"
#include "membership.h"

namespace cranberryshunt::consensus {

using wire::RaftMessageType;

namespace {

wire::LogEntry ToWire(storage::LogEntry entry) {
  wire::LogEntry out;
  out.index = entry.index;
  out.term = entry.term;
  out.type = entry.type;
  out.data = std::move(entry.data);
  return out;
}

storage::LogEntry FromWire(wire::LogEntry entry) {
  return {entry.index, entry.term, entry.type, std::move(entry.data)};
}

}  // namespace

void Raft::SendHeartbeats() {
  for (auto& [id, progress] : progress_) {
    if (now_ - progress.last_sent_at < options_.heartbeat_ms) {
      continue;
    }
    const bool chunk_timed_out =
        now_ - progress.last_chunk_sent_at >= options_.election_timeout_ms;
    const bool silent = now_ - std::max(leader_since_, progress.last_reply_at) >
                        options_.election_timeout_ms;
    if (silent && progress.state == ProgressState::kReplicate) {
      // The peer may have restarted with an empty data folder and then knows no
      // address to reply to. Probes carry the membership.
      EnterProbeState(progress);
    }
    if (progress.state == ProgressState::kSnapshot && chunk_timed_out) {
      progress.awaiting_reply = false;
      SendToPeer(id, progress);
    } else {
      SendAppend(id, progress, true);
    }
  }
}

void Raft::SendAppends() {
  for (auto& [id, progress] : progress_) {
    SendToPeer(id, progress);
  }
}

void Raft::SendToPeer(const std::string& id, Progress& progress) {
  if (progress.state != ProgressState::kSnapshot &&
      progress.next <= log_.base_index()) {
    EnterSnapshotState(progress);
  }
  switch (progress.state) {
    case ProgressState::kSnapshot:
      if (!progress.awaiting_reply) {
        SendChunk(id, progress);
      }
      return;
    case ProgressState::kProbe:
      if (!progress.awaiting_reply) {
        SendAppend(id, progress, true);
      }
      return;
    case ProgressState::kReplicate:
      while (progress.next <= log_.last_index() &&
             progress.inflight_bytes < options_.max_inflight_bytes) {
        SendAppend(id, progress, false);
      }
      return;
  }
}

void Raft::SendAppend(const std::string& id,
                      Progress& progress,
                      bool heartbeat) {
  auto message = MakeMessage(RaftMessageType::kAppend, id);
  // While a snapshot is being sent, heartbeats refer to its last entry, which
  // the follower has only once it has installed the snapshot.
  message.log_index = progress.state == ProgressState::kSnapshot
                          ? progress.snapshot->index
                          : progress.next - 1;
  message.log_term = progress.state == ProgressState::kSnapshot
                         ? progress.snapshot->term
                         : log_.TermAt(message.log_index).value_or(0);
  message.commit = commit_index_;
  progress.last_sent_at = now_;
  if (progress.state == ProgressState::kProbe) {
    // The receiver may not know any member yet, or may not know that the
    // membership does not name its disk.
    message.membership = membership();
    progress.awaiting_reply = true;
  }
  if (!heartbeat) {
    std::size_t n = 0;
    for (auto& it : log_.Slice(progress.next, options_.max_batch_bytes)) {
      n += it.data.size();
      message.entries.push_back(ToWire(std::move(it)));
    }
    progress.next = message.entries.back().index + 1;
    progress.inflight.push_back({progress.next - 1, n});
    progress.inflight_bytes += n;
  }
  output_.messages_before_sync.push_back(std::move(message));
}

void Raft::EnterProbeState(Progress& progress) {
  progress.state = ProgressState::kProbe;
  progress.awaiting_reply = false;
  progress.snapshot = nullptr;
  progress.inflight.clear();
  progress.inflight_bytes = 0;
}

void Raft::Acknowledge(Progress& progress, std::int64_t match) {
  progress.match = std::max(progress.match, match);
  progress.next = std::max(progress.next, progress.match + 1);
  if (progress.state == ProgressState::kProbe ||
      (progress.state == ProgressState::kSnapshot &&
       progress.match >= progress.snapshot->index)) {
    EnterProbeState(progress);
    progress.next = progress.match + 1;
    progress.state = ProgressState::kReplicate;
  }
  std::erase_if(progress.inflight, [&](const Inflight& it) {
    if (it.last > progress.match) {
      return false;
    }
    progress.inflight_bytes -= it.bytes;
    return true;
  });
}

void Raft::OnAppend(wire::RaftMessage& message) {
  if (role_ == Role::kLeader) {
    return;
  }
  if (role_ == Role::kCandidate) {
    BecomeFollower(hard_state_.term, message.sender);
  }
  leader_id_ = message.sender;
  last_leader_contact_ = now_;
  ResetElectionTimer();
  if (!message.membership.members.empty()) {
    leader_membership_ = message.membership;
  }
  auto reply = MakeReply(RaftMessageType::kAppendReply, message);
  const auto last =
      message.log_index + static_cast<std::int64_t>(message.entries.size());
  if (message.log_index > log_.last_index()) {
    reply.hint_index = log_.last_index();
    output_.messages_after_sync.push_back(std::move(reply));
    return;
  }
  const auto term = log_.TermAt(message.log_index);
  // Entries up to the commit index are identical in every log.
  if (message.log_index > commit_index_ && term != message.log_term) {
    auto hint = message.log_index - 1;
    while (hint > commit_index_ && log_.TermAt(hint) == term) {
      --hint;
    }
    reply.hint_index = hint;
    output_.messages_after_sync.push_back(std::move(reply));
    return;
  }
  const auto committed_count =
      std::max<std::int64_t>(0, commit_index_ - message.log_index);
  AppendFrom(message.entries, static_cast<std::size_t>(committed_count));
  commit_index_ = std::max(commit_index_, std::min(message.commit, last));
  reply.accepted = true;
  reply.log_index = last;
  output_.messages_after_sync.push_back(std::move(reply));
}

void Raft::AppendFrom(std::vector<wire::LogEntry>& entries, std::size_t first) {
  for (auto i = first; i < entries.size(); ++i) {
    auto& entry = entries[i];
    if (log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      TruncateFrom(entry.index);
    }
    auto stored = FromWire(std::move(entry));
    AddConfig(stored);
    log_.Append(std::move(stored));
  }
  UpdateFollowerRole();
}

void Raft::RecordReply(Progress& progress, const wire::RaftMessage& message) {
  progress.last_reply_at = now_;
  progress.last_acked_sent_at =
      std::max(progress.last_acked_sent_at, std::min(message.sent_at_ms, now_));
}

void Raft::OnAppendReply(const wire::RaftMessage& message) {
  auto* progress = FindProgress(message);
  if (progress == nullptr) {
    return;
  }
  RecordReply(*progress, message);
  if (message.accepted) {
    Acknowledge(*progress, std::min(message.log_index, log_.last_index()));
    MaybeCommit();
    TickTransfer();
    return;
  }
  // Ignores rejections of outdated messages.
  const bool current = progress->state == ProgressState::kProbe
                           ? message.log_index == progress->next - 1
                           : progress->state == ProgressState::kReplicate &&
                                 message.log_index > progress->match;
  if (!current) {
    return;
  }
  EnterProbeState(*progress);
  progress->next = std::max(
      progress->match + 1, std::min(message.log_index, message.hint_index + 1));
}

void Raft::MaybeCommit() {
  std::vector<std::int64_t> matches;
  for (const auto& it : membership().members) {
    if (!it.voter) {
      continue;
    }
    const auto progress = progress_.find(it.id);
    if (it.id == options_.id) {
      matches.push_back(durable_index_);
    } else {
      matches.push_back(progress == progress_.end() ? 0
                                                    : progress->second.match);
    }
  }
  if (matches.empty()) {
    return;
  }
  const auto quorum = matches.size() / 2;
  std::nth_element(matches.begin(), matches.begin() + static_cast<long>(quorum),
                   matches.end(), std::greater<>());
  const auto index = matches[quorum];
  if (index > commit_index_ && log_.TermAt(index) == hard_state_.term) {
    commit_index_ = index;
  }
}

}  // namespace cranberryshunt::consensus
