// Queue of the jobs of one kind. Each team has a FIFO queue, and the ready team
// with the lowest dominant share is served first.
#ifndef CRANBERRYSHUNT_POLICY_FAIR_QUEUE_H_
#define CRANBERRYSHUNT_POLICY_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <set>
#include <tuple>
#include <vector>

#include "job_table.h"

namespace cranberryshunt::policy {

// Number of jobs at the front of a team's queue that are tried in order, so
// that a large job at the front does not leave capacity unused in which a
// smaller job fits.
inline constexpr std::size_t kLookAhead = 4;

// Returns the component-wise minimum.
Resources ComponentMin(const Resources& left, const Resources& right);

// A team whose first jobs could not be placed is blocked. It is retried when a
// release may make one of them fit, and from time to time without a release.
class FairQueue {
 public:
  enum class Status : std::uint8_t { kIdle, kReady, kBlocked };
  // Why the jobs tried last could not be placed.
  enum class BlockReason : std::uint8_t {
    kCapacity,
    kWithheld,  // Capacity that is kept for other kinds.
    kQuota,
  };

  struct Team {
    std::deque<JobRef> jobs;
    std::int64_t queued_tasks = 0;
    std::size_t stale = 0;  // Entries of jobs that are no longer queued.
    Status status = Status::kIdle;
    double share = 0;
    std::uint64_t serve_order = 0;
    BlockReason block_reason = BlockReason::kCapacity;
    // The component-wise minimum of what the jobs tried need, and the number of
    // releases that have been checked against it.
    Resources min_need;
    std::uint64_t releases_seen = 0;
  };

  explicit FairQueue(const JobTable& jobs) : job_table_(jobs) {}

  void PushBack(std::int32_t team, JobRef job, double share);
  void PushFront(std::int32_t team, JobRef job, double share);
  // Adds `change` to the team's number of queued tasks.
  void AdjustQueuedTasks(std::int32_t team, std::int64_t change);
  // Counts an entry of the team as stale. Removes the stale entries when they
  // are many and more than half of all.
  void MarkStale(std::int32_t team);
  // Removes stale entries at the front. A team without entries becomes idle.
  void Trim(std::int32_t team);

  // The ready team with the lowest share; kNone when there is none.
  std::int32_t first_ready() const;
  // Whether the entry of a job is not stale.
  bool IsWaiting(JobRef job) const;
  void UpdateShare(std::int32_t team, double share);
  // Recomputes all shares after the capacity of the fleet has changed.
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
  // Unblocks the team if it is blocked by its quota.
  void UnblockQuota(std::int32_t team);
  // Unblocks up to `limit` teams, those blocked longest first.
  void UnblockOldest(std::size_t limit);
  const std::vector<std::int32_t>& blocked() const { return blocked_; }

  // The number of releases when a team blocked by withheld capacity was last
  // unblocked because of a release.
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
