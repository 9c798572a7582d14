// Room for work that fits nowhere: preemption and reservations.
//
// Room that is about to become free is held for the request that it was made
// for. Other work starts on a worker only in what is left beside its holds, so
// that backfill never delays a request with a reservation.
#ifndef JUJUBE_PLACEMENT_MAKING_ROOM_H_
#define JUJUBE_PLACEMENT_MAKING_ROOM_H_

#include <vector>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Makes room for the first requests of a lane, as far as the policy allows.
void preemptOrReserve(PlannerState &state, LaneState &lane, Instant now,
                      std::vector<Action> &actions);

// True if the policy lets the claimant have the task stopped.
bool mayEvict(const PlannerState &state, const RequestState &claimant,
              const TaskRef &ref, Instant now);

// Has a placed task stopped, with a checkpoint if it can save one. Stopping one
// task of a gang stops the gang.
void evict(PlannerState &state, const TaskRef &task, StopReason why,
           std::vector<Action> &actions);

// Gives up holds that have expired or whose worker gets no work.
void expireHolds(PlannerState &state, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_MAKING_ROOM_H_
