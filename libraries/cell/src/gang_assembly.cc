#include "gang_assembly.h"

namespace cranberryshunt::cell {

void GangAssembly::Begin(const GangRun& gang,
                         std::int32_t members,
                         std::int64_t now_ms) {
  if (const auto known = entries_.find(gang); known != entries_.end()) {
    Remove(known);
  }
  Entry entry;
  for (std::int32_t n = 0; n < members; ++n) {
    entry.missing.insert(n);
  }
  entry.began_ms = now_ms;
  entries_[gang] = std::move(entry);
  deadlines_.insert({now_ms + limit_ms_, gang});
}

void GangAssembly::OnMemberStarted(const graph::TaskKey& task,
                                   std::int32_t run) {
  const auto it = entries_.find({task.step_key(), run});
  if (it == entries_.end()) {
    return;
  }
  it->second.missing.erase(task.index);
  if (it->second.missing.empty()) {
    confirmed_[it->first] = Remove(it).began_ms;
  }
}

void GangAssembly::OnProgress(const graph::TaskKey& task, std::int32_t run) {
  (void)Abandon(task, run);
}

std::optional<IncompleteGang> GangAssembly::Abandon(const graph::TaskKey& task,
                                                    std::int32_t run) {
  confirmed_.erase({task.step_key(), run});
  const auto it = entries_.find({task.step_key(), run});
  return it == entries_.end() ? std::nullopt : std::optional(Remove(it));
}

std::vector<IncompleteGang> GangAssembly::TakeOverdue(std::int64_t now_ms) {
  std::vector<IncompleteGang> out;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_ms) {
    out.push_back(Remove(entries_.find(deadlines_.begin()->second)));
  }
  return out;
}

std::vector<IncompleteGang> GangAssembly::FindWithoutProgress(
    std::int64_t now_ms,
    std::int64_t grace_ms) {
  std::erase_if(confirmed_, [&](const auto& it) {
    return now_ms >= it.second + limit_ms_ + grace_ms;
  });
  std::vector<IncompleteGang> out;
  for (const auto& [gang, began_ms] : confirmed_) {
    if (now_ms >= began_ms + limit_ms_) {
      out.push_back({gang, {}, began_ms});
    }
  }
  return out;
}

IncompleteGang GangAssembly::Remove(Entries::iterator it) {
  IncompleteGang out{it->first, std::move(it->second.missing),
                     it->second.began_ms};
  deadlines_.erase({out.began_ms + limit_ms_, out.gang});
  entries_.erase(it);
  return out;
}

}  // namespace cranberryshunt::cell
