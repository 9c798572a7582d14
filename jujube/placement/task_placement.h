// Puts waiting work on workers.
#ifndef JUJUBE_PLACEMENT_TASK_PLACEMENT_H_
#define JUJUBE_PLACEMENT_TASK_PLACEMENT_H_

#include <vector>

#include "jujube/base/name_table.h"
#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// What became of an attempt to place the head of a lane.
enum class PlaceOutcome {
  Placed,
  // No worker has room.
  NoRoom,
  // The team's slice is used up.
  SliceFull,
  // An older gang of the team has the next room.
  FairShareClaimed,
  // The entry's limit of running tasks is reached.
  EntryFull,
  // The plan has no actions left.
  OutOfActions,
};

inline constexpr NameTable<PlaceOutcome, 6> PlaceOutcomeNames = {{
    {PlaceOutcome::Placed, "placed"},
    {PlaceOutcome::NoRoom, "no_room"},
    {PlaceOutcome::SliceFull, "slice_full"},
    {PlaceOutcome::FairShareClaimed, "part_claimed"},
    {PlaceOutcome::EntryFull, "entry_full"},
    {PlaceOutcome::OutOfActions, "out_of_actions"},
}};
static_assert(isComplete(PlaceOutcomeNames));

// What a start of the request takes: `Tasks` tasks of `Size` each.
struct StartNeed {
  Resources Size;
  uint32_t Tasks = 1;

  Resources total() const { return Size * Tasks; }
};
StartNeed startNeed(const PlannerState &state, const RequestState &request);

// True if the request may start as far as its own tasks go: those of a gang
// start together.
bool isReady(const RequestState &request);
// True if the room that the request holds is free.
bool areHoldsReady(const PlannerState &state, const RequestState &request);
// True if an older request of the team waits for the rest of the slice.
bool isSliceClaimed(const PlannerState &state, const RequestState &request);
// True if an older gang of the team waits for the team's part.
bool isFairShareClaimed(const PlannerState &state, const RequestState &request);

// Places one task of a request, or the whole gang; appends the offers.
// Precondition: tasks are queued, and isReady().
PlaceOutcome placeNext(PlannerState &state, RequestState &request, Instant now,
                       std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_TASK_PLACEMENT_H_
