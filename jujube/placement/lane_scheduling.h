// The scheduling pass over the lanes, in the order of the policy.
#ifndef JUJUBE_PLACEMENT_LANE_SCHEDULING_H_
#define JUJUBE_PLACEMENT_LANE_SCHEDULING_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Places requests whose held capacity has become free.
void placeRequestsWithHolds(PlannerState &state, Instant now,
                            std::vector<Action> &actions);

// Places waiting tasks until nothing more fits or the plan has reached its
// action limit. For a lane whose head fits nowhere, preempts other tasks or
// reserves capacity.
void placeWaiting(PlannerState &state, Instant now,
                  std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_LANE_SCHEDULING_H_
