// Reclaims resources from running work, and records its measurements and
// outcomes.
//
// Handles measured use, smaller slices, and workers that shrink, leave or fail.
#ifndef JUJUBE_PLACEMENT_RECLAMATION_H_
#define JUJUBE_PLACEMENT_RECLAMATION_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Updates the entry's learned size, and notes a task that uses more than its
// reservation.
void applyUsage(PlannerState &state, RequestState &request, uint32_t index,
                const Resources &measured);

// Records an outcome in the histories of the worker and the entry. Quarantines
// the worker if the failure is attributed to it.
void recordOutcome(PlannerState &state, RequestState &request, uint32_t index,
                   EndKind kind, Instant now);

// Moves workers whose quarantine has ended to probation.
void endQuarantines(PlannerState &state, Instant now);

// Stops surplus tasks of teams whose slice became smaller, and tasks on workers
// that are leaving or have less capacity than is reserved. The reservation of a
// task that uses more than it reserved grows if there is capacity; otherwise
// the task is throttled if possible. Such a task is stopped only if the memory
// in use exceeds the worker's capacity.
void reclaimSurplus(PlannerState &state, std::vector<Action> &actions);

// Stops other tasks of the claimant's team so that `need` fits in the team's
// slice. Stops none if the policy doesn't allow enough of them.
void preemptInSlice(PlannerState &state, const RequestState &claimant,
                    const Resources &need, Instant now,
                    std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_RECLAMATION_H_
