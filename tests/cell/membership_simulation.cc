#include "membership_simulation.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kHeartbeatMs = 90;
constexpr std::int64_t kElectionTimeoutMs = 450;
constexpr std::int64_t kJoinIntervalMs = 1'000;
constexpr std::int64_t kLeaveIntervalMs = 50;
constexpr std::int64_t kTransferLimitMs = 1'500;
constexpr std::int64_t kShutdownLimitMs = 3'000;
constexpr std::int64_t kPostponeMs = 500;
constexpr std::int64_t kMemberCheckMs = 100;

}  // namespace

MembershipSimulation::MembershipSimulation(std::uint64_t seed) : random_(seed) {
  wire::Membership bootstrap;
  for (int i = 0; i < kCellSize; ++i) {
    auto& member = bootstrap.members.emplace_back();
    member.id = "c" + std::to_string(i);
    member.address = member.id;
    member.voter = true;
  }
  for (const auto& it : bootstrap.members) {
    auto& controller = Add(it.id);
    controller.disk.bootstrap = bootstrap;
    Start(controller, false);
  }
  while (Voters().size() < kCellSize && now_ < 30'000) {
    Step();
  }
  RunFor(kCatchUpMs);
}

void MembershipSimulation::RunFor(std::int64_t ms) {
  for (const auto end = now_ + ms; now_ < end && error.empty();) {
    Step();
    CheckMargin();
  }
}

void MembershipSimulation::RunWithLosses(std::int64_t ms) {
  for (const auto end = now_ + ms; now_ < end && error.empty();) {
    InjectLoss();
    RunFor(RandomBetween(10, 1'200));
  }
}

void MembershipSimulation::Settle() {
  RunFor(20'000);
  const auto* leader = Find(LeaderId());
  if (leader == nullptr) {
    RecordError("there is no leader");
    return;
  }
  for (const auto& [index, term] : acknowledged_) {
    if (leader->raft->log().TermAt(index) != term) {
      RecordError("entry " + std::to_string(index) + " is lost");
    }
  }
}

void MembershipSimulation::Kill(const std::string& id,
                                std::int64_t down_ms,
                                bool wipe) {
  RecordEvent("kill " + id + " for " + std::to_string(down_ms) + " ms" +
              (wipe ? ", disk lost" : ""));
  Stop(*Find(id));
  At(down_ms, [this, id, wipe] {
    if (auto* it = Find(id)) {
      Start(*it, wipe);
    }
  });
}

void MembershipSimulation::Freeze(const std::string& id, std::int64_t ms) {
  RecordEvent("freeze " + id + " for " + std::to_string(ms) + " ms");
  Find(id)->frozen = true;
  losses_.SetUnavailable(id);
  At(ms, [this, id] {
    if (auto* it = Find(id)) {
      it->frozen = false;
      losses_.SetAvailable(id, now_);
    }
  });
}

void MembershipSimulation::Cut(const std::string& id, std::int64_t ms) {
  RecordEvent("cut " + id + " off for " + std::to_string(ms) + " ms");
  Find(id)->cut = true;
  losses_.SetUnavailable(id);
  At(ms, [this, id] {
    if (auto* it = Find(id)) {
      it->cut = false;
      losses_.SetAvailable(id, now_);
    }
  });
}

void MembershipSimulation::Restart(const std::string& id,
                                   std::int64_t down_ms) {
  RecordEvent("restart " + id + ", " + std::to_string(down_ms) + " ms down");
  losses_.SetUnavailable(id);
  End(id, [this, id, down_ms] {
    Stop(*Find(id));
    At(down_ms, [this, id] {
      if (auto* it = Find(id)) {
        Start(*it, false);
      }
    });
  });
}

std::string MembershipSimulation::Replace(const std::string& id,
                                          std::int64_t delay_ms) {
  auto successor = "c" + std::to_string(added_);
  RecordEvent("replace " + id + " by " + successor + " after " +
              std::to_string(delay_ms) + " ms");
  Add(successor);
  losses_.Remove(id, successor);
  controllers_.erase(id);
  At(delay_ms, [this, successor] { Start(*Find(successor), false); });
  return successor;
}

std::string MembershipSimulation::ReplaceAsPlanned(const std::string& id,
                                                   std::int64_t delay_ms) {
  auto successor = "c" + std::to_string(added_);
  RecordEvent("replace " + id + " by " + successor + " as planned after " +
              std::to_string(delay_ms) + " ms");
  Start(Add(successor), false);
  ++planned_;
  At(delay_ms, [this, id, successor] { EndForGood(id, successor); });
  return successor;
}

// A controller that is lost can't end in an orderly way, so its end waits.
void MembershipSimulation::EndForGood(const std::string& id,
                                      const std::string& successor) {
  const auto* controller = Find(id);
  if (controller != nullptr && !IsReachable(id)) {
    At(kPostponeMs, [this, id, successor] { EndForGood(id, successor); });
    return;
  }
  --planned_;
  if (controller == nullptr) {
    return;
  }
  RecordEvent("end " + id);
  losses_.Remove(id, successor);
  End(id, [this, id] {
    RecordEvent(id + " has ended");
    controllers_.erase(id);
  });
}

std::string MembershipSimulation::LeaderId() const {
  for (const auto& [id, it] : controllers_) {
    if (it->raft && IsReachable(id) && it->raft->LeaseUntil() > now_) {
      return id;
    }
  }
  return {};
}

std::vector<std::string> MembershipSimulation::Voters() const {
  std::vector<std::string> out;
  for (const auto& it : membership_.members) {
    if (it.voter) {
      out.push_back(it.id);
    }
  }
  return out;
}

MembershipSimulation::Controller& MembershipSimulation::Add(
    const std::string& id) {
  ++added_;
  auto controller = std::make_unique<Controller>();
  controller->id = id;
  controller->disk.identity = id + "-disk-" + std::to_string(random_());
  return *(controllers_[id] = std::move(controller));
}

MembershipSimulation::Controller* MembershipSimulation::Find(
    const std::string& id) {
  const auto it = controllers_.find(id);
  return it == controllers_.end() ? nullptr : it->second.get();
}

const MembershipSimulation::Controller* MembershipSimulation::Find(
    const std::string& id) const {
  const auto it = controllers_.find(id);
  return it == controllers_.end() ? nullptr : it->second.get();
}

void MembershipSimulation::Start(Controller& controller, bool wipe) {
  auto& disk = controller.disk;
  if (wipe) {
    disk = {};
    disk.identity = controller.id + "-disk-" + std::to_string(random_());
  }
  consensus::RaftOptions options;
  options.id = controller.id;
  options.disk_identity = disk.identity;
  options.heartbeat_ms = kHeartbeatMs;
  options.election_timeout_ms = kElectionTimeoutMs;
  options.seed = random_();
  consensus::RaftInitialState state;
  state.hard_state = disk.hard_state;
  state.bootstrap = disk.bootstrap;
  state.entries = disk.entries;
  controller.raft.emplace(std::move(options), std::move(state), now_);
  controller.next_join_ms = now_;
  losses_.SetAvailable(controller.id, now_);
}

void MembershipSimulation::Stop(Controller& controller) {
  controller.raft.reset();
  controller.manager.reset();
  controller.manager_term = 0;
  controller.leave_until_ms.reset();
  losses_.SetUnavailable(controller.id);
}

void MembershipSimulation::End(const std::string& id,
                               std::function<void()> ended) {
  auto* controller = Find(id);
  if (controller == nullptr || !controller->raft) {
    ended();
    return;
  }
  (void)controller->raft->TransferLeadership(kTransferLimitMs);
  controller->leave_until_ms = now_ + kShutdownLimitMs;
  controller->next_leave_ms = now_;
  controller->ended = std::move(ended);
}

void MembershipSimulation::At(std::int64_t delay_ms,
                              std::function<void()> action) {
  actions_.emplace(now_ + delay_ms, std::move(action));
}

void MembershipSimulation::Step() {
  now_ += kStepMs;
  while (!actions_.empty() && actions_.begin()->first <= now_) {
    const auto action = std::move(actions_.extract(actions_.begin()).mapped());
    action();
  }
  std::vector<std::string> ids;
  for (const auto& [id, it] : controllers_) {
    ids.push_back(id);
  }
  for (const auto& it : ids) {
    if (auto* controller = Find(it);
        controller != nullptr && controller->raft && !controller->frozen) {
      StepController(*controller);
    }
  }
}

void MembershipSimulation::StepController(Controller& controller) {
  controller.raft->Tick(now_);
  StepLeader(controller);
  Flush(controller);
  if (controller.leave_until_ms) {
    StepLeaving(controller);
  } else if (now_ >= controller.next_join_ms) {
    controller.next_join_ms = now_ + kJoinIntervalMs;
    wire::Member member;
    member.id = controller.id;
    member.address = controller.id;
    member.disk_identity = controller.disk.identity;
    Call(controller.id, [this, member](Controller& leader) {
      leader.manager->OnJoinRequest(member, now_);
    });
  }
}

void MembershipSimulation::StepLeader(Controller& controller) {
  auto& raft = *controller.raft;
  if (!raft.IsReadyLeader()) {
    controller.manager.reset();
    return;
  }
  if (!controller.manager || controller.manager_term != raft.term()) {
    controller.manager.emplace(MembershipOptions{.cell_size = kCellSize,
                                                 .own_id = controller.id,
                                                 .catch_up_ms = kCatchUpMs},
                               now_);
    controller.manager_term = raft.term();
    controller.next_check_ms = now_ + kMemberCheckMs;
  }
  if (raft.LeaseUntil() <= now_ || now_ < controller.next_check_ms) {
    return;
  }
  controller.next_check_ms = now_ + kMemberCheckMs;
  (void)raft.Propose("entry");
  const auto change = controller.manager->NextChange(
      {raft.membership(), raft.IsMembershipCommitted(), raft.Contacts()}, now_);
  if (change) {
    (void)raft.ChangeMembership(*change);
  }
}

void MembershipSimulation::StepLeaving(Controller& controller) {
  const auto end = [this, id = controller.id] {
    if (auto* it = Find(id); it != nullptr && it->leave_until_ms) {
      it->leave_until_ms.reset();
      const auto ended = std::move(it->ended);
      ended();
    }
  };
  if (now_ >= *controller.leave_until_ms) {
    end();
    return;
  }
  if (now_ < controller.next_leave_ms ||
      controller.raft->role() == consensus::Role::kLeader) {
    return;
  }
  controller.next_leave_ms = now_ + kLeaveIntervalMs;
  Call(controller.id, [this, id = controller.id, end](Controller& leader) {
    const auto& raft = *leader.raft;
    const auto progress = leader.manager->OnLeaveRequest(
        id, {raft.membership(), raft.IsMembershipCommitted(), raft.Contacts()},
        now_);
    if (progress != LeaveProgress::kInProgress) {
      At(RandomBetween(1, 25), end);
    }
  });
}

// Processes Raft output as the consensus thread does.
void MembershipSimulation::Flush(Controller& controller) {
  auto& raft = *controller.raft;
  auto& disk = controller.disk;
  do {
    const auto output = raft.TakeOutput();
    if (output.hard_state) {
      disk.hard_state = *output.hard_state;
    }
    if (output.truncate_from) {
      std::erase_if(disk.entries, [&](const auto& it) {
        return it.index >= *output.truncate_from;
      });
    }
    disk.entries.insert(disk.entries.end(), output.entries.begin(),
                        output.entries.end());
    raft.MarkPersisted();
    for (const auto& it : output.messages_before_sync) {
      Send(it);
    }
    for (const auto& it : output.messages_after_sync) {
      Send(it);
    }
    const bool leads = raft.LeaseUntil() > now_;
    for (const auto& it : raft.TakeCommitted()) {
      if (leads) {
        acknowledged_[it.index] = it.term;
      }
      if (it.type == consensus::kMembershipEntry &&
          it.index > membership_index_) {
        membership_ = *wire::Decode<wire::Membership>(it.data);
        membership_index_ = it.index;
        RecordMembership(controller.id);
      }
    }
  } while (raft.HasOutput());
}

void MembershipSimulation::Send(const wire::RaftMessage& message) {
  if (!IsReachable(message.sender) || !IsReachable(message.receiver)) {
    return;
  }
  At(RandomBetween(1, 25), [this, message] {
    auto* receiver = Find(message.receiver);
    if (receiver != nullptr && receiver->raft && IsReachable(receiver->id)) {
      receiver->raft->Step(message, now_);
      Flush(*receiver);
    }
  });
}

void MembershipSimulation::Call(const std::string& caller,
                                const std::function<void(Controller&)>& call) {
  if (!IsReachable(caller)) {
    return;
  }
  At(RandomBetween(1, 25), [this, call] {
    auto* leader = Find(LeaderId());
    if (leader != nullptr && leader->manager) {
      call(*leader);
    }
  });
}

bool MembershipSimulation::IsReachable(const std::string& id) const {
  const auto* it = Find(id);
  return it != nullptr && it->raft && !it->frozen && !it->cut;
}

void MembershipSimulation::CheckMargin() {
  std::int64_t voters = 0;
  std::int64_t available = 0;
  for (const auto& it : membership_.members) {
    const auto* controller = Find(it.id);
    voters += it.voter ? 1 : 0;
    available += it.voter && IsReachable(it.id) &&
                         controller->disk.identity == it.disk_identity
                     ? 1
                     : 0;
  }
  const auto margin = available - (voters / 2 + 1);
  const auto lost = losses_.Count(now_);
  if (margin < kTolerated - lost) {
    RecordError(std::to_string(available) + " of " + std::to_string(voters) +
                " voters are available while " + std::to_string(lost) +
                " controllers count as lost");
  }
}

bool MembershipSimulation::MayLose(const std::string& id) const {
  const auto* it = Find(id);
  return IsReachable(id) && !it->leave_until_ms &&
         losses_.Count(now_) + (losses_.IsLost(id, now_) ? 0 : 1) <= kTolerated;
}

void MembershipSimulation::InjectLoss() {
  const auto leader = LeaderId();
  auto it = controllers_.begin();
  std::advance(
      it, RandomBetween(0, static_cast<std::int64_t>(controllers_.size()) - 1));
  const auto id =
      !leader.empty() && RandomBetween(0, 3) == 0 ? leader : it->first;
  if (!MayLose(id)) {
    return;
  }
  switch (RandomBetween(0, 6)) {
    case 0:
      Kill(id, RandomBetween(100, 7'000), false);
      break;
    case 1:
      Kill(id, RandomBetween(100, 7'000), true);
      break;
    case 2:
      Freeze(id, RandomBetween(100, 5'000));
      break;
    case 3:
      Cut(id, RandomBetween(100, 6'000));
      break;
    case 4:
      Replace(id, RandomBetween(0, 1'000));
      break;
    case 5:
      Restart(id, RandomBetween(50, 2'000));
      break;
    default:
      // The successor counts as lost while it is new.
      if (planned_ == 0 && losses_.Count(now_) < kTolerated) {
        ReplaceAsPlanned(id, RandomBetween(500, 9'000));
      }
  }
}

std::int64_t MembershipSimulation::RandomBetween(std::int64_t low,
                                                 std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

void MembershipSimulation::RecordEvent(const std::string& event) {
  events.push_back(std::to_string(now_) + " ms: " + event);
}

void MembershipSimulation::RecordMembership(const std::string& id) {
  std::string members;
  for (const auto& it : membership_.members) {
    const auto* role = it.voter ? "" : it.promote ? " (promoted)" : " (spare)";
    members += " " + it.id + role;
  }
  RecordEvent(id + " commits the members" + members);
}

void MembershipSimulation::RecordError(const std::string& message) {
  if (error.empty()) {
    error = "at " + std::to_string(now_) + " ms: " + message;
  }
}

}  // namespace cranberryshunt::cell
