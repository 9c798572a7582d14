// Reactions to what has changed under running work: usage, smaller slices,
// shrinking, leaving and failing workers.
#ifndef JUJUBE_PLACEMENT_RELIEF_H_
#define JUJUBE_PLACEMENT_RELIEF_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Learns from measured use, and notes tasks that use more than is reserved.
void applyUsage(PlannerState &state, RequestState &request, uint32_t index,
                const Resources &measured);

// Feeds an outcome into the history of the worker and the entry, and
// quarantines the worker if it is to blame.
void recordOutcome(PlannerState &state, RequestState &request, uint32_t index,
                   EndKind kind, Instant now);

// Ends quarantines that are over.
void endQuarantines(PlannerState &state, Instant now);

// Stops surplus work of teams whose slice became smaller, and work on workers
// that are leaving or hold less than is reserved. A task that uses more than
// its reservation gets more if there is room, else is throttled; it is stopped
// only if its worker holds less than is used on it.
void reclaimSurplus(PlannerState &state, std::vector<Action> &actions);

// Stops other work of the claimant's team so that `need` fits in its slice, if
// the policy allows enough of it.
void preemptInSlice(PlannerState &state, const RequestState &claimant,
                    const Resources &need, Instant now,
                    std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_RELIEF_H_
