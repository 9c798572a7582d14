// Preemption and reservations for work that fits on no worker.
//
// Capacity that is about to become free is held for the request that it was
// freed for. Other work starts on a worker only in the capacity beside its
// holds, so that backfill never delays a request with a reservation.
#ifndef JUJUBE_PLACEMENT_PREEMPTION_H_
#define JUJUBE_PLACEMENT_PREEMPTION_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Preempts tasks or reserves capacity for the first requests of a lane, as far
// as the policy allows.
void preemptOrReserve(PlannerState &state, LaneState &lane, Instant now,
                      std::vector<Action> &actions);

// True if the policy lets the claimant preempt the task.
bool mayEvict(const PlannerState &state, const RequestState &claimant,
              const TaskRef &ref, Instant now);

// Stops a placed task, with a checkpoint if the task can save one. All tasks of
// a gang are stopped together.
void evict(PlannerState &state, const TaskRef &task, StopReason why,
           std::vector<Action> &actions);

// Releases the holds of each request with a hold that has expired or whose
// worker is absent, leaving or quarantined.
void expireHolds(PlannerState &state, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_PREEMPTION_H_
