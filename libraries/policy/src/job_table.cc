#include "job_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cranberryshunt::policy {

std::int32_t Job::TakeQueued() {
  if (!requeued.empty()) {
    const std::int32_t index = requeued.back();
    requeued.pop_back();
    return index;
  }
  return next_new_index++;
}

void Job::Requeue(std::int32_t index) {
  const auto at = std::ranges::lower_bound(requeued, index, std::greater<>());
  requeued.insert(at, index);
}

void Job::CountDomain(std::vector<DomainCount>& counts,
                      std::int32_t domain,
                      std::int32_t change) {
  const auto it = std::ranges::find(counts, domain, &DomainCount::domain);
  if (it == counts.end()) {
    counts.push_back({domain, change});
    return;
  }
  it->tasks += change;
  if (it->tasks == 0) {
    *it = counts.back();
    counts.pop_back();
  }
}

JobRef JobTable::Add(Job job) {
  JobSlot slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<JobSlot>(jobs_.size());
    jobs_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  job.generation = jobs_[slot].generation + 1;
  jobs_[slot] = std::move(job);
  const bool added = slots_.emplace(jobs_[slot].id, slot).second;
  assert(added);
  (void)added;
  return {slot, jobs_[slot].generation};
}

void JobTable::Remove(JobRef ref) {
  assert(IsLive(ref));
  slots_.erase(jobs_[ref.slot].id);
  Job empty;
  empty.generation = ref.generation + 1;
  jobs_[ref.slot] = std::move(empty);
  free_slots_.push_back(ref.slot);
}

std::optional<JobRef> JobTable::Find(std::string_view id) const {
  const auto it = slots_.find(id);
  if (it == slots_.end()) {
    return std::nullopt;
  }
  return JobRef{it->second, jobs_[it->second].generation};
}

}  // namespace cranberryshunt::policy
