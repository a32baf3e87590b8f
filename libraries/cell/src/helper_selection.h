// Decides which controllers execute the leader's orders.
#ifndef CRANBERRYSHUNT_CELL_HELPER_SELECTION_H_
#define CRANBERRYSHUNT_CELL_HELPER_SELECTION_H_

#include <cstddef>
#include <vector>

namespace cranberryshunt::cell {

// Returns the indices of the helpers to use. `silent` says for each helper
// whether it left orders unanswered. Silent helpers are left out as long as the
// others are more than half of them. If more are silent, all are used: it is
// the leader or its network link that is slow, because a leader keeps its lease
// only while most controllers answer it, and the others could not take over
// their load. A single silent helper is not used.
std::vector<std::size_t> UsableHelpers(const std::vector<bool>& silent);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_HELPER_SELECTION_H_
