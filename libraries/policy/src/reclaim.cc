// Reclaims capacity that other kinds have borrowed.
#include <algorithm>
#include <numeric>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// A claim lasts longer than stopping the preempted tasks, which takes up to a
// second.
constexpr Duration kClaimDuration = std::chrono::seconds(2);
// Tasks expected to end within this time are waited for and not preempted.
// Interactive jobs wait for a shorter time.
constexpr Duration kMaxDrainWait = std::chrono::milliseconds(500);
constexpr Duration kMaxInteractiveDrainWait = std::chrono::milliseconds(50);
constexpr std::size_t kDrainSample = 16;
// Tasks considered for preemption per claim.
constexpr std::size_t kMaxVictims = 512;
constexpr int kMaxClaimsPerCall = 32;
// Limits the failed attempts per window, since each of them checks many tasks.
constexpr Duration kReclaimWindow = std::chrono::milliseconds(10);
constexpr int kMaxFailedReclaims = 16;
constexpr double kShareTolerance = 1e-9;
// A kind keeps at least this fraction of its guarantee when large tasks are
// preempted.
constexpr double kKeptFraction = 0.9;
constexpr std::size_t kMinEntriesToCompact = 1024;

struct WorkerVictims {
  std::int32_t worker;
  Resources amount;
  std::vector<TaskRef> tasks;
};

WorkerVictims& VictimsOf(std::vector<WorkerVictims>& lists,
                         std::int32_t worker) {
  const auto it = std::ranges::find(lists, worker, &WorkerVictims::worker);
  return it != lists.end() ? *it
                           : lists.emplace_back(WorkerVictims{worker, {}, {}});
}

}  // namespace

bool Scheduler::Implementation::IsAboveGuarantee(Kind kind,
                                                 const Resources& less) const {
  const Resources left =
      shares.reserved(kind) - kinds[IndexOf(kind)].preempting_resources;
  const double guarantee = Guarantee(kind);
  return shares.ShareOf(left) > guarantee + kShareTolerance &&
         shares.ShareOf(left - less) >= kKeptFraction * guarantee;
}

bool Scheduler::Implementation::IsPreemptible(const TaskRef& ref) const {
  if (!jobs.IsLive(ref.job)) {
    return false;
  }
  const Job& job = jobs.at(ref.job);
  const Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
  return job.idempotent && !job.cancelled && job.kind != Kind::kGang &&
         task.worker != kNone && !task.preempting &&
         IsAboveGuarantee(job.kind, job.need);
}

std::vector<Kind> Scheduler::Implementation::VictimKinds(Kind kind) const {
  std::vector<Kind> victims;
  for (std::size_t n = 0; n < kKindCount; ++n) {
    const auto other = static_cast<Kind>(n);
    if (other != kind && IsAboveGuarantee(other, Resources())) {
      victims.push_back(other);
    }
  }
  std::ranges::stable_sort(victims, std::ranges::greater(), [this](Kind it) {
    return shares.KindShare(it) - Guarantee(it);
  });
  return victims;
}

bool Scheduler::Implementation::MayClaim(std::int32_t number,
                                         const Job& job) const {
  const Worker& worker = workers.at(number);
  return worker.present && worker.accepting && !worker.quarantined &&
         !worker.claimed_by && !worker.held_for &&
         job.need.FitsIn(worker.capacity) &&
         (job.require_region == kNone || job.require_region == worker.region) &&
         (job.require_zone == kNone || job.require_zone == worker.zone);
}

void Scheduler::Implementation::Claim(std::int32_t number, const Job& job) {
  Worker& worker = workers.at(number);
  worker.claimed_by = job.kind;
  worker.claimed_until = now + kClaimDuration;
  worker.claimed = job.need;
  state(job.kind).claimed = state(job.kind).claimed + job.need;
  claimed_workers.push_back(number);
}

void Scheduler::Implementation::DropClaim(std::int32_t number) {
  Worker& worker = workers.at(number);
  if (!worker.claimed_by) {
    return;
  }
  KindState& kind_state = state(*worker.claimed_by);
  kind_state.claimed = kind_state.claimed - worker.claimed;
  worker.claimed_by.reset();
  worker.claimed = Resources();
  std::erase(claimed_workers, number);
  workers.Refresh(number);
}

void Scheduler::Implementation::ExpireClaims() {
  const auto claimed = claimed_workers;
  for (const std::int32_t number : claimed) {
    const Worker& worker = workers.at(number);
    if (worker.claimed_until <= now || !worker.accepting ||
        worker.quarantined) {
      DropClaim(number);
    }
  }
}

void Scheduler::Implementation::Reclaim(JobRef ref) {
  const Job& job = jobs.at(ref);
  KindState& kind_state = state(job.kind);
  if (now - kind_state.reclaim_window_start >= kReclaimWindow) {
    kind_state.reclaim_window_start = now;
    kind_state.failed_reclaims = 0;
  }
  const int max_claims = std::min(kMaxClaimsPerCall, job.queued());
  for (int claims = 0; claims < max_claims; ++claims) {
    const Resources reserved_after =
        shares.reserved(job.kind) + kind_state.claimed + job.need;
    if (shares.ShareOf(reserved_after) >
            Guarantee(job.kind) + kShareTolerance ||
        kind_state.failed_reclaims >= kMaxFailedReclaims) {
      return;
    }
    if (!ClaimDraining(ref) && !ClaimByPreemption(ref)) {
      ++kind_state.failed_reclaims;
      return;
    }
  }
}

bool Scheduler::Implementation::ClaimDraining(JobRef ref) {
  const Job& job = jobs.at(ref);
  const Duration wait =
      job.kind == Kind::kInteractive ? kMaxInteractiveDrainWait : kMaxDrainWait;
  for (const std::int32_t number :
       workers.Sample(job.require_region, job.require_zone, kDrainSample)) {
    if (!MayClaim(number, job)) {
      continue;
    }
    const Worker& worker = workers.at(number);
    Resources free = worker.free;
    for (const TaskRef& it : worker.tasks) {
      const Job& other = jobs.at(it.job);
      const Task& task = other.tasks[static_cast<std::size_t>(it.index)];
      const auto estimate = RunEstimate(other);
      if (other.kind != job.kind && estimate &&
          task.placed_at + *estimate <= now + wait &&
          IsAboveGuarantee(other.kind, other.need)) {
        free = free + other.need;
      }
    }
    if (job.need.FitsIn(free)) {
      Claim(number, job);
      return true;
    }
  }
  return false;
}

bool Scheduler::Implementation::ClaimByPreemption(JobRef ref) {
  const auto victims = VictimKinds(jobs.at(ref).kind);
  return std::ranges::any_of(
      victims, [&](Kind kind) { return PreemptRecent(ref, kind); });
}

// Checks the most recently started tasks first, since preempting them loses the
// least run time, until those on one worker free enough capacity.
bool Scheduler::Implementation::PreemptRecent(JobRef ref, Kind victim_kind) {
  const Job& job = jobs.at(ref);
  const auto& recent = state(victim_kind).recent_starts;
  std::vector<WorkerVictims> lists;
  std::size_t checked = 0;
  for (std::size_t n = recent.size(); n-- > 0 && checked < kMaxVictims;) {
    const TaskRef& it = recent[n];
    ++checked;
    if (!jobs.IsLive(it.job)) {
      continue;
    }
    const Job& other = jobs.at(it.job);
    const Task& task = other.tasks[static_cast<std::size_t>(it.index)];
    if (task.worker == kNone || task.preempting ||
        !MayClaim(task.worker, job)) {
      continue;
    }
    if (victim_kind == Kind::kGang) {
      if (PreemptGang(ref, it)) {
        return true;
      }
      continue;
    }
    if (!IsPreemptible(it)) {
      continue;
    }
    WorkerVictims& list = VictimsOf(lists, task.worker);
    if (std::ranges::find(list.tasks, it) != list.tasks.end()) {
      continue;
    }
    list.amount = list.amount + other.need;
    list.tasks.push_back(it);
    if (!job.need.FitsIn(workers.at(task.worker).free + list.amount) ||
        !IsAboveGuarantee(victim_kind, list.amount)) {
      continue;
    }
    const std::int32_t number = task.worker;
    Claim(number, job);
    for (const TaskRef& victim : list.tasks) {
      PreemptTask(victim, true);
    }
    return true;
  }
  return false;
}

bool Scheduler::Implementation::PreemptGang(JobRef ref, const TaskRef& victim) {
  const Job& job = jobs.at(ref);
  const Job& gang = jobs.at(victim.job);
  if (gang.cancelled || !gang.idempotent ||
      !IsAboveGuarantee(Kind::kGang, gang.need * gang.reserved_tasks)) {
    return false;
  }
  std::vector<WorkerVictims> lists;
  for (std::size_t n = 0; n < gang.tasks.size(); ++n) {
    const Task& task = gang.tasks[n];
    if (task.worker != kNone) {
      WorkerVictims& list = VictimsOf(lists, task.worker);
      list.amount = list.amount + gang.need;
      list.tasks.push_back({victim.job, static_cast<std::int32_t>(n)});
    }
  }
  const auto sufficient =
      std::ranges::find_if(lists, [&](const WorkerVictims& it) {
        return MayClaim(it.worker, job) &&
               job.need.FitsIn(workers.at(it.worker).free + it.amount);
      });
  if (sufficient == lists.end()) {
    return false;
  }
  Claim(sufficient->worker, job);
  for (const WorkerVictims& list : lists) {
    for (const TaskRef& it : list.tasks) {
      if (!gang.tasks[static_cast<std::size_t>(it.index)].preempting) {
        PreemptTask(it, true);
      }
    }
  }
  return true;
}

void Scheduler::Implementation::PreemptTask(const TaskRef& ref, bool reclaim) {
  Job& job = jobs.at(ref.job);
  Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
  task.preempting = true;
  task.reclaimed = reclaim;
  if (reclaim) {
    KindState& kind_state = state(job.kind);
    kind_state.preempting_resources =
        kind_state.preempting_resources + job.need;
  }
  pending.push_back(
      {Preempt{{job.id, ref.index}, workers.at(task.worker).id, true}, ref,
       task.attempts});
}

// Removes the entries of ended tasks once there are at least twice as many
// entries as running tasks.
void Scheduler::Implementation::CompactRecentStarts(KindState& kind_state) {
  const std::size_t running =
      static_cast<std::size_t>(std::max<std::int64_t>(0, kind_state.running));
  if (kind_state.recent_starts.size() < kMinEntriesToCompact ||
      kind_state.recent_starts.size() < 2 * running) {
    return;
  }
  std::erase_if(kind_state.recent_starts, [this](const TaskRef& it) {
    return !jobs.IsLive(it.job) ||
           jobs.at(it.job).tasks[static_cast<std::size_t>(it.index)].worker ==
               kNone;
  });
}

}  // namespace cranberryshunt::policy
