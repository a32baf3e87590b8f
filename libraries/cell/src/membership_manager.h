// Decides on changes of the membership, so that the cell always bears as many
// further losses as it is to bear, less those of the moment.
//
// A cell bears as many more losses as it has more live voters than a majority
// needs. No change lowers this number. A controller that is lost counts as lost
// until a new one has had the catch-up time, so the new one must have the vote
// of the lost one by then, even if the leader was lost meanwhile.
#ifndef CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_
#define CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/consensus/replica.h"
#include "wire_types.h"

namespace cranberryshunt::cell {

struct MembershipOptions {
  std::int64_t cell_size = 5;  // Number of voters in a complete cell.
  std::string own_id;
  std::int64_t catch_up_ms = 4'000;
};

// How far a member that ends has given up its vote.
enum class LeaveProgress {
  kDone,           // It has no vote.
  kInProgress,     // Another member is taking its place.
  kNoReplacement,  // It keeps its vote, since no member can take its place.
};

class MembershipManager {
 public:
  MembershipManager(MembershipOptions options, std::int64_t now_ms);

  // Records that `member` is alive and asks to be part of the cell.
  void OnJoinRequest(const wire::Member& member, std::int64_t now_ms);
  // Records that the process of the member is about to end. It counts as lost
  // until its next join request.
  LeaveProgress OnLeaveRequest(const std::string& id,
                               const consensus::MembershipStatus& status,
                               std::int64_t now_ms);
  // Returns the addresses of the other members that are alive. All members are
  // assumed to be alive until they have had time to send a join request to this
  // leader.
  std::vector<std::string> LivePeerAddresses(const wire::Membership& current,
                                             std::int64_t now_ms) const;
  // Whether the cell has as many voters as it is to have. With fewer, the loss
  // of as many disks as it has to bear may leave no copy of an entry that was
  // committed.
  bool HasAllVoters(const wire::Membership& current) const;
  // Returns the next change of the membership, if one is due and the last one
  // is committed.
  std::optional<wire::MembershipChange> NextChange(
      const consensus::MembershipStatus& status,
      std::int64_t now_ms);

 private:
  struct JoinRequest {
    wire::Member member;
    std::int64_t received_ms = 0;
  };
  struct Census;

  bool IsAlive(const std::string& id, std::int64_t now_ms) const;
  Census Count(const consensus::MembershipStatus& status) const;
  std::optional<wire::MembershipChange> RemoveMember(
      const Census& census) const;
  std::optional<wire::MembershipChange> AddVoter(const Census& census) const;
  std::optional<wire::MembershipChange> AddMember(const Census& census,
                                                  std::int64_t now_ms) const;

  const MembershipOptions options_;
  const std::int64_t started_ms_;
  std::map<std::string, JoinRequest> join_requests_;
  std::set<std::string> leaving_;
  // Time of the last change, and the membership before it.
  std::int64_t changed_ms_ = 0;
  wire::Membership before_change_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_
