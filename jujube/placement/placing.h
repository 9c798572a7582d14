// Puts waiting work on workers.
#ifndef JUJUBE_PLACEMENT_PLACING_H_
#define JUJUBE_PLACEMENT_PLACING_H_

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
  // The entry's limit of running tasks is reached.
  EntryFull,
  // The plan has no actions left.
  OutOfActions,
};

inline constexpr NameTable<PlaceOutcome, 5> PlaceOutcomeNames = {{
    {PlaceOutcome::Placed, "placed"},
    {PlaceOutcome::NoRoom, "no_room"},
    {PlaceOutcome::SliceFull, "slice_full"},
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

// Places one task of a request, or the whole gang; appends the offers.
// Precondition: tasks are queued, and those of a gang are complete.
PlaceOutcome placeNext(PlannerState &state, RequestState &request, Instant now,
                       std::vector<Action> &actions);

// Places requests whose held room has become free.
void placeHolders(PlannerState &state, Instant now,
                  std::vector<Action> &actions);

// Serves the lanes in the order of the policy until nothing more fits or the
// actions are used up.
void placeWaiting(PlannerState &state, Instant now,
                  std::vector<Action> &actions);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_PLACING_H_
