// Tests the replicated state of step-graph jobs.
#include <criterion/criterion.h>

#include "cranberryshunt/graph/graph_store.h"

using namespace cranberryshunt;         // NOLINT
using namespace cranberryshunt::graph;  // NOLINT

namespace {

constexpr JobId kJob = 0x5c0e7a21d94b36f8;

wire::AcceptedGraphJob MakeJob(std::int32_t tasks, bool gang) {
  wire::AcceptedGraphJob accepted;
  accepted.id = static_cast<std::int64_t>(kJob);
  accepted.queue.name = "q";
  accepted.queue.max_attempts = 2;
  accepted.job.occurrences = 1;
  auto& first = accepted.job.steps.emplace_back();
  first.task_count = tasks;
  first.gang = gang;
  auto& second = accepted.job.steps.emplace_back();
  second.task_count = 1;
  second.depends_on = {0};
  return accepted;
}

void Accept(GraphStore& store, const wire::AcceptedGraphJob& job) {
  wire::GraphBatch batch;
  batch.jobs.push_back(job);
  store.Apply(batch);
}

void StartRun(GraphStore& store, const TaskKey& key, std::int32_t run) {
  wire::GraphBatch batch;
  auto& start = batch.starts.emplace_back();
  start.task = ToWire(key);
  start.run = run;
  start.worker = 1;
  store.Apply(batch);
}

void EndRun(GraphStore& store,
            const TaskKey& key,
            std::int32_t run,
            wire::RunEnd::type how,
            const std::string& checkpoint = {}) {
  wire::GraphBatch batch;
  auto& result = batch.results.emplace_back();
  result.task = ToWire(key);
  result.run = run;
  result.how = how;
  result.checkpoint = checkpoint;
  store.Apply(batch);
}

void PutTable(GraphStore& store, std::int64_t version, const char* document) {
  wire::GraphBatch batch;
  wire::RoutingTable table;
  table.version = version;
  table.document = document;
  batch.__set_table(table);
  store.Apply(batch);
}

}  // namespace

// Guards against a step that starts before all tasks it depends on are done.
Test(graph_store, opens_a_step_when_those_before_it_are_done) {
  GraphStore store;
  Accept(store, MakeJob(2, false));
  const StepKey second{kJob, 0, 1};
  for (std::int32_t n = 0; n < 2; ++n) {
    cr_expect_not(store.FindJob(kJob)->StepReady(second));
    StartRun(store, {kJob, 0, 0, n}, 1);
    EndRun(store, {kJob, 0, 0, n}, 1, wire::RunEnd::kDone);
  }
  cr_expect(store.FindJob(kJob)->StepReady(second));
  StartRun(store, {kJob, 0, 1, 0}, 1);
  EndRun(store, {kJob, 0, 1, 0}, 1, wire::RunEnd::kDone);
  cr_expect(store.FindJob(kJob)->state() == wire::GraphJobState::kCompleted);
}

// Guards against a failed run of a gang that counts as several failed attempts
// because several of its tasks failed.
Test(graph_store, counts_a_failed_run_of_a_gang_once) {
  GraphStore store;
  Accept(store, MakeJob(3, true));
  for (std::int32_t run = 1; run <= 2; ++run) {
    cr_expect(store.FindJob(kJob)->active());
    for (std::int32_t n = 0; n < 3; ++n) {
      StartRun(store, {kJob, 0, 0, n}, run);
    }
    EndRun(store, {kJob, 0, 0, 0}, run, wire::RunEnd::kFailed);
    EndRun(store, {kJob, 0, 0, 1}, run, wire::RunEnd::kFailed);
    EndRun(store, {kJob, 0, 0, 2}, run, wire::RunEnd::kBroken);
  }
  cr_expect(store.FindJob(kJob)->state() == wire::GraphJobState::kFailed);
}

// Guards against a late result of an earlier run that changes the task, and
// against a second start under a run number that was used before.
Test(graph_store, ignores_results_of_other_runs) {
  GraphStore store;
  Accept(store, MakeJob(1, false));
  const TaskKey key{kJob, 0, 0, 0};
  StartRun(store, key, 1);
  EndRun(store, key, 1, wire::RunEnd::kStopped, "c1");
  StartRun(store, key, 1);
  cr_expect_eq(store.FindJob(kJob)->task(key).run, 0);
  StartRun(store, key, 2);
  EndRun(store, key, 1, wire::RunEnd::kDone);
  cr_expect_not(store.FindJob(kJob)->task(key).done);
  cr_expect_str_eq(store.FindJob(kJob)->task(key).checkpoint.c_str(), "c1");
}

// Guards against a routing table that replaces one of the same or a higher
// version.
Test(graph_store, keeps_the_highest_version) {
  GraphStore store;
  PutTable(store, 7, "seven");
  PutTable(store, 5, "five");
  PutTable(store, 7, "other seven");
  cr_expect_eq(store.table().version, 7);
  cr_expect_str_eq(store.table().document.c_str(), "seven");
}

// Guards against a late report of an earlier incarnation of a worker that
// replaces a later incarnation.
Test(graph_store, numbers_each_life_of_a_worker) {
  GraphStore store;
  wire::GraphBatch batch;
  auto& worker = batch.workers.emplace_back();
  worker.id = "w";
  worker.born_ms = 20;
  store.Apply(batch);
  const auto first = store.FindWorker("w");
  batch.workers[0].born_ms = 10;
  store.Apply(batch);
  cr_expect(store.FindWorker("w") == first);
  batch.workers[0].born_ms = 30;
  store.Apply(batch);
  cr_expect(store.FindWorker("w") != first);
  cr_expect_eq(store.workers().size(), 1);
}

// Guards against state that is missing from a snapshot.
Test(graph_store, restores_a_snapshot) {
  GraphStore store;
  PutTable(store, 7, "seven");
  Accept(store, MakeJob(2, false));
  StartRun(store, {kJob, 0, 0, 0}, 1);
  EndRun(store, {kJob, 0, 0, 0}, 1, wire::RunEnd::kDone);
  StartRun(store, {kJob, 0, 0, 1}, 1);
  GraphStore other;
  cr_assert(other.Restore(store.Snapshot()).has_value());
  cr_expect(other.Snapshot() == store.Snapshot());
  EndRun(other, {kJob, 0, 0, 1}, 1, wire::RunEnd::kDone);
  cr_expect(other.FindJob(kJob)->StepReady({kJob, 0, 1}));
}

// Guards against ended jobs that are kept too long because time begins anew
// after a snapshot was restored.
Test(graph_store, continues_its_time_after_a_snapshot) {
  constexpr std::int64_t kCancelledMs = 5'000;
  GraphStore store;
  PutTable(store, 7, "seven");
  Accept(store, MakeJob(2, false));
  wire::GraphBatch batch;
  batch.at_ms = kCancelledMs;
  batch.cancelled_jobs.push_back(static_cast<std::int64_t>(kJob));
  store.Apply(batch);
  GraphStore other;
  cr_assert(other.Restore(store.Snapshot()).has_value());
  cr_expect_eq(other.last_batch_ms(), kCancelledMs);
  batch.at_ms = kCancelledMs - 1;
  other.Apply(batch);
  cr_expect_eq(other.last_batch_ms(), kCancelledMs);
}

namespace {

void Register(GraphStore& store,
              const std::string& id,
              std::int64_t born_ms,
              bool leaving = false) {
  wire::GraphBatch batch;
  auto& worker = batch.workers.emplace_back();
  worker.id = id;
  worker.born_ms = born_ms;
  worker.address = "127.0.0.1:1";
  worker.leaving = leaving;
  store.Apply(batch);
}

void StartOn(GraphStore& store,
             const TaskKey& key,
             std::int32_t run,
             const std::string& worker) {
  wire::GraphBatch batch;
  auto& start = batch.starts.emplace_back();
  start.task = ToWire(key);
  start.run = run;
  start.worker = *store.FindWorker(worker);
  store.Apply(batch);
}

// The same at a time, and with an address for each worker.
void RegisterAt(GraphStore& store,
                const std::string& id,
                std::int64_t born_ms,
                std::int64_t at_ms) {
  wire::GraphBatch batch;
  batch.at_ms = at_ms;
  auto& worker = batch.workers.emplace_back();
  worker.id = id;
  worker.born_ms = born_ms;
  worker.address = id;
  store.Apply(batch);
}

void StartOnAt(GraphStore& store,
               const TaskKey& key,
               std::int32_t run,
               const std::string& worker,
               std::int64_t at_ms) {
  wire::GraphBatch batch;
  batch.at_ms = at_ms;
  auto& start = batch.starts.emplace_back();
  start.task = ToWire(key);
  start.run = run;
  start.worker = *store.FindWorker(worker);
  store.Apply(batch);
}

}  // namespace

// Guards against a crash that is not counted because the run was given up
// before the worker came back, or because it came back under another id.
Test(graph_store, counts_runs_whose_worker_crashed) {
  GraphStore store;
  Accept(store, MakeJob(1, false));
  const TaskKey key{kJob, 0, 0, 0};
  Register(store, "w", 10);
  StartOn(store, key, 1, "w");
  Register(store, "w", 20);
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 1);
  cr_expect_eq(store.crashed_workers().size(), 1);
  EndRun(store, key, 1, wire::RunEnd::kLost);
  StartOn(store, key, 2, "w");
  EndRun(store, key, 2, wire::RunEnd::kLost);
  Register(store, "w", 30);
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 2);
  StartOn(store, key, 3, "w");
  const auto replaced = *store.FindWorker("w");
  Register(store, "v", 40);
  // Somebody else may have reported "v".
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 2);
  wire::GraphBatch removal;
  removal.removed_workers.push_back(replaced);
  store.Apply(removal);
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 3);
  GraphStore other;
  cr_assert(other.Restore(store.Snapshot()).has_value());
  cr_expect(other.FindJob(kJob)->task(key) == store.FindJob(kJob)->task(key));
}

// Guards against an open run of which a new leader can't tell where it may be,
// because its worker was replaced.
Test(graph_store, moves_open_runs_to_the_next_incarnation) {
  GraphStore store;
  Accept(store, MakeJob(2, false));
  Register(store, "w", 10);
  StartOn(store, {kJob, 0, 0, 0}, 1, "w");
  StartOn(store, {kJob, 0, 0, 1}, 1, "w");
  EndRun(store, {kJob, 0, 0, 1}, 1, wire::RunEnd::kStopped);
  Register(store, "w", 20);
  const auto& job = *store.FindJob(kJob);
  cr_expect_eq(job.task({kJob, 0, 0, 0}).worker, *store.FindWorker("w"));
  cr_expect_eq(job.task({kJob, 0, 0, 0}).run, 1);
  cr_expect_eq(job.task({kJob, 0, 0, 1}).worker, 0);
}

// Guards against blaming a task for a worker that left, and for a worker on
// which an earlier run of the task had ended.
Test(graph_store, counts_no_crash_for_workers_that_leave) {
  GraphStore store;
  Accept(store, MakeJob(1, false));
  const TaskKey key{kJob, 0, 0, 0};
  Register(store, "w", 10);
  StartOn(store, key, 1, "w");
  Register(store, "w", 10, true);
  Register(store, "w", 20);
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 0);
  EndRun(store, key, 1, wire::RunEnd::kStopped);
  StartOn(store, key, 2, "w");
  EndRun(store, key, 2, wire::RunEnd::kStopped);
  Register(store, "w", 30);
  cr_expect_eq(store.FindJob(kJob)->task(key).crashes, 0);
}

// Guards against a gang that is given up, or all of whose members are blamed,
// because one member after the other lost its worker.
Test(graph_store, counts_crashes_for_each_member_of_a_gang) {
  constexpr int kRuns = 6;
  constexpr std::int64_t kIntervalMs = 10'000;
  GraphStore store;
  Accept(store, MakeJob(kRuns, true));
  const auto name = [](int n) { return "w" + std::to_string(n); };
  for (int n = 0; n < kRuns; ++n) {
    RegisterAt(store, name(n), 10, 0);
  }
  for (int run = 1; run <= kRuns; ++run) {
    const auto at_ms = run * kIntervalMs;
    for (int n = 0; n < kRuns; ++n) {
      StartOnAt(store, {kJob, 0, 0, n}, run, name(n), at_ms);
    }
    RegisterAt(store, name(run - 1), 20, at_ms + 100);
    for (int n = 0; n < kRuns; ++n) {
      EndRun(store, {kJob, 0, 0, n}, run, wire::RunEnd::kBroken);
    }
  }
  cr_expect(store.FindJob(kJob)->active());
  for (int n = 0; n < kRuns; ++n) {
    cr_expect_eq(store.FindJob(kJob)->task({kJob, 0, 0, n}).crashes, 1);
  }
}

// Guards against a gang that is given up after one run, because each of its
// members lost its worker.
Test(graph_store, counts_one_crash_for_each_member_that_lost_its_worker) {
  constexpr int kMembers = 6;
  GraphStore store;
  Accept(store, MakeJob(kMembers, true));
  const auto name = [](int n) { return "w" + std::to_string(n); };
  for (int n = 0; n < kMembers; ++n) {
    RegisterAt(store, name(n), 10, 0);
    StartOnAt(store, {kJob, 0, 0, n}, 1, name(n), 0);
  }
  for (int n = 0; n < kMembers; ++n) {
    RegisterAt(store, name(n), 20, 100);
  }
  cr_expect(store.FindJob(kJob)->active());
  for (int n = 0; n < kMembers; ++n) {
    cr_expect_eq(store.FindJob(kJob)->task({kJob, 0, 0, n}).crashes, 1);
  }
}

// Guards against a task that is started for ever because its workers crash,
// also across snapshots.
Test(graph_store, gives_up_a_task_after_five_crashes) {
  GraphStore store;
  Accept(store, MakeJob(1, false));
  const TaskKey key{kJob, 0, 0, 0};
  RegisterAt(store, "w", 10, 0);
  for (std::int32_t run = 1; run <= 5; ++run) {
    cr_expect(store.FindJob(kJob)->active());
    StartOnAt(store, key, run, "w", std::int64_t{run} * 5'000);
    RegisterAt(store, "w", 10 + run, std::int64_t{run} * 5'000 + 3'000);
    EndRun(store, key, run, wire::RunEnd::kNotStarted);
    GraphStore restored;
    cr_assert(restored.Restore(store.Snapshot()).has_value());
    cr_expect(restored.Snapshot() == store.Snapshot());
    store = restored;
  }
  cr_expect(store.FindJob(kJob)->state() == wire::GraphJobState::kFailed);
}

// Guards against a task that is given up for crashes of its workers although
// others ran there as well.
Test(graph_store, blames_no_task_that_shared_its_workers) {
  GraphStore store;
  Accept(store, MakeJob(2, false));
  const TaskKey key{kJob, 0, 0, 0};
  const TaskKey other{kJob, 0, 0, 1};
  RegisterAt(store, "w", 10, 0);
  for (std::int32_t run = 1; run <= 9; ++run) {
    StartOnAt(store, key, run, "w", std::int64_t{run} * 5'000);
    StartOnAt(store, other, run, "w", std::int64_t{run} * 5'000);
    RegisterAt(store, "w", 10 + run, std::int64_t{run} * 5'000 + 3'000);
    cr_expect(store.crashed_workers().front().runs.front().verdict ==
              CrashVerdict::kOtherTasks);
    EndRun(store, key, run, wire::RunEnd::kNotStarted);
    EndRun(store, other, run, wire::RunEnd::kNotStarted);
  }
  cr_expect(store.FindJob(kJob)->active());
  cr_expect(store.FindJob(kJob)->IsSuspect(key));
}

// Guards against a task that is given up because its worker came back first
// after each of several crashes of a rack.
Test(graph_store, revokes_evidence_when_further_workers_come_back) {
  GraphStore store;
  Accept(store, MakeJob(1, false));
  const TaskKey key{kJob, 0, 0, 0};
  for (int n = 0; n < 4; ++n) {
    RegisterAt(store, "w" + std::to_string(n), 10, 0);
  }
  for (std::int32_t run = 1; run <= 9; ++run) {
    const auto at_ms = std::int64_t{run} * 10'000;
    StartOnAt(store, key, run, "w0", at_ms);
    for (int n = 0; n < 4; ++n) {
      RegisterAt(store, "w" + std::to_string(n), 10 + run,
                 at_ms + 2'000 + std::int64_t{n} * 500);
    }
    EndRun(store, key, run, wire::RunEnd::kNotStarted);
    cr_expect_eq(store.FindJob(kJob)->task(key).alone_crashes, 0);
  }
  cr_expect(store.FindJob(kJob)->active());
}

Test(graph_store, parses_task_names) {
  const auto key = ParseTask("5c0e7a21d94b36f8.0.1.17");
  cr_assert(key.has_value());
  cr_expect(*key == TaskKey({kJob, 0, 1, 17}));
  cr_expect(FormatTask(*key) == "5c0e7a21d94b36f8.0.1.17");
  for (const char* it :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.x", "5C0E7A21D94B36F8.0.1.2",
        "5c0e7a21d94b36f8.0.1.2.3", "5c0e7a21d94b36f8.0.-1.2"}) {
    cr_expect_not(ParseTask(it).has_value());
  }
}

namespace {

wire::ClientAccount MakeAccount(const std::string& name,
                                std::vector<std::string> key_digests) {
  wire::ClientAccount account;
  account.name = name;
  account.key_digests = std::move(key_digests);
  return account;
}

void PutAccounts(GraphStore& store,
                 std::int64_t version,
                 std::vector<wire::ClientAccount> accounts) {
  wire::GraphBatch batch;
  wire::RoutingTable table;
  table.version = version;
  table.checks_keys = true;
  table.accounts = std::move(accounts);
  batch.__set_table(table);
  store.Apply(batch);
}

std::string OwnerOf(const GraphStore& store, const std::string& key_digest) {
  return store.FindAccount(key_digest).value_or("none");
}

}  // namespace

// Guards against a key that goes on after a configuration without it, and
// against one that an outdated configuration brings back.
Test(graph_store, finds_accounts_by_the_keys_of_the_newest_table) {
  GraphStore store;
  cr_expect(OwnerOf(store, "a1") == "none");
  PutAccounts(store, 2,
              {MakeAccount("a", {"a1", "a2"}), MakeAccount("b", {"b1"})});
  cr_expect(OwnerOf(store, "a2") == "a");
  cr_expect(OwnerOf(store, "b1") == "b");
  cr_expect(OwnerOf(store, "") == "none");
  cr_expect(OwnerOf(store, "b") == "none");
  cr_assert_not_null(store.FindAccountByName("b"));
  cr_expect(store.FindAccountByName("b")->name == "b");
  // a2 moves to b, and a1 is taken away.
  PutAccounts(store, 3, {MakeAccount("c", {"c1"}), MakeAccount("b", {"a2"})});
  cr_expect(OwnerOf(store, "a1") == "none");
  cr_expect(OwnerOf(store, "a2") == "b");
  cr_expect(OwnerOf(store, "b1") == "none");
  cr_expect(OwnerOf(store, "c1") == "c");
  cr_expect_null(store.FindAccountByName("a"));
  PutAccounts(store, 2, {MakeAccount("a", {"a1"})});
  cr_expect(OwnerOf(store, "a1") == "none");
  PutTable(store, 4, "without accounts");
  cr_expect(OwnerOf(store, "a2") == "none");
  cr_expect_null(store.FindAccountByName("b"));
}

// Guards against a replica that knows no keys, or the keys from before, after
// it has received a snapshot, and against a job that loses its account.
Test(graph_store, restores_accounts_from_a_snapshot) {
  GraphStore store;
  PutAccounts(store, 5, {MakeAccount("a", {"a1"})});
  auto job = MakeJob(1, false);
  job.account = "a";
  job.over_rate = true;
  Accept(store, job);
  GraphStore copy;
  PutAccounts(copy, 4, {MakeAccount("a", {"old"})});
  cr_assert(copy.Restore(store.Snapshot()).has_value());
  cr_expect(copy.table().checks_keys);
  cr_expect(OwnerOf(copy, "a1") == "a");
  cr_expect(OwnerOf(copy, "old") == "none");
  cr_expect_not_null(copy.FindAccountByName("a"));
  cr_expect(copy.FindJob(kJob)->account() == "a");
  cr_expect(copy.Snapshot() == store.Snapshot());
  // One that cannot be read changes nothing.
  cr_expect_not(copy.Restore("?").has_value());
  cr_expect(OwnerOf(copy, "a1") == "a");
}

// Guards against a snapshot of an earlier version, which has no accounts, that
// is refused or after which callers need keys.
Test(graph_store, restores_a_snapshot_without_accounts) {
  // The fields that these types had before there were accounts.
  const auto struct_with = [](const std::string& fields) {
    return fields + '\0';
  };
  const auto binary = [](const std::string& text) {
    return static_cast<char>(text.size()) + text;
  };
  // Thrift's compact protocol: (field delta << 4 | type), then the value. Types
  // are 6: i64, 8: binary, 9: list, 12: struct.
  const auto table = struct_with("\x16" + std::string(1, '\x0e') + "\x38" +
                                 binary("document"));
  const auto snapshot = struct_with("\x1c" + table);
  GraphStore store;
  PutAccounts(store, 5, {MakeAccount("a", {"a1"})});
  cr_assert(store.Restore(snapshot).has_value());
  cr_expect_eq(store.table().version, 7);
  cr_expect(store.table().document == "document");
  cr_expect_not(store.table().checks_keys);
  cr_expect(store.table().accounts.empty());
  cr_expect(OwnerOf(store, "a1") == "none");
}
