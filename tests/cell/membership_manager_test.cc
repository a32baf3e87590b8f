// Tests which members a leader considers alive, and how it replaces voters.
#include "membership_manager.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cranberryshunt;             // NOLINT
using namespace cranberryshunt::cell;       // NOLINT
using namespace cranberryshunt::consensus;  // NOLINT

namespace {

constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kCatchUpMs = 4'000;
// By then a lost voter must be replaced by one leader, so that a second one
// also can within the catch-up time.
constexpr std::int64_t kReplacedMs = kCatchUpMs / 2;

wire::Member MakeMember(const std::string& id, bool voter) {
  wire::Member member;
  member.id = id;
  member.address = id + ":1";
  member.disk_identity = "disk-" + id;
  member.voter = voter;
  return member;
}

// A cell of five voters whose leader is "own". Membership changes are committed
// at once, and learners are promoted at once.
class Cell {
 public:
  explicit Cell(const std::vector<std::string>& spares = {}) {
    for (const char* id : {"own", "b", "c", "d", "e"}) {
      status_.membership.members.push_back(MakeMember(id, true));
    }
    for (const auto& it : spares) {
      status_.membership.members.push_back(MakeMember(it, false));
    }
    StartLeader();
  }

  // Another leader has no contact to any member yet.
  void StartLeader() {
    manager_.emplace(
        MembershipOptions{
            .cell_size = 5, .own_id = "own", .catch_up_ms = kCatchUpMs},
        now_ms_);
    leader_since_ms_ = now_ms_;
    last_reply_ms_.clear();
  }
  void Lose(const std::string& id) { lost_.insert(id); }
  void Return(const std::string& id) { lost_.erase(id); }
  LeaveProgress Leave(const std::string& id) {
    return manager_->OnLeaveRequest(id, Status(), now_ms_);
  }
  // A member reports to the leader for the first time.
  void Join(const std::string& id) {
    manager_->OnJoinRequest(MakeMember(id, false), now_ms_);
  }

  void RunFor(std::int64_t ms) {
    for (const auto end = now_ms_ + ms; now_ms_ < end;) {
      now_ms_ += kStepMs;
      for (const auto& it : status_.membership.members) {
        if (it.id != "own" && !lost_.contains(it.id)) {
          last_reply_ms_[it.id] = now_ms_;
          if (now_ms_ % 1'000 == 0 && !leaving.contains(it.id)) {
            manager_->OnJoinRequest(it, now_ms_);
          }
        }
      }
      if (const auto change = manager_->NextChange(Status(), now_ms_)) {
        Apply(*change);
      }
    }
  }

  std::vector<std::string> Voters() const {
    std::vector<std::string> out;
    for (const auto& it : status_.membership.members) {
      if (it.voter) {
        out.push_back(it.id);
      }
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  std::set<std::string> leaving;  // Members that have ended their reports.
  int changes = 0;

 private:
  MembershipStatus Status() const {
    auto out = status_;
    out.committed = true;
    for (const auto& it : out.membership.members) {
      const auto last = last_reply_ms_.find(it.id);
      const bool heard = last != last_reply_ms_.end();
      if (it.id != "own") {
        out.contacts.push_back(
            {it.id, heard,
             now_ms_ - (heard ? last->second : leader_since_ms_)});
      }
    }
    return out;
  }
  void Apply(const wire::MembershipChange& change) {
    ++changes;
    auto& members = status_.membership.members;
    const auto it = std::find_if(
        members.begin(), members.end(),
        [&](const auto& member) { return member.id == change.member.id; });
    if (change.remove) {
      members.erase(it);
    } else if (it != members.end()) {
      *it = change.member;
    } else {
      members.push_back(change.member);
    }
  }

  std::int64_t now_ms_ = 0;
  std::int64_t leader_since_ms_ = 0;
  MembershipStatus status_;
  std::optional<MembershipManager> manager_;
  std::map<std::string, std::int64_t> last_reply_ms_;
  std::set<std::string> lost_;
};

using Ids = std::vector<std::string>;

}  // namespace

// Load pattern: a takeover in a large cell. Guards against a leader that first
// calls all workers directly, because no member has asked to join yet.
Test(membership_manager, presumes_members_alive_right_after_a_takeover) {
  wire::Membership cell;
  for (const char* id : {"own", "b", "c"}) {
    auto& member = cell.members.emplace_back();
    member.id = id;
    member.address = std::string(id) + ":1";
  }
  constexpr std::int64_t kStartedMs = 10'000;
  MembershipManager manager({.cell_size = 3, .own_id = "own"}, kStartedMs);
  cr_expect_eq(manager.LivePeerAddresses(cell, kStartedMs).size(), 2);
  manager.OnJoinRequest(cell.members[2], kStartedMs + 2'000);
  const auto later = manager.LivePeerAddresses(cell, kStartedMs + 3'000);
  cr_assert_eq(later.size(), 1);
  cr_expect(later[0] == "c:1");
  cr_expect(manager.LivePeerAddresses(cell, kStartedMs + 6'000).empty());
}

// Load pattern: machines of the cell are replaced one after another, some
// seconds apart, and one loses its disk. Guards against a voter that is gone
// and counts for so long that the next losses leave no majority.
Test(membership_manager, replaces_a_voter_that_is_gone_within_seconds) {
  Cell cell({"spare"});
  cell.RunFor(1'000);
  cell.Lose("e");
  cell.RunFor(kReplacedMs);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "own", "spare"}));
  cr_expect_eq(cell.changes, 2);
}

// Guards against removing a voter that is silent while no other member can take
// its place.
Test(membership_manager, keeps_a_silent_voter_without_a_spare) {
  Cell cell;
  cell.Lose("e");
  cell.RunFor(30'000);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "e", "own"}));
  cr_expect_eq(cell.changes, 0);
}

// Load pattern: a controller is replaced while a second one is down, then a
// third is lost (review/11). Guards against a replaced voter that keeps its
// vote beside its successor's for as long as another one is silent.
Test(membership_manager, removes_a_replaced_voter_while_another_is_silent) {
  Cell cell;
  cell.RunFor(1'000);
  cell.Lose("e");
  cell.Lose("d");
  cell.RunFor(200);
  cell.Join("successor");
  cell.RunFor(kReplacedMs);
  const auto voters = cell.Voters();
  cr_expect_eq(voters.size(), 5);
  cr_expect(std::count(voters.begin(), voters.end(), "successor") == 1);
  // The other silent voter keeps its vote; its disk may come back.
  cell.RunFor(30'000);
  cr_expect(cell.Voters() == voters);
}

// Guards against a surplus vote of a voter that started again before it could
// be removed: with six voters, a majority is one more than with five.
Test(membership_manager, takes_a_surplus_vote_away) {
  Cell cell({"spare"});
  cell.RunFor(1'000);
  cell.Leave("e");
  cell.RunFor(kStepMs);
  cr_assert_eq(cell.Voters().size(), 6);
  cell.Join("e");
  cell.RunFor(kReplacedMs);
  cr_expect_eq(cell.Voters().size(), 5);
  const auto changes = cell.changes;
  cell.RunFor(30'000);
  cr_expect_eq(cell.changes, changes);
}

// Guards against a voter that gets its full time again from each new leader,
// while the time of its successor runs on.
Test(membership_manager, replaces_a_voter_that_a_new_leader_never_heard) {
  Cell cell({"spare"});
  cell.RunFor(1'000);
  cell.Lose("e");
  cell.RunFor(kReplacedMs / 2 - kStepMs);
  cr_assert_eq(cell.changes, 0);
  cell.StartLeader();
  cell.RunFor(kReplacedMs / 2 + kStepMs);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "own", "spare"}));
}

// Guards against replacing voters to and fro that are slow or frozen for a
// moment.
Test(membership_manager, keeps_a_voter_that_pauses) {
  Cell cell({"spare"});
  cell.RunFor(1'000);
  for (int i = 0; i < 20; ++i) {
    cell.Lose("e");
    cell.RunFor(kCatchUpMs / 5);
    cell.Return("e");
    cell.RunFor(500);
  }
  cr_expect_eq(cell.changes, 0);
}

// Load pattern: a controller is replaced as planned, and two others lose their
// disks 1 s after it has ended (review/12). Guards against a voter that ends
// and keeps its vote until it has been silent for some time, while a caught-up
// successor has none.
Test(membership_manager, replaces_a_voter_before_it_ends) {
  Cell cell({"successor"});
  cell.RunFor(1'000);
  cell.leaving.insert("e");
  cr_expect(cell.Leave("e") == LeaveProgress::kInProgress);
  cell.RunFor(1'000);
  cr_expect(cell.Leave("e") == LeaveProgress::kDone);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "own", "successor"}));
}

// Guards against a controller that delays its end although no other one can
// take its place, and against losing its vote when it is only restarted.
Test(membership_manager, keeps_a_leaving_voter_without_a_spare) {
  Cell cell;
  cell.RunFor(1'000);
  cell.leaving.insert("e");
  cr_expect(cell.Leave("e") == LeaveProgress::kNoReplacement);
  cell.RunFor(1'000);
  cr_expect(cell.Leave("e") == LeaveProgress::kNoReplacement);
  cell.Lose("e");
  cell.RunFor(1'000);
  cell.leaving.clear();
  cell.Return("e");
  cell.RunFor(5'000);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "e", "own"}));
  cr_expect_eq(cell.changes, 0);
}

// Load pattern: a planned replacement whose successor starts just before the
// end of the old controller. Guards against an end before the successor, which
// has asked to join, could be given the vote.
Test(membership_manager, waits_for_a_successor_that_asks_to_join) {
  Cell cell;
  cell.RunFor(1'000);
  cell.Join("successor");
  cell.leaving.insert("e");
  cr_expect(cell.Leave("e") == LeaveProgress::kInProgress);
  cell.RunFor(1'500);
  cr_expect(cell.Leave("e") == LeaveProgress::kDone);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "own", "successor"}));
}

// Guards against taking the vote from a member that started again after it had
// announced its end.
Test(membership_manager, forgets_the_end_of_a_member_that_is_back) {
  Cell cell;
  cell.RunFor(1'000);
  cr_expect(cell.Leave("e") == LeaveProgress::kNoReplacement);
  cell.RunFor(2'000);
  cell.Join("spare");
  cell.RunFor(5'000);
  cr_expect(cell.Voters() == Ids({"b", "c", "d", "e", "own"}));
}

// Guards against an answer "no other member can take its place" of a leader
// that has not yet heard from the members that can.
Test(membership_manager, a_new_leader_waits_for_members_to_reply) {
  Cell cell({"spare"});
  cell.RunFor(1'000);
  cell.StartLeader();
  cr_expect(cell.Leave("e") == LeaveProgress::kInProgress);
  cell.leaving.insert("e");
  cell.RunFor(1'000);
  cr_expect(cell.Leave("e") == LeaveProgress::kDone);
}

// Guards against a voter that lost its disk and doesn't come back: it waits for
// a vote that it never gets, and nobody else gets it.
Test(membership_manager, replaces_a_candidate_that_is_gone) {
  wire::Membership members;
  for (const char* id : {"own", "b", "c", "d"}) {
    members.members.push_back(MakeMember(id, true));
  }
  members.members.push_back(MakeMember("gone", false));
  members.members.back().promote = true;
  members.members.push_back(MakeMember("spare", false));
  MembershipManager manager(
      {.cell_size = 5, .own_id = "own", .catch_up_ms = kCatchUpMs}, 0);
  MembershipStatus status{members, true, {}};
  for (const char* id : {"b", "c", "d", "spare"}) {
    status.contacts.push_back({id, true, 20});
  }
  status.contacts.push_back({"gone", false, kReplacedMs});
  const auto change = manager.NextChange(status, kReplacedMs);
  cr_assert(change.has_value());
  cr_expect(change->member.id == "spare" && change->member.voter);
}

// Guards against a second change before the first is in the log and committed.
Test(membership_manager, makes_one_change_at_a_time) {
  wire::Membership members;
  for (const char* id : {"own", "b", "c", "d", "e"}) {
    members.members.push_back(MakeMember(id, true));
  }
  members.members.push_back(MakeMember("spare", false));
  MembershipManager manager(
      {.cell_size = 5, .own_id = "own", .catch_up_ms = kCatchUpMs}, 0);
  MembershipStatus status{members, true, {}};
  for (const char* id : {"b", "c", "d", "spare"}) {
    status.contacts.push_back({id, true, 20});
  }
  status.contacts.push_back({"e", true, kReplacedMs});
  const auto first = manager.NextChange(status, 5'000);
  cr_assert(first.has_value());
  cr_expect(first->member.id == "e" && first->remove);
  cr_expect_not(manager.NextChange(status, 5'100).has_value());
  std::erase_if(status.membership.members,
                [](const auto& it) { return it.id == "e"; });
  status.committed = false;
  cr_expect_not(manager.NextChange(status, 5'200).has_value());
  status.committed = true;
  const auto second = manager.NextChange(status, 5'300);
  cr_assert(second.has_value());
  cr_expect(second->member.id == "spare" && second->member.voter);
}
