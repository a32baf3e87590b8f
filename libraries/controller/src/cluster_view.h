// What GetCluster shows.
#ifndef CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_
#define CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "leader_context.h"

namespace cranberryshunt::controller {

// Collects the leader's view of the cell.
wire::ClusterReply DescribeCluster(
    const LeaderContext& context,
    const std::vector<wire::Alert>& alerts,
    const std::map<std::string, std::int64_t>& bytes_between_regions,
    TimePoint now);

// The state of the queues that each poll carries.
std::vector<wire::KindPressure> DescribePressure(
    const policy::Scheduler& scheduler,
    TimePoint now);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CLUSTER_VIEW_H_
