// Queues of one kind: one FIFO queue for each team, the team with the lowest
// dominant share first.
#ifndef CRANBERRYSHUNT_POLICY_FAIR_QUEUE_H_
#define CRANBERRYSHUNT_POLICY_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <set>
#include <tuple>
#include <vector>

#include "job_table.h"

namespace cranberryshunt::policy {

// Jobs of a team that are tried in turn when the first ones do not fit, so that
// a large job at the front does not leave small room unused.
inline constexpr std::size_t kLookAhead = 4;

// The component-wise minimum.
Resources ComponentMin(const Resources& left, const Resources& right);

// A team whose first jobs could not be placed is blocked, and tried again when
// a release makes room for one of them, or on the next tick.
class FairQueue {
 public:
  enum class Status : std::uint8_t { kIdle, kReady, kBlocked };
  // What the jobs tried last lacked.
  enum class BlockReason : std::uint8_t {
    kCapacity,
    kWithheld,  // Room that is kept for another kind.
    kQuota,
  };

  struct Team {
    std::deque<JobRef> jobs;
    std::int64_t queued_tasks = 0;
    std::size_t stale = 0;  // Entries of jobs that are gone.
    Status status = Status::kIdle;
    double share = 0;
    std::uint64_t serve_order = 0;
    BlockReason block_reason = BlockReason::kCapacity;
    // The least need among the jobs tried, and the releases seen by then.
    Resources min_need;
    std::uint64_t releases_seen = 0;
  };

  explicit FairQueue(const JobTable& jobs) : job_table_(jobs) {}

  void PushBack(std::int32_t team, JobRef job, double share);
  void PushFront(std::int32_t team, JobRef job, double share);
  // Counts tasks that enter or leave the team's queue.
  void AdjustQueuedTasks(std::int32_t team, std::int64_t change);
  // Says that an entry of the team became stale.
  void MarkStale(std::int32_t team);
  // Drops stale entries at the front.
  void Trim(std::int32_t team);

  // The ready team with the lowest share; kNone when there is none.
  std::int32_t first_ready() const;
  // Whether an entry is not stale.
  bool IsWaiting(JobRef job) const;
  void UpdateShare(std::int32_t team, double share);
  // Takes the shares again after the size of the fleet changed.
  template <typename Function>
  void RefreshShares(Function share_of) {
    for (std::size_t n = 0; n < teams_.size(); ++n) {
      const auto number = static_cast<std::int32_t>(n);
      UpdateShare(number, share_of(number));
    }
  }
  void MarkServed(std::int32_t team);
  void BlockTeam(std::int32_t team);
  void Unblock(std::int32_t team);
  // Makes the team ready when it is blocked by its quota.
  void UnblockQuota(std::int32_t team);
  // Makes ready the teams that have been blocked longest.
  void UnblockOldest(std::size_t limit);
  const std::vector<std::int32_t>& blocked() const { return blocked_; }

  // The releases seen when a team last found that room must be kept for
  // another kind.
  std::uint64_t withheld_releases_seen() const {
    return withheld_releases_seen_;
  }
  void set_withheld_releases_seen(std::uint64_t releases) {
    withheld_releases_seen_ = releases;
  }

  Team& team(std::int32_t number) {
    const auto n = static_cast<std::size_t>(number);
    if (n >= teams_.size()) {
      teams_.resize(n + 1);
    }
    return teams_[n];
  }
  std::int64_t team_tasks(std::int32_t number) const;
  std::int64_t queued_tasks() const { return queued_tasks_; }
  // Teams with queued jobs.
  std::size_t active_teams() const { return ready_.size() + blocked_.size(); }

 private:
  using Key = std::tuple<double, std::uint64_t, std::int32_t>;

  void MakeReady(std::int32_t number, double share);
  void MakeIdle(std::int32_t number);
  Key KeyOf(std::int32_t number) const;

  const JobTable& job_table_;
  std::vector<Team> teams_;
  std::set<Key> ready_;
  std::vector<std::int32_t> blocked_;
  std::int64_t queued_tasks_ = 0;
  std::uint64_t next_serve_order_ = 1;
  std::uint64_t withheld_releases_seen_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FAIR_QUEUE_H_
