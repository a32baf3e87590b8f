#include <criterion/criterion.h>

#include "cluster.h"
#include "memory_file_system.h"

namespace cranberryshunt::consensus {

namespace {

void CheckEntriesSurviveRestart(int size) {
  Cluster cluster(size);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  cr_assert(cluster.Commit("b"));
  for (auto& it : cluster.nodes) {
    cr_assert(Eventually([&] { return it->observer->state() == "a;b;"; }),
              "%s has %s", it->id.c_str(), it->observer->state().c_str());
  }
  for (auto& it : cluster.nodes) {
    cluster.Stop(*it);
  }
  cluster.StartAll();
  cr_assert(cluster.Commit("c"));
  for (auto& it : cluster.nodes) {
    cr_assert(Eventually([&] { return it->observer->state() == "a;b;c;"; }),
              "%s has %s", it->id.c_str(), it->observer->state().c_str());
  }
}

}  // namespace

// Guards against losing committed entries when all replicas restart.
Test(replica, one_member_persists) {
  CheckEntriesSurviveRestart(1);
}
Test(replica, three_members_persist) {
  CheckEntriesSurviveRestart(3);
}
Test(replica, five_members_persist) {
  CheckEntriesSurviveRestart(5);
}

namespace {

bool AllMembersAreVoters(Cluster& cluster) {
  for (auto& it : cluster.nodes) {
    for (const auto& member : it->replica->membership().members) {
      const auto* node = cluster.Find(member.id);
      if (!member.voter ||
          member.disk_identity != node->replica->disk_identity()) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

// Guards against losing acknowledged entries when a host loses its disk right
// after the previous one was repaired. Each emptied host starts with the
// bootstrap setting again.
Test(replica, emptied_disks_one_after_the_other) {
  Cluster cluster(3);
  cluster.StartAll();
  std::string state;
  for (int i = 0; i < 3; ++i) {
    auto& node = *cluster.nodes[static_cast<std::size_t>(i)];
    cr_assert(cluster.Commit("e" + std::to_string(i)));
    state += "e" + std::to_string(i) + ";";
    const auto old_identity = node.replica->disk_identity();
    cluster.Stop(node);
    cluster.EmptyDisk(node);
    cr_assert(cluster.Start(node).has_value());
    cr_assert(node.replica->disk_identity() != old_identity);
    cr_assert(Eventually([&] { return AllMembersAreVoters(cluster); }));
  }
  cr_assert(cluster.Commit("last"));
  for (auto& it : cluster.nodes) {
    cr_assert(
        Eventually([&] { return it->observer->state() == state + "last;"; }),
        "%s has %s", it->id.c_str(), it->observer->state().c_str());
  }
}

// Guards against a new controller that cannot join, or that receives only the
// entries after the snapshot.
Test(replica, a_new_member_gets_the_snapshot) {
  Cluster cluster(1);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto& first = *cluster.nodes[0];
  const std::string large(600'000, 's');
  // More entries than the log keeps before a snapshot.
  constexpr int kEntries = 5'000;
  std::atomic<int> pending = kEntries;
  for (int i = 0; i < kEntries; ++i) {
    first.replica->Propose(first.replica->role().term, "x",
                           [&](const auto&) { --pending; });
  }
  cr_assert(Eventually([&] { return pending == 0; }));
  cr_assert(cluster.Commit("b"));
  first.replica->Compact(first.observer->applied(), large);
  cr_assert(
      Eventually([&] { return first.replica->stats().first_index > 100; }));
  auto& second = cluster.AddNode();
  cr_assert(cluster.Start(second, false).has_value());
  wire::MembershipChange change;
  change.member.id = second.id;
  change.member.address = second.address;
  change.member.voter = true;
  std::promise<bool> added;
  first.replica->ChangeMembership(
      change, [&](const auto& it) { added.set_value(it.has_value()); });
  cr_assert(added.get_future().get());
  cr_assert(Eventually([&] { return AllMembersAreVoters(cluster); }));
  cr_assert(cluster.Commit("c"));
  cr_assert(
      Eventually([&] { return second.observer->state() == large + "c;"; }));
  cluster.Stop(second);
  cr_assert(cluster.Start(second).has_value());
  cr_assert(
      Eventually([&] { return second.observer->state() == large + "c;"; }));
}

// Guards against a graceful shutdown that leaves the cluster without a leader
// for an election timeout.
Test(replica, leadership_is_transferred) {
  Cluster cluster(3);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto* leader = cluster.Leader();
  cr_assert(leader->replica->TransferLeadership(std::chrono::seconds(5)));
  cr_assert_not(leader->replica->HasLease());
  cr_assert(cluster.Commit("b"));
  Cluster single(1);
  single.StartAll();
  cr_assert(single.Commit("a"));
  cr_assert_not(
      single.nodes[0]->replica->TransferLeadership(std::chrono::seconds(5)));
}

// Guards against decisions of an earlier term that are committed in a later one
// of the same replica: its decision thread was behind the role changes.
Test(replica, commits_nothing_that_was_decided_in_another_term) {
  Cluster cluster(1);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto& node = *cluster.nodes[0];
  const auto earlier_term = node.replica->role().term;
  cluster.Stop(node);
  cr_assert(cluster.Start(node).has_value());
  cr_assert(cluster.Commit("b"));
  const auto term = node.replica->role().term;
  cr_assert_gt(term, earlier_term);
  cr_assert_not(node.replica->HasLease(earlier_term));
  cr_assert(Eventually([&] { return node.replica->HasLease(term); }));
  for (const auto it : {earlier_term, term + 1}) {
    std::promise<Result<std::int64_t>> refused;
    node.replica->Propose(
        it, "stale", [&](const auto& result) { refused.set_value(result); });
    const auto result = refused.get_future().get();
    cr_assert(!result && result.error().code() == ResultCode::kNotLeader);
  }
  cr_assert(cluster.Commit("c"));
  cr_assert(Eventually([&] { return node.observer->state() == "a;b;c;"; }));
}

// Guards against committing a proposal that was refused with kStorageFull,
// against lost entries, and against needing a restart once the disk has space
// again.
Test(replica, a_full_disk_refuses_and_recovers) {
  storage::MemoryFileSystem files;
  Cluster cluster(1, &files);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto& node = *cluster.nodes[0];
  files.set_capacity(files.used() + 10);
  std::promise<Result<std::int64_t>> refused;
  node.replica->Propose(node.replica->role().term, "b",
                        [&](const auto& it) { refused.set_value(it); });
  const auto result = refused.get_future().get();
  cr_assert(!result && result.error().code() == ResultCode::kStorageFull);
  cr_assert(Eventually([&] { return node.observer->failures == 1; }));
  cr_assert_not(node.replica->HasLease());
  files.set_capacity(INT64_MAX);
  cr_assert(cluster.Commit("c"));
  cr_assert(Eventually([&] { return node.observer->state() == "a;c;"; }));
  cluster.Stop(node);
  cr_assert(cluster.Start(node).has_value());
  cr_assert(Eventually([&] { return node.observer->state() == "a;c;"; }));
}

// Guards against continuing after a failed write, which may be incomplete.
Test(replica, a_failed_disk_stops_the_replica) {
  storage::MemoryFileSystem files;
  Cluster cluster(1, &files);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto& node = *cluster.nodes[0];
  files.FailAfter(0);
  for (int i = 0; i < 2; ++i) {
    std::promise<Result<std::int64_t>> failed;
    node.replica->Propose(node.replica->role().term, "b",
                          [&](const auto& it) { failed.set_value(it); });
    const auto result = failed.get_future().get();
    cr_assert(!result && result.error().code() == ResultCode::kIoError);
  }
  cr_assert_not(node.replica->HasLease());
}

// Guards against starting on the data folder of another replica, or on a
// damaged one.
Test(replica, wrong_folders_are_refused) {
  storage::MemoryFileSystem files;
  Cluster cluster(1, &files);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  auto& node = *cluster.nodes[0];
  cluster.Stop(node);
  files.CorruptByte("/data/c0/log/00000000000000000001.log", 60);
  auto started = cluster.Start(node);
  cr_assert(!started && started.error().code() == ResultCode::kCorrupt);
  cr_assert(started.error().message().find("000001.log at offset 20") !=
            std::string::npos);
  node.id = "other";
  started = cluster.Start(node);
  cr_assert(!started && started.error().code() == ResultCode::kWrongIdentity);
}

}  // namespace cranberryshunt::consensus
