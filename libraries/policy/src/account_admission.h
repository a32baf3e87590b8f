// The part of accounts in the admission of a job: what their limits add to its
// wait, and whether a job beyond the rate of its account takes something from
// others.
#ifndef CRANBERRYSHUNT_POLICY_ACCOUNT_ADMISSION_H_
#define CRANBERRYSHUNT_POLICY_ACCOUNT_ADMISSION_H_

#include <functional>
#include <vector>

#include "cranberryshunt/policy/graph_admission.h"

namespace cranberryshunt::policy {

struct PrecedingDemand {
  double cpus = 0;
  double memory = 0;
  double accelerators = 0;

  PrecedingDemand& operator+=(const PrecedingDemand& other);
};

PrecedingDemand DemandOf(const WaitingDemand& waiting);

// Returns the expected time until the cell has capacity for the demand.
using CapacityWait = std::function<double(const PrecedingDemand&)>;

class AccountWaits {
 public:
  using Precedes = bool (*)(const WaitingDemand&, const NewJob&);

  AccountWaits(const LoadSummary& load, const NewJob& job, Precedes precedes);

  // Whether tasks of other accounts with a limit precede the job.
  bool limit_others() const { return !others_.empty(); }
  // Expected wait for capacity of the cell. Of the tasks of another account
  // that precede the job, those count that its limit lets start within the
  // wait. `full_wait_ms` is the wait if all of them count, and `wait_ms`
  // returns the wait for a demand.
  double CellWaitMs(double full_wait_ms, const CapacityWait& wait_ms) const;
  // Expected wait until the limit of the job's account leaves room for it.
  double OwnWaitMs() const;

 private:
  struct LimitedAccount {
    const AccountLoad* load = nullptr;
    PrecedingDemand demand;
  };

  PrecedingDemand DemandWithin(double wait_ms) const;

  const NewJob& job_;
  const AccountLoad* own_load_ = nullptr;  // Null: there is no limit.
  PrecedingDemand own_;
  // All other demand that precedes the job: without a limit, or of the job's
  // own account, and by account.
  PrecedingDemand unlimited_;
  std::vector<LimitedAccount> others_;
};

// Whether a job beyond the rate of its account would take capacity or an idle
// caller of the advice service from jobs within their rate.
bool TakesFromOthers(const LoadSummary& load, const NewJob& job);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_ACCOUNT_ADMISSION_H_
