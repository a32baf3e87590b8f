#include "replica_thread.h"

#include <algorithm>
#include <cstring>
#include <type_traits>
#include <utility>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::consensus {

namespace {

// Queue capacity for messages and requests in addition to the proposals, so
// that a flood of proposals does not displace heartbeats.
constexpr std::size_t kMessageCapacity = 4'096;

// A follower acknowledges whole messages, so that larger ones would keep it
// silent, and heartbeats waiting behind them, for longer on a slow link.
constexpr std::size_t kMaxMessageBytes = 128 << 10;
constexpr std::size_t kMaxInflightBytes = 4 * kMaxMessageBytes;

std::uint64_t RandomSeed() {
  std::uint64_t seed = 0;
  std::memcpy(&seed, RandomBytes(sizeof(seed)).data(), sizeof(seed));
  return seed;
}

}  // namespace

ReplicaThread::ReplicaThread(const ReplicaOptions& options,
                             std::unique_ptr<ReplicaStorage> storage,
                             const Clock& clock,
                             PeerTransport& transport,
                             ReplicaObserver& observer)
    : options_(options),
      storage_(std::move(storage)),
      clock_(clock),
      transport_(transport),
      observer_(observer),
      disk_identity_(storage_->disk_identity()),
      queue_(options.max_proposals_in_flight + kMessageCapacity) {
  StartRaft(0);
  PublishStatus();
  snapshot_thread_ = std::thread([this] { WriteSnapshots(); });
  thread_ = std::thread([this] { Run(); });
}

ReplicaThread::~ReplicaThread() {
  stopping_ = true;
  queue_.Close();
  snapshots_to_write_.Close();
  thread_.join();
  snapshot_thread_.join();
}

std::int64_t ReplicaThread::NowMs() const {
  return ToMilliseconds(clock_.Now().time_since_epoch());
}

void ReplicaThread::StartRaft(std::int64_t applied) {
  RaftOptions options;
  options.id = options_.id;
  options.disk_identity = disk_identity_;
  options.heartbeat_ms = options_.heartbeat_interval.count();
  options.election_timeout_ms = options_.election_timeout.count();
  options.max_batch_bytes =
      std::min(options_.max_batch_bytes, kMaxMessageBytes);
  options.max_inflight_bytes = kMaxInflightBytes;
  options.seed = RandomSeed();
  auto start = storage_->TakeInitialState();
  start.applied = applied;
  raft_.emplace(std::move(options), std::move(start), NowMs());
}

void ReplicaThread::Propose(Proposal proposal) {
  const auto bytes = proposal.data.size();
  const auto proposals = open_proposals_.fetch_add(1) + 1;
  const auto total_bytes = open_proposal_bytes_.fetch_add(bytes) + bytes;
  const bool within_limits =
      proposals <= options_.max_proposals_in_flight &&
      total_bytes <= options_.max_proposal_bytes_in_flight;
  QueueItem item(std::move(proposal));
  if (within_limits && Post(std::move(item))) {
    return;
  }
  // Post() leaves the item unchanged when it fails.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  Refuse(item, stopping_ ? Error(ResultCode::kShuttingDown, "shutting down")
                         : Error(ResultCode::kQueueFull,
                                 "too many proposals are open"));
}

bool ReplicaThread::HasLease() const {
  const auto now = clock_.Now().time_since_epoch().count();
  return now < lease_until_us_.load();
}

bool ReplicaThread::HasLease(std::int64_t term) const {
  // Terms only grow, so the lease that is read between two equal terms is of
  // that term.
  return lease_term_ == term && HasLease() && lease_term_ == term;
}

RoleChange ReplicaThread::role() const {
  std::lock_guard lock(mutex_);
  return role_;
}

wire::Membership ReplicaThread::membership() const {
  std::lock_guard lock(mutex_);
  return membership_.membership;
}

MembershipStatus ReplicaThread::membership_status() const {
  std::lock_guard lock(mutex_);
  return membership_;
}

ReplicaStats ReplicaThread::stats() const {
  std::lock_guard lock(mutex_);
  return stats_;
}

bool ReplicaThread::WaitForOtherLeader(
    std::chrono::milliseconds timeout) const {
  std::unique_lock lock(mutex_);
  return role_changed_.wait_until(
      lock, std::chrono::steady_clock::now() + timeout, [&] {
        return !role_.leader_id.empty() && role_.leader_id != options_.id;
      });
}

void ReplicaThread::Run() {
  if (raft_->snapshot()) {
    observer_.OnSnapshot(raft_->snapshot()->index, raft_->snapshot()->data);
  }
  transport_.SetMembers(raft_->KnownMembers());
  known_members_ = raft_->KnownMembers();
  std::vector<QueueItem> items;
  while (!stopping_) {
    items.clear();
    queue_.PopMany(items, options_.max_batch_items,
                   options_.heartbeat_interval / 2);
    if (failure_) {
      for (auto& it : items) {
        Refuse(it, *failure_);
      }
      TryRecover();
      continue;
    }
    for (auto& it : items) {
      Handle(it);
    }
    raft_->Tick(NowMs());
    Flush();
  }
  lease_until_us_ = 0;
  const Error error(ResultCode::kShuttingDown, "shutting down");
  FailAllProposals(error);
  for (items.clear(); queue_.PopMany(items, SIZE_MAX, Duration(0));
       items.clear()) {
    for (auto& it : items) {
      Refuse(it, error);
    }
  }
  if (!failure_) {
    // Stores the commit hint, with which the next start checks that the log is
    // complete. Without it, only the log itself can be checked.
    (void)storage_->SaveHardState(raft_->CurrentHardState());
  }
}

void ReplicaThread::Handle(QueueItem& item) {
  if (auto* messages = std::get_if<Messages>(&item)) {
    const auto now = NowMs();
    for (auto& it : *messages) {
      raft_->Step(std::move(it), now);
    }
  } else if (auto* proposal = std::get_if<Proposal>(&item)) {
    HandleProposal(*proposal);
  } else if (auto* change = std::get_if<ChangeRequest>(&item)) {
    HandleChange(*change);
  } else if (auto* transfer = std::get_if<TransferRequest>(&item)) {
    (void)raft_->TransferLeadership(transfer->timeout_ms);
  } else if (auto* compact = std::get_if<CompactRequest>(&item)) {
    HandleCompact(*compact);
  } else if (auto* written = std::get_if<SnapshotWritten>(&item)) {
    HandleSnapshotWritten(*written);
  }
}

void ReplicaThread::HandleProposal(Proposal& proposal) {
  PendingProposal pending;
  pending.term = raft_->term();
  pending.bytes = proposal.data.size();
  pending.counted = true;
  pending.callback = std::move(proposal.callback);
  if (proposal.term != raft_->term()) {
    FinishProposal(pending, Fail(ResultCode::kNotLeader,
                                 "the term of the proposal has ended"));
    return;
  }
  const auto index = raft_->Propose(std::move(proposal.data));
  if (!index) {
    FinishProposal(pending, index);
    return;
  }
  pending_[*index] = std::move(pending);
}

void ReplicaThread::HandleChange(ChangeRequest& request) {
  PendingProposal pending;
  pending.term = raft_->term();
  pending.callback = std::move(request.callback);
  const auto index = raft_->ChangeMembership(request.change);
  if (!index || *index == 0) {
    FinishProposal(pending, index);
    return;
  }
  pending_[*index] = std::move(pending);
}

void ReplicaThread::HandleCompact(CompactRequest& request) {
  if (writing_snapshot_) {
    return;
  }
  auto snapshot =
      raft_->MakeSnapshot(request.index, std::move(request.snapshot));
  if (snapshot) {
    writing_snapshot_ = snapshots_to_write_.TryPush(std::move(snapshot));
  }
}

void ReplicaThread::HandleSnapshotWritten(SnapshotWritten& written) {
  writing_snapshot_ = false;
  auto stored = std::move(written.result);
  if (stored) {
    raft_->Compact(std::move(written.snapshot));
    stored = storage_->DropPrefix(raft_->log().base_index());
  }
  if (!stored) {
    // The previous snapshot and the log are still intact.
    Log(LogLevel::kWarning, "consensus", "cannot store a snapshot",
        {{"error", stored.error().message()}});
  }
}

void ReplicaThread::WriteSnapshots() {
  constexpr std::chrono::seconds kWait{1};
  std::vector<std::shared_ptr<const SnapshotState>> snapshots;
  while (snapshots_to_write_.PopMany(snapshots, 1, kWait)) {
    for (auto& it : snapshots) {
      auto result = storage_->SaveSnapshot(*it);
      queue_.Push(QueueItem(SnapshotWritten{std::move(it), std::move(result)}));
    }
    snapshots.clear();
  }
}

void ReplicaThread::Flush() {
  do {
    if (!FlushOnce()) {
      return;
    }
  } while (raft_->HasOutput());
  PublishStatus();
  PublishRole();
}

bool ReplicaThread::FlushOnce() {
  auto output = raft_->TakeOutput();
  // A lease that was given up must no longer be visible when the messages are
  // sent.
  PublishStatus();
  if (auto written = storage_->Write(output); !written) {
    HandleStorageFailure(written.error(), &output);
    return false;
  }
  if (!output.messages_before_sync.empty()) {
    transport_.Send(std::move(output.messages_before_sync));
  }
  if (auto synced = storage_->Sync(); !synced) {
    HandleStorageFailure(synced.error(), nullptr);
    return false;
  }
  raft_->MarkPersisted();
  if (!output.messages_after_sync.empty()) {
    transport_.Send(std::move(output.messages_after_sync));
  }
  if (output.snapshot) {
    observer_.OnSnapshot(output.snapshot->index, output.snapshot->data);
  }
  Deliver();
  FailStaleProposals();
  return true;
}

void ReplicaThread::Deliver() {
  auto entries = raft_->TakeCommitted();
  if (entries.empty()) {
    return;
  }
  std::vector<std::pair<std::int64_t, std::int64_t>> committed;
  std::vector<CommittedEntry> commands;
  for (auto& it : entries) {
    committed.emplace_back(it.index, it.term);
    if (it.type == kCommandEntry) {
      commands.push_back({it.index, it.term, std::move(it.data)});
    }
  }
  if (!commands.empty()) {
    observer_.OnCommitted(std::move(commands));
  }
  for (const auto& [index, term] : committed) {
    auto node = pending_.extract(index);
    if (node.empty()) {
      continue;
    }
    if (node.mapped().term == term) {
      FinishProposal(node.mapped(), index);
    } else {
      FinishProposal(node.mapped(),
                     Fail(ResultCode::kNotLeader, "another leader took over"));
    }
  }
}

}  // namespace cranberryshunt::consensus
