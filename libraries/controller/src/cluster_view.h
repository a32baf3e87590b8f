// Builds the GetCluster reply and the queue pressure in poll replies.
#ifndef CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_
#define CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "leader_context.h"

namespace cranberryshunt::controller {

// Builds the GetCluster reply from the state of the leader.
wire::ClusterReply DescribeCluster(
    const LeaderContext& context,
    const std::vector<wire::Alert>& alerts,
    const std::map<std::string, std::int64_t>& bytes_between_regions,
    TimePoint now);

// Returns the queue state of each job kind, which every poll reply carries.
std::vector<wire::KindPressure> DescribePressure(
    const policy::Scheduler& scheduler,
    TimePoint now);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_
