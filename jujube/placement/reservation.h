// Reservations: capacity held for requests that fit nowhere yet.
#ifndef JUJUBE_PLACEMENT_RESERVATION_H_
#define JUJUBE_PLACEMENT_RESERVATION_H_

#include "jujube/placement/state.h"
#include "jujube/placement/task_placement.h"

namespace jujube::placement::internal {

// Holds expire after this time and are then chosen again.
inline constexpr Duration HoldTime = Duration::seconds(15);

// Holds capacity for the whole need on the workers where it is expected to
// become free soonest. Returns false if the workers are too small for the need.
bool reserveCapacity(PlannerState &state, RequestState &request,
                     const StartNeed &need, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_RESERVATION_H_
