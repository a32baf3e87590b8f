#include "membership.h"

#include <algorithm>

namespace cranberryshunt::consensus {

const wire::Member* FindMember(const wire::Membership& membership,
                               const std::string& id) {
  for (const auto& it : membership.members) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

wire::Member* FindMember(wire::Membership& membership, const std::string& id) {
  for (auto& it : membership.members) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

bool IsBoundVoter(const wire::Membership& membership,
                  const std::string& id,
                  const std::string& disk) {
  const auto* member = FindMember(membership, id);
  return member != nullptr && member->voter && !disk.empty() &&
         member->disk_identity == disk;
}

bool HasUnboundVoter(const wire::Membership& membership) {
  return std::any_of(
      membership.members.begin(), membership.members.end(),
      [](const auto& it) { return it.voter && it.disk_identity.empty(); });
}

std::size_t CountVoters(const wire::Membership& membership) {
  return static_cast<std::size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const auto& it) { return it.voter; }));
}

std::size_t ElectionQuorum(const wire::Membership& membership) {
  const auto voters = CountVoters(membership);
  return HasUnboundVoter(membership) ? voters : voters / 2 + 1;
}

}  // namespace cranberryshunt::consensus
