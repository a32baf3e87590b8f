// Keeps the number of voters at the size of the cell: adds controllers that ask
// to join, and removes silent voters once enough others are alive.
#ifndef CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_
#define CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire_types.h"

namespace cranberryshunt::cell {

class MembershipManager {
 public:
  MembershipManager(std::int64_t cell_size,
                    std::string own_id,
                    std::int64_t now_ms)
      : cell_size_(cell_size),
        own_id_(std::move(own_id)),
        started_ms_(now_ms) {}

  // Records that `member` is alive and asks to be part of the cell.
  void OnJoinRequest(const wire::Member& member, std::int64_t now_ms);
  // Returns the addresses of the other members that are alive. All members are
  // assumed to be alive until they have had time to send a join request to this
  // leader.
  std::vector<std::string> LivePeerAddresses(const wire::Membership& current,
                                             std::int64_t now_ms) const;
  // Whether the cell has as many voters as it is to have. With fewer, the loss
  // of as many disks as it has to bear may leave no copy of an entry that was
  // committed.
  bool HasAllVoters(const wire::Membership& current) const;
  // Returns the next change of the membership, if one is due. Changes are
  // separated by a minimum pause.
  std::optional<wire::MembershipChange> NextChange(
      const wire::Membership& current,
      std::int64_t now_ms);

 private:
  struct JoinRequest {
    wire::Member member;
    std::int64_t received_ms = 0;
  };

  bool IsAlive(const std::string& id, std::int64_t now_ms) const;
  bool IsSilent(const std::string& id, std::int64_t now_ms) const;

  const std::int64_t cell_size_;
  const std::string own_id_;
  const std::int64_t started_ms_;
  std::map<std::string, JoinRequest> join_requests_;
  std::int64_t changed_ms_ = 0;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_MEMBERSHIP_MANAGER_H_
