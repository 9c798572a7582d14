// Places waiting tasks on workers.
#ifndef JUJUBE_PLACEMENT_TASK_PLACEMENT_H_
#define JUJUBE_PLACEMENT_TASK_PLACEMENT_H_

#include <vector>

#include "jujube/base/name_table.h"
#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Result of an attempt to place the head of a lane.
enum class PlaceOutcome {
  Placed,
  // No worker has enough free capacity.
  NoCapacity,
  // The team's slice is used up, or an older request waits for the rest of it.
  SliceFull,
  // An older gang of the team waits for capacity in the team's fair share.
  FairShareClaimed,
  // The entry's limit of running tasks is reached.
  EntryFull,
  // The plan has reached its action limit.
  OutOfActions,
};

inline constexpr NameTable<PlaceOutcome, 6> PlaceOutcomeNames = {{
    {PlaceOutcome::Placed, "placed"},
    {PlaceOutcome::NoCapacity, "no_room"},
    {PlaceOutcome::SliceFull, "slice_full"},
    {PlaceOutcome::FairShareClaimed, "part_claimed"},
    {PlaceOutcome::EntryFull, "entry_full"},
    {PlaceOutcome::OutOfActions, "out_of_actions"},
}};
static_assert(isComplete(PlaceOutcomeNames));

// The demand of one start: `Tasks` tasks of `Size` each.
struct StartNeed {
  Resources Size;
  uint32_t Tasks = 1;

  Resources total() const { return Size * Tasks; }
};
StartNeed startNeed(const PlannerState &state, const RequestState &request);

// True if the request's own tasks are ready to start: those of a gang start
// together.
bool isReady(const RequestState &request);
// True if capacity that the request holds is free: all of it for a gang, any of
// it for other requests.
bool areHoldsReady(const PlannerState &state, const RequestState &request);
// True if an older request of the team waits for the rest of the slice.
bool isSliceClaimed(const PlannerState &state, const RequestState &request);
// True if an older gang of the team waits for capacity in the team's fair
// share.
bool isFairShareClaimed(const PlannerState &state, const RequestState &request);

// Places one task of a request, or all tasks of a gang, and appends the offers
// to `actions`. Requires that tasks are queued and isReady().
PlaceOutcome placeNext(PlannerState &state, RequestState &request, Instant now,
                       std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_TASK_PLACEMENT_H_
