// Queries on a membership.
#ifndef CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_
#define CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <string>

#include "wire_types.h"

namespace cranberryshunt::consensus {

// Returns null when no member has the id.
const wire::Member* FindMember(const wire::Membership& membership,
                               const std::string& id);
wire::Member* FindMember(wire::Membership& membership, const std::string& id);

// Returns whether `id` is a voter that is bound to `disk`.
bool IsBoundVoter(const wire::Membership& membership,
                  const std::string& id,
                  const std::string& disk);

// Returns whether any voter has no disk identity, as in a bootstrap membership.
bool HasUnboundVoter(const wire::Membership& membership);

std::size_t CountVoters(const wire::Membership& membership);

// Returns the number of votes that an election needs: a majority of the voters,
// or all of them while a voter has no disk identity.
std::size_t ElectionQuorum(const wire::Membership& membership);

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_
