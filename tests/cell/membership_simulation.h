// Simulates the membership of a cell in virtual time: Raft and the membership
// manager of each leader, without any other part of a controller.
#ifndef CRANBERRYSHUNT_TESTS_CELL_MEMBERSHIP_SIMULATION_H_
#define CRANBERRYSHUNT_TESTS_CELL_MEMBERSHIP_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/consensus/raft.h"
#include "loss_count.h"
#include "membership_manager.h"

namespace cranberryshunt::cell {

class MembershipSimulation {
 public:
  static constexpr std::int64_t kCellSize = 5;
  static constexpr std::int64_t kTolerated = 2;
  static constexpr std::int64_t kCatchUpMs = 4'000;

  // Starts a cell and waits until all controllers are voters.
  explicit MembershipSimulation(std::uint64_t seed);

  void RunFor(std::int64_t ms);
  // Injects random losses for this time. At no time do more controllers count
  // as lost than the cell tolerates.
  void RunWithLosses(std::int64_t ms);
  // Ends all losses and waits for a leader. Records an error if there is none,
  // or if it lacks an entry that was acknowledged.
  void Settle();

  // Power is lost; the controller starts again after `down_ms`, with an empty
  // disk if `wipe` is set.
  void Kill(const std::string& id, std::int64_t down_ms, bool wipe);
  // Neither runs nor receives.
  void Freeze(const std::string& id, std::int64_t ms);
  // Runs, but is connected to no other controller.
  void Cut(const std::string& id, std::int64_t ms);
  // Ends in an orderly way and starts again.
  void Restart(const std::string& id, std::int64_t down_ms);
  // Is gone for good; a successor starts after `delay_ms`. Returns its id.
  std::string Replace(const std::string& id, std::int64_t delay_ms);
  // A successor starts; the controller ends in an orderly way after `delay_ms`.
  std::string ReplaceAsPlanned(const std::string& id, std::int64_t delay_ms);

  std::string LeaderId() const;
  std::vector<std::string> Voters() const;
  std::int64_t LostCount() const { return losses_.Count(now_); }

  // The first violation. The cell must always bear the tolerated losses less
  // those that count now.
  std::string error;
  // The events, for a report.
  std::vector<std::string> events;

 private:
  struct Disk {
    std::string identity;
    storage::HardState hard_state;
    wire::Membership bootstrap;
    std::vector<storage::LogEntry> entries;
  };
  struct Controller {
    std::string id;
    Disk disk;
    std::optional<consensus::Raft> raft;  // Empty while it is down.
    std::optional<MembershipManager> manager;
    std::int64_t manager_term = 0;
    std::int64_t next_join_ms = 0;
    std::int64_t next_check_ms = 0;
    bool frozen = false;
    bool cut = false;
    // Set while it is about to end.
    std::optional<std::int64_t> leave_until_ms;
    std::int64_t next_leave_ms = 0;
    std::function<void()> ended;
  };

  Controller& Add(const std::string& id);
  Controller* Find(const std::string& id);
  const Controller* Find(const std::string& id) const;
  void Start(Controller& controller, bool wipe);
  void Stop(Controller& controller);
  void End(const std::string& id, std::function<void()> ended);
  void EndForGood(const std::string& id, const std::string& successor);
  void At(std::int64_t delay_ms, std::function<void()> action);

  void Step();
  void StepController(Controller& controller);
  void StepLeader(Controller& controller);
  void StepLeaving(Controller& controller);
  void Flush(Controller& controller);
  void Send(const wire::RaftMessage& message);
  void Call(const std::string& caller,
            const std::function<void(Controller&)>& call);
  bool IsReachable(const std::string& id) const;
  void CheckMargin();
  void InjectLoss();
  bool MayLose(const std::string& id) const;
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high);
  void RecordEvent(const std::string& event);
  void RecordMembership(const std::string& id);
  void RecordError(const std::string& message);

  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  LossCount losses_{kCatchUpMs};
  std::map<std::string, std::unique_ptr<Controller>> controllers_;
  std::multimap<std::int64_t, std::function<void()>> actions_;
  int added_ = 0;
  int planned_ = 0;  // Controllers that are to end in an orderly way.
  // The last committed membership and its index.
  wire::Membership membership_;
  std::int64_t membership_index_ = 0;
  // Terms of the entries that a leader acknowledged.
  std::map<std::int64_t, std::int64_t> acknowledged_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_TESTS_CELL_MEMBERSHIP_SIMULATION_H_
