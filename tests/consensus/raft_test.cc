#include <criterion/criterion.h>

#include <map>

#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::consensus {

namespace {

using wire::RaftMessageType;

constexpr std::int64_t kStartMs = 10'000;
constexpr std::int64_t kElectionTimeoutMs = 500;

wire::Membership Members(const std::vector<std::string>& ids, bool bound) {
  wire::Membership membership;
  for (const auto& id : ids) {
    wire::Member member;
    member.id = id;
    member.disk_identity = bound ? "disk-" + id : "";
    member.address = id;
    member.voter = true;
    membership.members.push_back(member);
  }
  return membership;
}

storage::LogEntry Entry(std::int64_t index,
                        std::int64_t term,
                        std::int32_t type = kCommandEntry,
                        std::string data = "x") {
  return {index, term, type, std::move(data)};
}

// Creates replica "a". Its log starts with the membership at index 1, in which
// all disk identities are bound.
Raft MakeRaft(std::int64_t term, std::vector<storage::LogEntry> entries) {
  RaftOptions options;
  options.id = "a";
  options.disk_identity = "disk-a";
  RaftInitialState start;
  start.hard_state.term = term;
  start.entries = {Entry(1, 1, kMembershipEntry,
                         wire::Encode(Members({"a", "b", "c"}, true)))};
  start.entries.insert(start.entries.end(), entries.begin(), entries.end());
  return Raft(options, start, kStartMs);
}

wire::RaftMessage Message(RaftMessageType::type type,
                          const std::string& sender,
                          std::int64_t term) {
  wire::RaftMessage message;
  message.type = type;
  message.sender = sender;
  message.sender_disk = "disk-" + sender;
  message.receiver = "a";
  message.term = term;
  return message;
}

// Lets "a" win an election with the votes of "b".
void Elect(Raft& raft) {
  std::int64_t now = kStartMs;
  while (raft.role() != Role::kCandidate) {
    raft.Tick(now += 10);
  }
  auto reply = Message(RaftMessageType::kPreVoteReply, "b", raft.term() + 1);
  reply.accepted = true;
  raft.Step(reply, now);
  reply.type = RaftMessageType::kVoteReply;
  raft.Step(reply, now);
  cr_assert(raft.role() == Role::kLeader);
}

// Requests a vote for "b" and returns the resulting output of "a".
RaftOutput RequestVote(Raft& raft,
                       std::int64_t term,
                       std::int64_t now,
                       const std::string& disk = "disk-b") {
  auto request = Message(RaftMessageType::kVote, "b", term);
  request.sender_disk = disk;
  request.log_index = 1;
  request.log_term = 1;
  raft.Step(request, now);
  return raft.TakeOutput();
}

wire::RaftMessage Acknowledgement(const Raft& raft,
                                  const std::string& sender,
                                  std::int64_t match,
                                  std::int64_t sent_at) {
  auto reply = Message(RaftMessageType::kAppendReply, sender, raft.term());
  reply.accepted = true;
  reply.log_index = match;
  reply.sent_at_ms = sent_at;
  return reply;
}

constexpr std::int64_t kAfterElectionTimeoutMs =
    kStartMs + 3 * kElectionTimeoutMs;

}  // namespace

// Guards against sending a vote before it is durable, and against a second vote
// in the same term for a host whose disk was emptied in between.
Test(raft, a_vote_is_durable_and_for_one_disk) {
  auto raft = MakeRaft(1, {});
  // A message of term 2 updates the term before the vote is requested.
  raft.Step(Message(RaftMessageType::kVote, "c", 2), kAfterElectionTimeoutMs);
  auto output = raft.TakeOutput();
  cr_assert(output.hard_state && output.hard_state->vote.empty());
  output = RequestVote(raft, 2, kAfterElectionTimeoutMs);
  cr_assert(output.hard_state && output.hard_state->term == 2);
  cr_assert_eq(output.hard_state->vote, "b/disk-b");
  cr_assert(output.messages_before_sync.empty());
  cr_assert(output.messages_after_sync.size() == 1 &&
            output.messages_after_sync[0].accepted);
  output = RequestVote(raft, 2, kAfterElectionTimeoutMs, "disk-emptied");
  cr_assert(output.messages_after_sync.size() == 1 &&
            !output.messages_after_sync[0].accepted);
}

// Guards against votes for a candidate whose log lacks entries.
Test(raft, no_vote_for_a_shorter_log) {
  auto raft = MakeRaft(1, {Entry(2, 1)});
  const auto output = RequestVote(raft, 2, kAfterElectionTimeoutMs);
  cr_assert(output.messages_after_sync.size() == 1 &&
            !output.messages_after_sync[0].accepted);
}

// Guards against a restarted follower that votes for a new leader while the
// leader that it followed before the restart still holds a lease.
Test(raft, no_vote_within_an_election_timeout_of_a_start) {
  auto raft = MakeRaft(1, {});
  cr_assert(RequestVote(raft, 2, kStartMs + kElectionTimeoutMs - 1)
                .messages_after_sync.empty());
  cr_assert_eq(RequestVote(raft, 2, kStartMs + kElectionTimeoutMs)
                   .messages_after_sync.size(),
               1);
}

// Guards against a replica that campaigns or votes although the membership
// names another disk for it.
Test(raft, no_vote_from_another_disk) {
  RaftOptions options;
  options.id = "a";
  options.disk_identity = "disk-new";
  RaftInitialState start;
  start.entries = {Entry(1, 1, kMembershipEntry,
                         wire::Encode(Members({"a", "b", "c"}, true)))};
  Raft raft(options, start, kStartMs);
  raft.Tick(kAfterElectionTimeoutMs);
  cr_assert(raft.role() == Role::kLearner);
  cr_assert(RequestVote(raft, 2, kAfterElectionTimeoutMs)
                .messages_after_sync.empty());
}

// Guards against a second bootstrap by hosts whose disks were emptied. Until
// the disk identities are bound, a candidate needs all votes, not just a
// majority.
Test(raft, bootstrap_needs_all_votes) {
  RaftOptions options;
  options.id = "a";
  options.disk_identity = "disk-a";
  RaftInitialState start;
  start.bootstrap = Members({"a", "b", "c"}, false);
  Raft raft(options, start, kStartMs);
  raft.Tick(kAfterElectionTimeoutMs);
  for (const char* voter : {"b", "c"}) {
    cr_assert_eq(raft.term(), 0);
    auto reply = Message(RaftMessageType::kPreVoteReply, voter, 1);
    reply.accepted = true;
    raft.Step(reply, kAfterElectionTimeoutMs);
  }
  cr_assert_eq(raft.term(), 1);
  for (const char* voter : {"b", "c"}) {
    cr_assert(raft.role() == Role::kCandidate);
    auto reply = Message(RaftMessageType::kVoteReply, voter, 1);
    reply.accepted = true;
    raft.Step(reply, kAfterElectionTimeoutMs);
  }
  cr_assert(raft.role() == Role::kLeader);
  cr_assert(raft.membership() == Members({"a", "b", "c"}, true));
}

// Guards against committing an entry of an older term because a majority stores
// it, and against a leader that counts its own copy before syncing it.
Test(raft, commits_only_with_a_durable_entry_of_its_term) {
  auto raft = MakeRaft(1, {Entry(2, 1)});
  Elect(raft);
  cr_assert_eq(raft.log().last_index(), 3);
  raft.Step(Acknowledgement(raft, "b", 2, kAfterElectionTimeoutMs),
            kAfterElectionTimeoutMs);
  raft.TakeOutput();
  cr_assert_eq(raft.commit_index(), 0);
  raft.Step(Acknowledgement(raft, "b", 3, kAfterElectionTimeoutMs),
            kAfterElectionTimeoutMs);
  cr_assert_eq(raft.commit_index(), 0);
  raft.MarkPersisted();
  cr_assert_eq(raft.commit_index(), 3);
}

// Guards against a lease that lasts longer than followers refuse to vote, or
// that starts when an acknowledgement arrives instead of when the acknowledged
// message was sent.
Test(raft, lease_counts_from_the_sending_time) {
  auto raft = MakeRaft(1, {});
  Elect(raft);
  raft.TakeOutput();
  raft.MarkPersisted();
  cr_assert_eq(raft.LeaseUntil(), 0);
  const auto sent = kAfterElectionTimeoutMs;
  raft.Step(Acknowledgement(raft, "b", 2, sent), sent + 200);
  cr_assert_eq(raft.LeaseUntil(), sent + kElectionTimeoutMs * 9 / 10);
  raft.Tick(sent + kElectionTimeoutMs + 1);
  cr_assert(raft.role() != Role::kLeader);
  cr_assert_eq(raft.LeaseUntil(), 0);
}

// Guards against a member that counts as silent for less time than it is, which
// keeps its vote, or for longer, which takes the vote from a live member. A
// member that never replied to this leader is silent since the election.
Test(raft, reports_how_long_members_are_silent) {
  auto raft = MakeRaft(1, {});
  cr_expect(raft.Contacts().empty());
  Elect(raft);
  raft.TakeOutput();
  raft.MarkPersisted();
  const auto now = kAfterElectionTimeoutMs;
  raft.Step(Acknowledgement(raft, "b", 2, now), now);
  cr_expect(raft.IsMembershipCommitted());
  raft.Step(Acknowledgement(raft, "b", 2, now + 300), now + 300);
  raft.Tick(now + 400);
  const auto contacts = raft.Contacts();
  cr_assert_eq(contacts.size(), 2);
  cr_expect((contacts[0] == MemberContact{"b", true, 100}));
  cr_expect(contacts[1].id == "c");
  cr_expect_not(contacts[1].heard);
  cr_expect_geq(contacts[1].silent_ms, 400);
  // Another disk under the same id is another member.
  wire::MembershipChange change;
  change.member = raft.membership().members[1];
  change.member.disk_identity = "disk-2";
  cr_assert(raft.ChangeMembership(change).has_value());
  cr_expect((raft.Contacts()[0] == MemberContact{"b", false, 0}));
  cr_expect_not(raft.IsMembershipCommitted());
}

// Guards against a membership that stays in effect after its log entry was
// overwritten.
Test(raft, truncation_rolls_the_membership_back) {
  auto raft =
      MakeRaft(1, {Entry(2, 1, kMembershipEntry,
                         wire::Encode(Members({"a", "b", "c", "d"}, true)))});
  cr_assert_eq(raft.membership().members.size(), 4);
  auto append = Message(RaftMessageType::kAppend, "b", 2);
  append.log_index = 1;
  append.log_term = 1;
  append.entries.resize(1);
  append.entries[0].index = 2;
  append.entries[0].term = 2;
  append.entries[0].type = kEmptyEntry;
  raft.Step(append, kStartMs);
  cr_assert_eq(raft.membership().members.size(), 3);
  cr_assert(raft.TakeOutput().truncate_from == 2);
}

// Guards against sending an unlimited amount of unacknowledged data to a
// follower.
Test(raft, entries_in_flight_are_bounded) {
  auto raft = MakeRaft(1, {});
  Elect(raft);
  raft.TakeOutput();
  raft.Step(Acknowledgement(raft, "b", 2, kAfterElectionTimeoutMs),
            kAfterElectionTimeoutMs);
  for (int i = 0; i < 100; ++i) {
    cr_assert(raft.Propose(std::string(100'000, 'x')).has_value());
  }
  std::size_t n = 0;
  for (const auto& message : raft.TakeOutput().messages_before_sync) {
    for (const auto& entry : message.entries) {
      n += entry.data.size();
    }
  }
  const RaftOptions limits;
  cr_assert_geq(n, limits.max_inflight_bytes);
  cr_assert_lt(n, limits.max_inflight_bytes + 2 * limits.max_batch_bytes);
}

// Lets learner "e" of a cell with these voters, of which "a" leads, store each
// entry 700 ms after it was proposed. Its acknowledgements answer messages that
// were sent `reply_age_ms` ago. Entries are proposed only if `busy`. Returns
// whether it becomes a voter within 3 s.
static bool IsLateLearnerPromoted(std::vector<std::string> voters,
                                  std::int64_t reply_age_ms,
                                  bool busy = true) {
  constexpr std::int64_t kStepMs = 100;
  constexpr std::int64_t kLagMs = 700;
  constexpr std::int64_t kLimitMs = 3'000;
  voters.emplace_back("e");
  auto members = Members(voters, true);
  members.members.back().voter = false;
  members.members.back().promote = true;
  auto raft =
      MakeRaft(1, {Entry(2, 1, kMembershipEntry, wire::Encode(members))});
  std::int64_t now = kStartMs;
  while (raft.role() != Role::kCandidate) {
    raft.Tick(now += kStepMs);
  }
  for (const auto type :
       {RaftMessageType::kPreVoteReply, RaftMessageType::kVoteReply}) {
    for (const auto* sender : {"b", "c"}) {
      auto reply = Message(
          type, sender,
          raft.term() + (type == RaftMessageType::kPreVoteReply ? 1 : 0));
      reply.accepted = true;
      raft.Step(reply, now);
    }
  }
  cr_assert(raft.role() == Role::kLeader);
  std::map<std::int64_t, std::int64_t> last_index_at;
  for (const auto end = now + kLimitMs; now < end; now += kStepMs) {
    if (busy) {
      (void)raft.Propose("x");
    }
    raft.TakeOutput();
    raft.MarkPersisted();
    last_index_at[now] = raft.log().last_index();
    for (const auto* sender : {"b", "c"}) {
      raft.Step(Acknowledgement(raft, sender, raft.log().last_index(), now),
                now);
    }
    if (const auto stored = last_index_at.find(now - kLagMs);
        stored != last_index_at.end()) {
      raft.Step(Acknowledgement(raft, "e", stored->second, now - reply_age_ms),
                now);
    }
    raft.Tick(now);
  }
  return raft.membership().members.back().voter;
}

// Load pattern: a member that lost its disk is sent entries as fast as they are
// proposed, but always stores them somewhat later. Guards against a cell that
// bears one loss less while it is busy, because that member stays a learner
// although it has all entries of before its loss and its vote would not enlarge
// the majority.
Test(raft, promotes_a_learner_that_lags_behind_new_entries) {
  cr_expect(IsLateLearnerPromoted({"a", "b", "c", "d"}, 0));
}

// Guards against the same while its replies arrive late.
Test(raft, promotes_a_learner_that_replies_late) {
  cr_expect(IsLateLearnerPromoted({"a", "b", "c", "d"}, 700));
}

// Guards against commits that wait for a late member, since its vote enlarges
// the majority.
Test(raft, keeps_a_late_learner_out_of_a_larger_majority) {
  cr_expect_not(IsLateLearnerPromoted({"a", "b", "c"}, 700));
  cr_expect_not(IsLateLearnerPromoted({"a", "b", "c"}, 700, false), "idle log");
  cr_expect(IsLateLearnerPromoted({"a", "b", "c"}, 0, false), "in time");
}

// Load pattern: a few hundred large configurations. Guards against sending all
// of them to a member without a disk although a snapshot has the last one.
Test(raft, compaction_keeps_few_bytes_of_large_entries) {
  constexpr std::size_t kEntryBytes = 100'000;
  auto raft = MakeRaft(1, {});
  Elect(raft);
  for (int i = 0; i < 100; ++i) {
    cr_assert(raft.Propose(std::string(kEntryBytes, 'x')).has_value());
  }
  raft.TakeOutput();
  raft.MarkPersisted();
  const auto last = raft.log().last_index();
  raft.Step(Acknowledgement(raft, "b", last, kAfterElectionTimeoutMs),
            kAfterElectionTimeoutMs);
  raft.TakeCommitted();
  const auto snapshot = raft.MakeSnapshot(last, "state");
  cr_assert(snapshot != nullptr);
  raft.Compact(snapshot);
  const auto kept = static_cast<std::size_t>(last - raft.log().base_index());
  cr_expect_leq(kept * kEntryBytes, RaftOptions().max_trailing_bytes);
}

// Load pattern: a follower catches up over a slow link, so each acknowledgement
// arrives later than an election timeout after its message was sent. Guards
// against a leader that takes such a follower for silent and, instead of new
// entries, sends probes and again what is in flight.
Test(raft, sends_entries_once_to_a_follower_that_acknowledges_late) {
  constexpr std::int64_t kStepMs = 50;
  constexpr std::int64_t kLatencyMs = 700;
  constexpr std::int64_t kLimitMs = 4'000;
  auto raft = MakeRaft(1, {});
  Elect(raft);
  auto now = kAfterElectionTimeoutMs;
  std::map<std::int64_t, int> times_sent;
  std::multimap<std::int64_t, wire::RaftMessage> replies;
  for (const auto end = now + kLimitMs; now < end; now += kStepMs) {
    (void)raft.Propose("x");
    auto output = raft.TakeOutput();
    raft.MarkPersisted();
    raft.Step(Acknowledgement(raft, "b", raft.log().last_index(), now), now);
    for (auto* messages :
         {&output.messages_before_sync, &output.messages_after_sync}) {
      for (const auto& it : *messages) {
        if (it.receiver != "c" || it.type != RaftMessageType::kAppend) {
          continue;
        }
        for (const auto& entry : it.entries) {
          ++times_sent[entry.index];
        }
        replies.emplace(
            now + kLatencyMs,
            Acknowledgement(
                raft, "c",
                it.log_index + static_cast<std::int64_t>(it.entries.size()),
                it.sent_at_ms));
      }
    }
    while (!replies.empty() && replies.begin()->first <= now) {
      raft.Step(replies.extract(replies.begin()).mapped(), now);
    }
    raft.Tick(now);
  }
  cr_assert_gt(times_sent.size(), 20);
  for (const auto& [index, times] : times_sent) {
    cr_expect_eq(times, 1, "entry %lld was sent %d times",
                 static_cast<long long>(index), times);
  }
}

}  // namespace cranberryshunt::consensus
