// Taking back what other kinds borrowed.
#include <algorithm>
#include <numeric>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// A claim outlives the stop of its victims, which takes up to a second.
constexpr Duration kClaimTime = std::chrono::seconds(2);
// Tasks that end this soon are waited for and not preempted. Interactive
// requests wait less.
constexpr Duration kDrainTime = std::chrono::milliseconds(500);
constexpr Duration kInteractiveDrainTime = std::chrono::milliseconds(50);
constexpr std::size_t kDrainSample = 16;
// Victims considered for one claim.
constexpr std::size_t kMostVictims = 512;
constexpr int kMostClaimsAtOnce = 32;
// Attempts that find nothing are bounded, since each looks at many tasks.
constexpr Duration kReclaimWindow = std::chrono::milliseconds(10);
constexpr int kMostFailedReclaims = 16;
constexpr double kRounding = 1e-9;
// What a kind keeps of its guarantee when its victims are coarse.
constexpr double kKeptPart = 0.9;
constexpr std::size_t kLeastRecentToCompact = 1024;

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
  return shares.ShareOf(left) > guarantee + kRounding &&
         shares.ShareOf(left - less) >= kKeptPart * guarantee;
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
  worker.claimed_until = now + kClaimTime;
  worker.claimed = job.need;
  state(job.kind).claimed = state(job.kind).claimed + job.need;
  claimed_workers.push_back(number);
}

void Scheduler::Implementation::DropClaim(std::int32_t number) {
  Worker& worker = workers.at(number);
  if (!worker.claimed_by) {
    return;
  }
  KindState& its_kind = state(*worker.claimed_by);
  its_kind.claimed = its_kind.claimed - worker.claimed;
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
  KindState& its_kind = state(job.kind);
  if (now - its_kind.reclaim_window_start >= kReclaimWindow) {
    its_kind.reclaim_window_start = now;
    its_kind.failed_reclaims = 0;
  }
  const int wanted = std::min(kMostClaimsAtOnce, job.queued());
  for (int claims = 0; claims < wanted; ++claims) {
    const Resources after =
        shares.reserved(job.kind) + its_kind.claimed + job.need;
    if (shares.ShareOf(after) > Guarantee(job.kind) + kRounding ||
        its_kind.failed_reclaims >= kMostFailedReclaims) {
      return;
    }
    if (!ClaimDraining(ref) && !ClaimByPreemption(ref)) {
      ++its_kind.failed_reclaims;
      return;
    }
  }
}

bool Scheduler::Implementation::ClaimDraining(JobRef ref) {
  const Job& job = jobs.at(ref);
  const Duration wait =
      job.kind == Kind::kInteractive ? kInteractiveDrainTime : kDrainTime;
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

// Looks at the most recently started tasks first, since their stop loses the
// least run time, until those on one worker make enough room.
bool Scheduler::Implementation::PreemptRecent(JobRef ref, Kind victim_kind) {
  const Job& job = jobs.at(ref);
  const auto& recent = state(victim_kind).recent_starts;
  std::vector<WorkerVictims> lists;
  std::size_t looked_at = 0;
  for (std::size_t n = recent.size(); n-- > 0 && looked_at < kMostVictims;) {
    const TaskRef& it = recent[n];
    ++looked_at;
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
  const auto enough = std::ranges::find_if(lists, [&](const WorkerVictims& it) {
    return MayClaim(it.worker, job) &&
           job.need.FitsIn(workers.at(it.worker).free + it.amount);
  });
  if (enough == lists.end()) {
    return false;
  }
  Claim(enough->worker, job);
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
    KindState& its_kind = state(job.kind);
    its_kind.preempting_resources = its_kind.preempting_resources + job.need;
  }
  pending.push_back(
      {Preempt{{job.id, ref.index}, workers.at(task.worker).id, true}, ref,
       task.attempts});
}

// Entries of ended tasks are removed once they are the larger part.
void Scheduler::Implementation::CompactRecent(KindState& its_kind) {
  const std::size_t running =
      static_cast<std::size_t>(std::max<std::int64_t>(0, its_kind.running));
  if (its_kind.recent_starts.size() < kLeastRecentToCompact ||
      its_kind.recent_starts.size() < 2 * running) {
    return;
  }
  std::erase_if(its_kind.recent_starts, [this](const TaskRef& it) {
    return !jobs.IsLive(it.job) ||
           jobs.at(it.job).tasks[static_cast<std::size_t>(it.index)].worker ==
               kNone;
  });
}

}  // namespace cranberryshunt::policy
