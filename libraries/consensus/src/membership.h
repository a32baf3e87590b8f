// Questions about a membership.
#ifndef CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_
#define CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <string>

#include "wire_types.h"

namespace cranberryshunt::consensus {

// Null when there is none.
const wire::Member* FindMember(const wire::Membership& membership,
                               const std::string& id);
wire::Member* FindMember(wire::Membership& membership, const std::string& id);

// Whether the voter `id` is bound to `disk`.
bool IsBoundVoter(const wire::Membership& membership,
                  const std::string& id,
                  const std::string& disk);

// Whether a voter has no disk identity, as in a bootstrap membership.
bool HasUnboundVoter(const wire::Membership& membership);

std::size_t CountVoters(const wire::Membership& membership);

// Votes that an election needs: a majority, or all voters while one is unbound.
std::size_t ElectionQuorum(const wire::Membership& membership);

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_MEMBERSHIP_H_
