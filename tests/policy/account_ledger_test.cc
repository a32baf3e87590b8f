// Tests what accounts use on all workers together, and what still fits within
// their limits.
#include "cranberryshunt/policy/account_ledger.h"

#include <criterion/criterion.h>

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr Demand kTask{18'000, 4'000, 0};

std::vector<AccountUse> UseOfTasks(AccountNumber account, int count) {
  std::vector<AccountUse> out;
  for (int n = 0; n < count; ++n) {
    AddTask(out, account, kTask, 1'000);
  }
  return out;
}

AccountLedger MakeLedger(const Demand& limit) {
  AccountLedger ledger;
  ledger.SetLimits({{"first", limit}, {"second", {}}});
  return ledger;
}

}  // namespace

// Guards against a job without an account that is counted or limited.
Test(account_ledger, leaves_work_without_an_account_unlimited) {
  AccountLedger ledger;
  cr_expect_eq(ledger.NumberOf(""), kNoAccount);
  std::vector<AccountUse> uses;
  AddTask(uses, kNoAccount, kTask, 1'000);
  cr_expect(uses.empty());
  cr_expect_not(ledger.HasLimit(kNoAccount));
  cr_expect_eq(ledger.CountFitting(kNoAccount, kTask, 1'000), 1'000);
}

// A worker is refreshed with each of its events. Guards against a use that
// drifts because parts of it are added or removed twice.
Test(account_ledger, replaces_what_a_worker_has) {
  auto ledger = MakeLedger({100'000, 0, 0});
  const auto account = ledger.NumberOf("first");
  ledger.SetWorkerUse(1, UseOfTasks(account, 3));
  ledger.SetWorkerUse(1, UseOfTasks(account, 3));
  ledger.SetWorkerUse(2, UseOfTasks(account, 1));
  cr_expect_eq(ledger.UseOf(account).used.milli_cpus, 72'000);
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 1);
  ledger.SetWorkerUse(1, UseOfTasks(account, 2));
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 2);
  ledger.SetWorkerUse(1, {});
  ledger.SetWorkerUse(2, {});
  cr_expect_eq(ledger.UseOf(account), (AccountUse{account, {}}),
               "an idle cell has use");
}

// Guards against limits of which only one resource is checked.
Test(account_ledger, checks_each_resource_on_its_own) {
  const Demand task{1'000, 1'000, 1};
  for (const auto& limit : {Demand{5'000, 0, 0}, Demand{0, 5'000, 0},
                            Demand{0, 0, 5}, Demand{5'000, 9'000, 9}}) {
    auto ledger = MakeLedger(limit);
    const auto account = ledger.NumberOf("first");
    cr_expect_eq(ledger.CountFitting(account, task, 20), 5);
    cr_expect_eq(ledger.CountFittingAlone(account, task, 20), 5);
    cr_expect_eq(ledger.WavesOf(account, task, 20), 4);
    cr_expect_eq(ledger.CountFitting(ledger.NumberOf("second"), task, 20), 20);
  }
}

// The limit of memory was lowered below the use. Guards against tasks that are
// blocked although they need none of that resource.
Test(account_ledger, ignores_resources_that_a_task_does_not_need) {
  auto ledger = MakeLedger({0, 20'000, 0});
  const auto account = ledger.NumberOf("first");
  ledger.SetWorkerUse(1, UseOfTasks(account, 4));
  ledger.SetLimits({{"first", {0, 10'000, 0}}});
  cr_expect_eq(ledger.CountFitting(account, kTask, 1), 0);
  cr_expect_eq(ledger.CountFitting(account, {1'000, 0, 0}, 3), 3);
  cr_expect_lt(ledger.RoomOf(account).memory_mb, 0);
}

// Guards against a limit that outlasts its account, and against use that is
// lost while the account is not in the configuration.
Test(account_ledger, keeps_the_use_of_an_account_that_is_gone) {
  auto ledger = MakeLedger({100'000, 0, 0});
  const auto account = ledger.NumberOf("first");
  ledger.SetWorkerUse(1, UseOfTasks(account, 5));
  ledger.SetLimits({});
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 20);
  ledger.SetLimits({{"first", {100'000, 0, 0}}});
  cr_expect_eq(ledger.NumberOf("first"), account);
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 0);
}

// Guards against capacity that is held for one gang and promised to another,
// and against holds that outlast a planning round.
Test(account_ledger, counts_held_amounts_until_they_are_cleared) {
  auto ledger = MakeLedger({100'000, 0, 0});
  const auto account = ledger.NumberOf("first");
  ledger.Hold(account, {72'000, 0, 0});
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 1);
  ledger.Claim(account, {18'000, 0, 0});
  cr_expect_eq(ledger.CountFitting(account, kTask, 20), 1,
               "a claim keeps tasks from starting");
  cr_expect_eq(ledger.CountUnclaimed(account, kTask, 20), 0);
  ledger.ClearHeld();
  cr_expect_eq(ledger.CountUnclaimed(account, kTask, 20), 5);
}

// Guards against a gang for which room is kept although it can't come soon.
Test(account_ledger, expects_room_by_the_releases_of_the_account) {
  auto ledger = MakeLedger({90'000, 0, 0});
  const auto account = ledger.NumberOf("first");
  ledger.SetWorkerUse(1, UseOfTasks(account, 5));
  cr_expect_float_eq(ledger.ReleaseMs(account, kTask, 5), 1'000.0, 1e-6);
  cr_expect_eq(ledger.ReleaseMs(ledger.NumberOf("second"), kTask, 5), 0.0);
}
