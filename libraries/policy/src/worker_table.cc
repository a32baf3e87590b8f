#include "worker_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr std::size_t kMaxGroupsPerZone = 8;

// Two classes per power of two, so that workers of similar size share a group.
std::int64_t SizeClass(std::int64_t amount) {
  return amount > 0 ? static_cast<std::int64_t>(
                          2 * std::log2(static_cast<double>(amount)))
                    : -1;
}

// Workers without a region or zone are put into one named "-".
std::string NameOrDash(const std::string& name) {
  return name.empty() ? "-" : name;
}

// Returns the list at `number` and enlarges `lists` if needed.
std::vector<std::int32_t>& ListAt(std::vector<std::vector<std::int32_t>>& lists,
                                  std::int32_t number) {
  const auto n = static_cast<std::size_t>(number);
  if (n >= lists.size()) {
    lists.resize(n + 1);
  }
  return lists[n];
}

}  // namespace

std::int32_t WorkerTable::Add(const std::string& id) {
  if (const std::int32_t existing = Find(id); existing != kNone) {
    return existing;
  }
  std::int32_t number = 0;
  if (free_numbers_.empty()) {
    number = static_cast<std::int32_t>(workers_.size());
    workers_.emplace_back();
  } else {
    number = free_numbers_.back();
    free_numbers_.pop_back();
  }
  at(number) = Worker();
  at(number).id = id;
  numbers_.emplace(id, number);
  return number;
}

std::int32_t WorkerTable::Find(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? kNone : it->second;
}

void WorkerTable::SetInfo(std::int32_t number, const WorkerInfo& info) {
  Worker& worker = at(number);
  Unindex(number);
  const Resources reserved = worker.capacity - worker.free;
  if (worker.present) {
    capacity_ = capacity_ - worker.capacity;
    Region& region = regions_[static_cast<std::size_t>(worker.region)];
    region.capacity = region.capacity - worker.capacity;
    peak_capacity_.RemoveWorker(worker.zone, worker.capacity);
  }
  worker.region = region_names_.Add(NameOrDash(info.region));
  worker.zone = zone_names_.Add(NameOrDash(info.availability_zone));
  worker.rack = rack_names_.Add(info.availability_zone + '/' + info.rack);
  worker.capacity = info.capacity;
  worker.free = info.capacity - reserved;
  worker.present = true;
  capacity_ = capacity_ + worker.capacity;
  if (regions_.size() <= static_cast<std::size_t>(worker.region)) {
    regions_.resize(static_cast<std::size_t>(worker.region) + 1);
  }
  Region& region = regions_[static_cast<std::size_t>(worker.region)];
  region.capacity = region.capacity + worker.capacity;
  if (std::ranges::find(region.zones, worker.zone) == region.zones.end()) {
    region.zones.push_back(worker.zone);
  }
  peak_capacity_.AddWorker(worker.region, worker.zone, worker.capacity);
  for (const bool accelerated : {false, true}) {
    FitGroup::Entry& entry = worker.entries[accelerated ? 1 : 0];
    entry.group = accelerated && worker.capacity.accelerators == 0
                      ? -1
                      : GroupFor(worker, accelerated);
  }
  Refresh(number);
}

bool WorkerTable::HasLocation(std::int32_t number,
                              const WorkerInfo& info) const {
  const Worker& worker = at(number);
  return worker.region == region_names_.Find(NameOrDash(info.region)) &&
         worker.zone == zone_names_.Find(NameOrDash(info.availability_zone)) &&
         worker.rack ==
             rack_names_.Find(info.availability_zone + '/' + info.rack);
}

void WorkerTable::Remove(std::int32_t number) {
  Worker& worker = at(number);
  assert(worker.tasks.empty());
  Unindex(number);
  if (worker.present) {
    capacity_ = capacity_ - worker.capacity;
    Region& region = regions_[static_cast<std::size_t>(worker.region)];
    region.capacity = region.capacity - worker.capacity;
    peak_capacity_.RemoveWorker(worker.zone, worker.capacity);
  }
  numbers_.erase(worker.id);
  worker = Worker();
  free_numbers_.push_back(number);
}

void WorkerTable::Reserve(std::int32_t number, const Resources& amount) {
  Unindex(number);
  at(number).free = at(number).free - amount;
  Index(number);
}

void WorkerTable::Release(std::int32_t number, const Resources& amount) {
  UndoReserve(number, amount);
  LogRelease(number);
}

void WorkerTable::UndoReserve(std::int32_t number, const Resources& amount) {
  Unindex(number);
  at(number).free = at(number).free + amount;
  Index(number);
}

void WorkerTable::Refresh(std::int32_t number) {
  Unindex(number);
  Index(number);
  LogRelease(number);
}

void WorkerTable::LogRelease(std::int32_t number) {
  if (at(number).startable) {
    release_log_[releases_ % kReleaseLogSize] = number;
    ++releases_;
  }
}

void WorkerTable::Index(std::int32_t number) {
  Worker& worker = at(number);
  worker.startable = worker.present && worker.accepting &&
                     !worker.quarantined && !worker.start_limited;
  if (!worker.startable) {
    return;
  }
  Region& region = regions_[static_cast<std::size_t>(worker.region)];
  region.free = region.free + worker.free;
  for (FitGroup::Entry& entry : worker.entries) {
    if (entry.group >= 0) {
      FitGroup& group = groups_[static_cast<std::size_t>(entry.group)];
      group.Insert(number, group.BucketOf(worker.free, worker.capacity), entry);
    }
  }
}

void WorkerTable::Unindex(std::int32_t number) {
  Worker& worker = at(number);
  if (!worker.startable) {
    return;
  }
  worker.startable = false;
  Region& region = regions_[static_cast<std::size_t>(worker.region)];
  region.free = region.free - worker.free;
  for (std::size_t n = 0; n < worker.entries.size(); ++n) {
    FitGroup::Entry& entry = worker.entries[n];
    if (entry.group < 0) {
      continue;
    }
    FitGroup& group = groups_[static_cast<std::size_t>(entry.group)];
    const std::int32_t moved = group.Remove(entry);
    if (moved >= 0) {
      at(moved).entries[n].position = entry.position;
    }
  }
}

std::int32_t WorkerTable::GroupFor(const Worker& worker, bool accelerated) {
  const std::array<std::int64_t, 5> key = {
      worker.zone, SizeClass(worker.capacity.milli_cpus),
      SizeClass(worker.capacity.memory_bytes), worker.capacity.accelerators,
      accelerated ? 1 : 0};
  const auto n = static_cast<std::size_t>(accelerated);
  auto& in_zone = ListAt(zone_groups_[n], worker.zone);
  auto existing = std::ranges::find_if(in_zone, [&](std::int32_t it) {
    return group_keys_[static_cast<std::size_t>(it)] == key;
  });
  // Once a zone has the maximum number of groups, its last group takes all
  // further sizes. This bounds the number of groups that a search visits.
  if (existing == in_zone.end() && in_zone.size() >= kMaxGroupsPerZone) {
    existing = in_zone.end() - 1;
  }
  if (existing != in_zone.end()) {
    groups_[static_cast<std::size_t>(*existing)].IncludeCapacity(
        worker.capacity);
    return *existing;
  }
  const auto group = static_cast<std::int32_t>(groups_.size());
  groups_.emplace_back(worker.region, worker.zone, accelerated);
  groups_.back().IncludeCapacity(worker.capacity);
  group_keys_.push_back(key);
  // Groups of workers without accelerators come first in the lists, so that
  // tasks that need none leave the accelerated workers free.
  for (auto* list :
       {&in_zone, &ListAt(region_groups_[n], worker.region), &all_groups_[n]}) {
    const auto at = std::ranges::find_if(*list, [&](std::int32_t it) {
      return group_keys_[static_cast<std::size_t>(it)][3] > key[3];
    });
    list->insert(at, group);
  }
  return group;
}

std::vector<std::int32_t> WorkerTable::Sample(std::int32_t region,
                                              std::int32_t zone,
                                              std::size_t limit) {
  std::vector<std::int32_t> sample;
  const std::size_t start = random_.Below(workers_.size());
  for (std::size_t n = 0; n < workers_.size() && sample.size() < limit; ++n) {
    const auto number =
        static_cast<std::int32_t>((start + n) % workers_.size());
    const Worker& worker = at(number);
    if (worker.startable && (region == kNone || region == worker.region) &&
        (zone == kNone || zone == worker.zone)) {
      sample.push_back(number);
    }
  }
  return sample;
}

}  // namespace cranberryshunt::policy
