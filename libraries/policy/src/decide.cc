// The decision loop and its timers.
#include <algorithm>
#include <iterator>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// Blocked teams of each kind are also retried without a release, one for each
// elapsed period and at most this many per call, so that no single call retries
// all of them.
constexpr std::size_t kMaxTeamsToUnblock = 16;
constexpr Duration kUnblockPeriod = std::chrono::microseconds(2'500);
// Rounds of UnblockByRelease() in one call. Teams that remain blocked wait for
// the next call.
constexpr int kMaxUnblockRounds = 32;
// A task that runs this long shows that its worker can start tasks.
constexpr Duration kProvenRun = std::chrono::seconds(1);

}  // namespace

std::vector<Decision> Scheduler::Implementation::Decide(TimePoint time,
                                                        std::size_t limit) {
  SetNow(time);
  decisions.clear();
  RunTimers();
  int unblock_rounds = 0;
  for (;;) {
    MovePendingToDecisions(limit);
    const auto kind = NextKind();
    if (decisions.size() >= limit) {
      break;
    }
    if (kind) {
      ServeNext(*kind);
    } else if (unblock_rounds++ >= kMaxUnblockRounds || !UnblockByRelease()) {
      break;
    }
  }
  return std::move(decisions);
}

void Scheduler::Implementation::MovePendingToDecisions(std::size_t limit) {
  while (!pending.empty() && decisions.size() < limit) {
    if (!IsObsolete(pending.front())) {
      decisions.push_back(std::move(pending.front().decision));
    }
    pending.pop_front();
  }
}

bool Scheduler::Implementation::IsObsolete(const PendingDecision& it) const {
  if (!it.task) {
    return false;
  }
  if (!jobs.IsLive(it.task->job)) {
    return true;
  }
  const Task& task =
      jobs.at(it.task->job).tasks[static_cast<std::size_t>(it.task->index)];
  return task.worker == kNone || task.attempts != it.attempt;
}

void Scheduler::Implementation::RunTimers() {
  DropExpiredJobs();
  EndBackoffs();
  UnblockByTime();
  if (now - last_tick >= kTickPeriod) {
    last_tick = now;
    Tick();
  }
}

void Scheduler::Implementation::Tick() {
  headroom.Decay(now);
  ExpireClaims();
  CheckWorkers();
  if (reservation &&
      (!jobs.IsLive(reservation->job) || !jobs.at(reservation->job).enqueued ||
       now > reservation->expected_start + std::chrono::seconds(10))) {
    DropReservation();
  }
}

void Scheduler::Implementation::DropExpiredJobs() {
  while (const auto ref = deadlines.PopDue(now)) {
    if (jobs.IsLive(*ref) && !jobs.at(*ref).may_have_run &&
        jobs.at(*ref).reserved_tasks == 0 && !jobs.at(*ref).cancelled) {
      DropJob(*ref, ResultCode::kDeadlinePassed,
              "the deadline passed before the job could start");
    }
  }
}

void Scheduler::Implementation::DropJob(JobRef ref,
                                        ResultCode code,
                                        std::string reason) {
  pending.push_back(
      {Drop{jobs.at(ref).id, code, std::move(reason)}, std::nullopt, 0});
  RemoveQueuedTasks(ref);
  RemoveIfFinished(ref);
}

void Scheduler::Implementation::EndBackoffs() {
  while (const auto ref = backoffs.PopDue(now)) {
    if (!jobs.IsLive(ref->job)) {
      continue;
    }
    Job& job = jobs.at(ref->job);
    Task& task = job.tasks[static_cast<std::size_t>(ref->index)];
    if (task.state != TaskState::kBackingOff) {
      continue;
    }
    task.state = TaskState::kQueued;
    --job.backing_off;
    job.Requeue(ref->index);
    EnqueueAtFront(ref->job);
  }
}

bool Scheduler::Implementation::HasProvenRun(const Worker& worker) const {
  return std::ranges::any_of(worker.tasks, [this](const TaskRef& ref) {
    const Task& task =
        jobs.at(ref.job).tasks[static_cast<std::size_t>(ref.index)];
    return task.state == TaskState::kRunning &&
           now - task.placed_at >= kProvenRun;
  });
}

void Scheduler::Implementation::CheckWorkers() {
  const auto limited = start_limited_workers;
  for (const std::int32_t number : limited) {
    if (failure_tracker.health(number) == Health::kNormal &&
        HasProvenRun(workers.at(number))) {
      failure_tracker.SetProven(number);
      UpdateStartLimit(number);
    }
  }
  const auto quarantined = failure_tracker.quarantined();
  for (const std::int32_t number : quarantined) {
    if (failure_tracker.EndQuarantine(number, now)) {
      workers.at(number).quarantined = false;
      workers.at(number).on_probation = true;
      UpdateStartLimit(number);
      workers.Refresh(number);
    }
  }
}

bool Scheduler::Implementation::HasFittingRelease(FairQueue::Team& team) const {
  if (!workers.IsReleaseLogged(team.releases_seen)) {
    return true;
  }
  for (; team.releases_seen < workers.releases(); ++team.releases_seen) {
    const Worker& worker =
        workers.at(workers.released_worker(team.releases_seen));
    if (team.min_need.FitsIn(worker.free)) {
      return true;
    }
  }
  return false;
}

// Unblocks the teams that have been blocked longest, because some conditions,
// such as the headroom, change with time and without a release.
void Scheduler::Implementation::UnblockByTime() {
  const auto periods =
      static_cast<std::size_t>((now - last_unblock) / kUnblockPeriod);
  if (periods == 0) {
    return;
  }
  last_unblock = now;
  for (FairQueue& it : queues) {
    it.UnblockOldest(std::min(periods, kMaxTeamsToUnblock));
  }
}

// Unblocks at most one team of each kind: the one with the lowest share among
// those for which released capacity may suffice. More teams would often be
// retried in vain, since the first placement tends to use up the released
// capacity. Withheld capacity concerns the whole kind, so one team retries for
// all teams of the kind.
bool Scheduler::Implementation::UnblockByRelease() {
  bool unblocked = false;
  for (FairQueue& it : queues) {
    const bool retry_withheld =
        it.withheld_releases_seen() != workers.releases();
    std::int32_t first = kNone;
    for (const std::int32_t number : it.blocked()) {
      FairQueue::Team& team = it.team(number);
      if (first != kNone && it.team(first).share <= team.share) {
        continue;
      }
      const bool may_fit =
          team.block_reason == FairQueue::BlockReason::kCapacity &&
          HasFittingRelease(team);
      if (may_fit || (retry_withheld &&
                      team.block_reason == FairQueue::BlockReason::kWithheld)) {
        first = number;
      }
    }
    if (first != kNone) {
      if (it.team(first).block_reason == FairQueue::BlockReason::kWithheld) {
        it.set_withheld_releases_seen(workers.releases());
      }
      it.Unblock(first);
      unblocked = true;
    }
  }
  return unblocked;
}

// Returns the next kind to serve: interactive work while it is below its
// guarantee, since its waiting time matters most, and otherwise the kind with
// the lowest ratio of share to guarantee.
std::optional<Kind> Scheduler::Implementation::NextKind() const {
  std::optional<Kind> best;
  double best_ratio = 0;
  for (std::size_t n = 0; n < kKindCount; ++n) {
    const auto kind = static_cast<Kind>(n);
    if (queues[n].first_ready() == kNone) {
      continue;
    }
    const double share = shares.KindShare(kind);
    const double guarantee = Guarantee(kind);
    // Ranks kinds without a guarantee after those that have one.
    constexpr double kNoGuaranteeRatio = 1e6;
    double ratio =
        guarantee > 0 ? share / guarantee : kNoGuaranteeRatio + share;
    if (kind == Kind::kInteractive && ratio < 1) {
      ratio = -1;
    }
    if (!best || ratio < best_ratio) {
      best = kind;
      best_ratio = ratio;
    }
  }
  return best;
}

void Scheduler::Implementation::ServeNext(Kind kind) {
  FairQueue& kind_queue = queue(kind);
  const std::int32_t team = kind_queue.first_ready();
  kind_queue.Trim(team);
  if (kind_queue.team(team).status != FairQueue::Status::kReady) {
    return;
  }
  if (ServeJobs(kind, team)) {
    kind_queue.Trim(team);
    return;
  }
  kind_queue.Trim(team);
  if (kind_queue.team(team).status == FairQueue::Status::kReady) {
    kind_queue.team(team).releases_seen = workers.releases();
    kind_queue.BlockTeam(team);
  }
}

// Tries to place the first jobs of a team in order; returns whether one was
// placed.
bool Scheduler::Implementation::ServeJobs(Kind kind, std::int32_t number) {
  FairQueue::Team& team = queue(kind).team(number);
  team.block_reason = FairQueue::BlockReason::kQuota;
  std::size_t tried = 0;
  for (std::size_t n = 0; n < team.jobs.size() && tried < kLookAhead;) {
    const JobRef ref = team.jobs[n];
    if (!queue(kind).IsWaiting(ref)) {
      team.jobs.erase(team.jobs.begin() + static_cast<std::ptrdiff_t>(n));
      team.stale -= team.stale > 0 ? 1 : 0;
      continue;
    }
    const Resources need = jobs.at(ref).need;
    const PlacementOutcome outcome = TryJob(ref);
    if (outcome == PlacementOutcome::kPlaced) {
      if (jobs.at(ref).queued() == 0) {
        jobs.at(ref).enqueued = false;
        team.jobs.erase(team.jobs.begin() + static_cast<std::ptrdiff_t>(n));
      }
      queue(kind).MarkServed(number);
      return true;
    }
    ++n;
    if (outcome == PlacementOutcome::kDropped) {
      continue;
    }
    if (outcome == PlacementOutcome::kNoCapacity) {
      const bool first = team.block_reason != FairQueue::BlockReason::kCapacity;
      team.min_need = first ? need : ComponentMin(team.min_need, need);
      team.block_reason = FairQueue::BlockReason::kCapacity;
    } else if (outcome == PlacementOutcome::kWithheld &&
               team.block_reason == FairQueue::BlockReason::kQuota) {
      team.block_reason = FairQueue::BlockReason::kWithheld;
    }
    ++tried;
  }
  return false;
}

std::optional<TimePoint> Scheduler::Implementation::NextDue() const {
  std::optional<TimePoint> due = deadlines.next_due();
  const auto consider = [&due](std::optional<TimePoint> other) {
    if (other && (!due || *other < *due)) {
      due = other;
    }
  };
  consider(backoffs.next_due());
  const bool any_blocked = std::ranges::any_of(
      queues, [](const FairQueue& it) { return !it.blocked().empty(); });
  if (any_blocked || !claimed_workers.empty() ||
      !start_limited_workers.empty() ||
      !failure_tracker.quarantined().empty()) {
    consider(last_tick + kTickPeriod);
  }
  return due;
}

}  // namespace cranberryshunt::policy
