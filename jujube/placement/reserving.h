// Reservations: room that is held for work that fits nowhere.
#ifndef JUJUBE_PLACEMENT_RESERVING_H_
#define JUJUBE_PLACEMENT_RESERVING_H_

#include "jujube/placement/state.h"
#include "jujube/placement/task_placement.h"

namespace jujube::placement::internal {

// A hold is chosen anew after this span.
inline constexpr Duration HoldTime = Duration::seconds(15);

// Holds room for the whole need where it becomes free soonest. Returns false if
// the workers could not hold it.
bool reserveRoom(PlannerState &state, RequestState &request,
                 const StartNeed &need, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_RESERVING_H_
