// Serves the lanes in the order of the policy.
#ifndef JUJUBE_PLACEMENT_SERVING_H_
#define JUJUBE_PLACEMENT_SERVING_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Places requests whose held room has become free.
void placeRequestsWithHolds(PlannerState &state, Instant now,
                            std::vector<Action> &actions);

// Places waiting work until nothing more fits or the actions are used up, and
// makes room for the heads of lanes that are blocked.
void placeWaiting(PlannerState &state, Instant now,
                  std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_SERVING_H_
