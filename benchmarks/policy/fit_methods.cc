// Compares methods of finding a worker with enough free resources.
#include <fmt/core.h>

#include <algorithm>
#include <random>

#include "fleet.h"
#include "sections.h"
#include "worker_table.h"

namespace cranberryshunt::policy {

namespace {

using WallClock = std::chrono::steady_clock;

// Examines every worker and returns the one on which the task would leave the
// smallest dominant share free.
class LinearBestFit {
 public:
  explicit LinearBestFit(const std::vector<Resources>& capacity)
      : capacity_(capacity), free_(capacity) {}

  std::int32_t Find(const Resources& need) {
    std::int32_t best = -1;
    double best_left = 2;
    for (std::size_t n = 0; n < free_.size(); ++n) {
      if (!need.FitsIn(free_[n])) {
        continue;
      }
      const double left = DominantShare(free_[n] - need, capacity_[n]);
      if (left < best_left) {
        best = static_cast<std::int32_t>(n);
        best_left = left;
      }
    }
    return best;
  }

  void ChangeFree(std::int32_t worker, const Resources& amount) {
    auto& free = free_[static_cast<std::size_t>(worker)];
    free = free + amount;
  }

 private:
  std::vector<Resources> capacity_;
  std::vector<Resources> free_;
};

// A binary tree with the largest free amount of each resource in each subtree;
// finds the first worker that fits.
class MaximumTree {
 public:
  explicit MaximumTree(const std::vector<Resources>& capacity) {
    while (leaves_ < capacity.size()) {
      leaves_ *= 2;
    }
    nodes_.resize(2 * leaves_, Resources{-1, -1, -1, -1});
    std::ranges::copy(capacity,
                      nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t n = leaves_; n-- > 1;) {
      UpdateNode(n);
    }
  }

  std::int32_t Find(const Resources& need) const { return Descend(1, need); }

  void ChangeFree(std::int32_t worker, const Resources& amount) {
    std::size_t n = leaves_ + static_cast<std::size_t>(worker);
    nodes_[n] = nodes_[n] + amount;
    for (n /= 2; n > 0; n /= 2) {
      UpdateNode(n);
    }
  }

 private:
  void UpdateNode(std::size_t n) {
    const Resources& left = nodes_[2 * n];
    const Resources& right = nodes_[2 * n + 1];
    nodes_[n] = {std::max(left.milli_cpus, right.milli_cpus),
                 std::max(left.memory_bytes, right.memory_bytes),
                 std::max(left.accelerators, right.accelerators),
                 std::max(left.slots, right.slots)};
  }

  std::int32_t Descend(std::size_t n, const Resources& need) const {
    if (!need.FitsIn(nodes_[n])) {
      return -1;
    }
    if (n >= leaves_) {
      return static_cast<std::int32_t>(n - leaves_);
    }
    const std::int32_t left = Descend(2 * n, need);
    return left >= 0 ? left : Descend(2 * n + 1, need);
  }

  std::size_t leaves_ = 1;
  std::vector<Resources> nodes_;
};

// The index of the library. It searches samples of workers in buckets of
// similar free capacity and, when no sampled worker fits, all workers.
class BucketIndex {
 public:
  explicit BucketIndex(const std::vector<Resources>& capacity) : table_(1) {
    for (std::size_t n = 0; n < capacity.size(); ++n) {
      const WorkerInfo info = LargeFleetWorker(static_cast<int>(n));
      table_.SetInfo(table_.Add(info.id), info);
    }
  }

  std::int32_t Find(const Resources& need) {
    PlacementQuery query;
    query.need = need;
    return table_.FindWorker(query);
  }

  void ChangeFree(std::int32_t worker, const Resources& amount) {
    if (amount.milli_cpus < 0) {
      table_.Reserve(worker, Resources() - amount);
    } else {
      table_.Release(worker, amount);
    }
  }

 private:
  WorkerTable table_;
};

struct PlacedTask {
  std::int32_t worker;
  Resources need;
};

// Fills the fleet up to the fraction `level` of its CPUs, then replaces random
// tasks. Prints the mean cost of a replacement, which includes a search and the
// updates of the index, and the share of empty workers, which shows how tightly
// the method packs.
template <typename Method>
void Compare(std::string_view name, int workers, double level) {
  std::vector<Resources> capacity;
  std::int64_t total = 0;
  for (int n = 0; n < workers; ++n) {
    capacity.push_back(LargeFleetWorker(n).capacity);
    total += capacity.back().milli_cpus;
  }
  Method method(capacity);
  std::mt19937_64 random(1);
  std::vector<PlacedTask> placed;
  std::vector<int> tasks(capacity.size());
  std::int64_t used = 0;
  const auto place = [&] {
    const auto cpus = static_cast<std::int64_t>(1 + random() % 8);
    const Resources need = {
        cpus * 1000,
        cpus * static_cast<std::int64_t>(1 + random() % 6) * kGigabyte,
        random() % 20 == 0 ? 1 : 0, 1};
    const std::int32_t worker = method.Find(need);
    if (worker >= 0) {
      method.ChangeFree(worker, Resources() - need);
      placed.push_back({worker, need});
      used += need.milli_cpus;
      ++tasks[static_cast<std::size_t>(worker)];
    }
  };
  const auto remove = [&] {
    std::swap(placed[random() % placed.size()], placed.back());
    const PlacedTask it = placed.back();
    method.ChangeFree(it.worker, it.need);
    used -= it.need.milli_cpus;
    --tasks[static_cast<std::size_t>(it.worker)];
    placed.pop_back();
  };
  for (int n = 0;
       n < workers * 40 &&
       used < static_cast<std::int64_t>(level * static_cast<double>(total));
       ++n) {
    place();
  }
  constexpr int kMeasuredReplacements = 5'000;
  const auto start = WallClock::now();
  for (int n = 0; n < kMeasuredReplacements; ++n) {
    remove();
    place();
  }
  const double micros =
      std::chrono::duration<double, std::micro>(WallClock::now() - start)
          .count() /
      kMeasuredReplacements;
  fmt::print(
      "{:>16} {:>6} workers, {:>3.0f}% of CPUs reserved: {:>8.2f} us, "
      "{:>4.1f}% of workers empty\n",
      name, workers,
      100.0 * static_cast<double>(used) / static_cast<double>(total), micros,
      100.0 * static_cast<double>(std::ranges::count(tasks, 0)) / workers);
}

}  // namespace

void CompareFitMethods() {
  fmt::print("== ways to find a worker, search and update ==\n");
  for (const double level : {0.6, 1.0}) {
    for (const int workers : {48, 1'000, 4'000, 13'000}) {
      Compare<BucketIndex>("buckets", workers, level);
      Compare<LinearBestFit>("linear best fit", workers, level);
      Compare<MaximumTree>("maximum tree", workers, level);
    }
  }
}

}  // namespace cranberryshunt::policy
