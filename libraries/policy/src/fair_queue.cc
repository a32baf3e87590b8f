#include "fair_queue.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

constexpr std::size_t kMinStaleToCompact = 64;

}  // namespace

Resources ComponentMin(const Resources& left, const Resources& right) {
  return {std::min(left.milli_cpus, right.milli_cpus),
          std::min(left.memory_bytes, right.memory_bytes),
          std::min(left.accelerators, right.accelerators),
          std::min(left.slots, right.slots)};
}

std::int64_t FairQueue::team_tasks(std::int32_t number) const {
  const auto n = static_cast<std::size_t>(number);
  return n < teams_.size() ? teams_[n].queued_tasks : 0;
}

FairQueue::Key FairQueue::KeyOf(std::int32_t number) const {
  const Team& it = teams_[static_cast<std::size_t>(number)];
  return {it.share, it.serve_order, number};
}

bool FairQueue::IsWaiting(JobRef job) const {
  return job_table_.IsLive(job) && job_table_.at(job).enqueued;
}

void FairQueue::PushBack(std::int32_t number, JobRef job, double share) {
  team(number).jobs.push_back(job);
  if (team(number).status == Status::kBlocked &&
      team(number).jobs.size() > kLookAhead) {
    return;
  }
  MakeReady(number, share);
}

void FairQueue::PushFront(std::int32_t number, JobRef job, double share) {
  team(number).jobs.push_front(job);
  MakeReady(number, share);
}

void FairQueue::MakeReady(std::int32_t number, double share) {
  if (team(number).status == Status::kBlocked) {
    Unblock(number);
  }
  UpdateShare(number, share);
  team(number).status = Status::kReady;
  ready_.insert(KeyOf(number));
}

void FairQueue::AdjustQueuedTasks(std::int32_t number, std::int64_t change) {
  team(number).queued_tasks += change;
  queued_tasks_ += change;
}

void FairQueue::MarkStale(std::int32_t number) {
  Team& it = team(number);
  ++it.stale;
  if (it.stale >= kMinStaleToCompact && it.stale * 2 > it.jobs.size()) {
    std::erase_if(it.jobs, [&](JobRef job) { return !IsWaiting(job); });
    it.stale = 0;
  }
}

void FairQueue::Trim(std::int32_t number) {
  Team& it = team(number);
  while (!it.jobs.empty() && !IsWaiting(it.jobs.front())) {
    it.jobs.pop_front();
    it.stale -= it.stale > 0 ? 1 : 0;
  }
  if (it.jobs.empty()) {
    MakeIdle(number);
  }
}

std::int32_t FairQueue::first_ready() const {
  return ready_.empty() ? kNone : std::get<std::int32_t>(*ready_.begin());
}

void FairQueue::UpdateShare(std::int32_t number, double share) {
  Team& it = team(number);
  if (it.share == share) {
    return;
  }
  if (it.status == Status::kReady) {
    ready_.erase(KeyOf(number));
  }
  it.share = share;
  if (it.status == Status::kReady) {
    ready_.insert(KeyOf(number));
  }
}

void FairQueue::MarkServed(std::int32_t number) {
  Team& it = team(number);
  if (it.status == Status::kReady) {
    ready_.erase(KeyOf(number));
  }
  it.serve_order = next_serve_order_++;
  if (it.status == Status::kReady) {
    ready_.insert(KeyOf(number));
  }
}

void FairQueue::BlockTeam(std::int32_t number) {
  Team& it = team(number);
  if (it.status == Status::kReady) {
    ready_.erase(KeyOf(number));
  }
  if (it.status != Status::kBlocked) {
    blocked_.push_back(number);
  }
  it.status = Status::kBlocked;
}

void FairQueue::Unblock(std::int32_t number) {
  Team& it = team(number);
  if (it.status != Status::kBlocked) {
    return;
  }
  std::erase(blocked_, number);
  it.status = Status::kReady;
  ready_.insert(KeyOf(number));
}

void FairQueue::UnblockOldest(std::size_t limit) {
  const std::size_t count = std::min(limit, blocked_.size());
  for (std::size_t n = 0; n < count; ++n) {
    team(blocked_[n]).status = Status::kReady;
    ready_.insert(KeyOf(blocked_[n]));
  }
  blocked_.erase(blocked_.begin(),
                 blocked_.begin() + static_cast<std::ptrdiff_t>(count));
}

void FairQueue::UnblockQuota(std::int32_t number) {
  const auto n = static_cast<std::size_t>(number);
  if (n < teams_.size() && teams_[n].status == Status::kBlocked &&
      teams_[n].block_reason == BlockReason::kQuota) {
    Unblock(number);
  }
}

void FairQueue::MakeIdle(std::int32_t number) {
  Team& it = team(number);
  if (it.status == Status::kReady) {
    ready_.erase(KeyOf(number));
  } else if (it.status == Status::kBlocked) {
    std::erase(blocked_, number);
  }
  it.status = Status::kIdle;
}

}  // namespace cranberryshunt::policy
