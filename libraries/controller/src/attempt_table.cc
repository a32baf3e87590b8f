#include "attempt_table.h"

#include "conversions.h"

namespace cranberryshunt::controller {

Attempt& AttemptTable::Add(Attempt attempt) {
  const policy::TaskId task = ToTaskId(attempt.key);
  Remove(task);
  attempt.due.reset();
  by_worker_[attempt.worker].insert(task);
  return attempts_[task] = std::move(attempt);
}

Attempt* AttemptTable::Find(const policy::TaskId& task) {
  auto it = attempts_.find(task);
  return it == attempts_.end() ? nullptr : &it->second;
}

Attempt* AttemptTable::Find(const wire::AttemptKey& key) {
  Attempt* attempt = Find(ToTaskId(key));
  return attempt != nullptr && attempt->key == key ? attempt : nullptr;
}

void AttemptTable::Remove(const policy::TaskId& task) {
  auto it = attempts_.find(task);
  if (it == attempts_.end()) {
    return;
  }
  SetTimer(it->second, std::nullopt);
  auto worker = by_worker_.find(it->second.worker);
  worker->second.erase(task);
  if (worker->second.empty()) {
    by_worker_.erase(worker);
  }
  attempts_.erase(it);
}

void AttemptTable::SetTimer(Attempt& attempt, std::optional<TimePoint> due) {
  const policy::TaskId task = ToTaskId(attempt.key);
  if (attempt.due) {
    timers_.erase({*attempt.due, task});
  }
  attempt.due = due;
  if (due) {
    timers_.emplace(*due, task);
  }
}

std::vector<policy::TaskId> AttemptTable::TakeExpired(TimePoint now) {
  std::vector<policy::TaskId> due;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    due.push_back(timers_.begin()->second);
    attempts_.at(due.back()).due.reset();
    timers_.erase(timers_.begin());
  }
  return due;
}

std::vector<policy::TaskId> AttemptTable::OnWorker(
    const std::string& worker) const {
  auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) {
    return {};
  }
  return {it->second.begin(), it->second.end()};
}

std::size_t AttemptTable::CountOnWorker(const std::string& worker) const {
  auto it = by_worker_.find(worker);
  return it == by_worker_.end() ? 0 : it->second.size();
}

std::vector<policy::TaskId> AttemptTable::WithEntry(
    const std::string& entry) const {
  std::vector<policy::TaskId> found;
  for (const auto& [task, attempt] : attempts_) {
    const bool assigned = attempt.stage == Stage::kStartQueued ||
                          attempt.stage == Stage::kStartSent;
    if (assigned && attempt.entry == entry) {
      found.push_back(task);
    }
  }
  return found;
}

}  // namespace cranberryshunt::controller
