// Tells whether a task runs on a rack that its step prefers.
#ifndef CRANBERRYSHUNT_CELL_NEARNESS_H_
#define CRANBERRYSHUNT_CELL_NEARNESS_H_

#include "cranberryshunt/graph/graph_store.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::cell {

// Where the current run of the task is. A gang that prefers one rack is on a
// far place if its members are on several.
policy::Nearness NearnessOf(const graph::GraphStore& store,
                            const graph::Job& job,
                            const graph::TaskKey& task);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_NEARNESS_H_
