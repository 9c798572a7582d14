#include "jujube/placement/task_placement.h"

#include <algorithm>
#include <optional>

#include "jujube/placement/queue.h"

namespace jujube::placement::internal {
namespace {

// A search for one task starts at this many slots, so that the sampled workers
// are not all neighbours.
constexpr uint32_t SearchStarts = 4;

// The interval between two searches that are unlikely to succeed is one
// millisecond per this many workers of the zone, as the cost of a search grows
// with the number of workers.
constexpr int64_t WorkersPerSearchMillisecond = 64;

// The tasks of a gang on one worker.
struct GangPart {
  uint32_t Slot = NoWorker;
  uint32_t Tasks = 0;
};

std::vector<uint32_t> findCandidates(PlannerState &state,
                                     const Resources &size) {
  std::vector<uint32_t> slots;
  const uint32_t workers = state.FreeCapacity.size();
  const uint32_t limit = state.Config.MaxCandidates;
  if (workers <= limit) {
    state.FreeCapacity.collect(size, 0, limit, slots);
    return slots;
  }
  for (uint32_t i = 0; i < SearchStarts; ++i)
    state.FreeCapacity.collect(size,
                               state.Hooks.SearchStart(state.Random(), workers),
                               limit / SearchStarts, slots);
  std::ranges::sort(slots);
  slots.erase(std::unique(slots.begin(), slots.end()), slots.end());
  return slots;
}

// Counts the placed tasks of the request on the worker `slot` and on its rack.
void countNeighbours(const PlannerState &state, const RequestState &request,
                     uint32_t slot, CandidateView &view) {
  for (const TaskState &task : request.Tasks) {
    if (task.Stage != TaskStage::Placed)
      continue;
    view.OnWorker += task.Worker == slot;
    view.OnRack += state.Workers[task.Worker].Rack == state.Workers[slot].Rack;
  }
}

double scoreOf(const PlannerState &state, const RequestState &request,
               uint32_t index, uint32_t slot, const Resources &size) {
  const WorkerState &worker = state.Workers[slot];
  CandidateView view;
  view.Slot = slot;
  view.Capacity = worker.Capacity;
  view.FreeAfter = state.freeOn(worker) - size;
  view.Ask = size;
  view.FailedHere = request.Tasks[index].FailedOn == slot;
  view.Class = request.Work.Entry.Class;
  if (!request.runsToCompletion())
    countNeighbours(state, request, slot, view);
  return state.Hooks.Score(view);
}

bool isKnownUnplaceable(const PlannerState &state, const Resources &size) {
  return std::ranges::any_of(state.UnplaceableSizes,
                             [&size](const Resources &unplaceable) {
                               return unplaceable.fitsIn(size);
                             });
}

// True if the request must leave workers with a free accelerator to blocked
// work that needs accelerators: either the blocked work fits in its team's fair
// share, or this request would exceed the fair share of its own team.
bool mustAvoidFreeAccelerators(const PlannerState &state,
                               const RequestState &request,
                               const Resources &size) {
  if (size.Accelerators > 0 || request.isUrgent() ||
      !request.runsToCompletion())
    return false;
  return state.PlanNumber <= state.AcceleratorsDueUntilPlan ||
         (state.PlanNumber <= state.AcceleratorShortageUntilPlan &&
          !state.isWithinFairShare(*request.Team, size));
}

uint32_t findWorker(PlannerState &state, const RequestState &request,
                    uint32_t index, const Resources &size) {
  if (isKnownUnplaceable(state, size))
    return NoWorker;
  std::vector<uint32_t> slots = findCandidates(state, size);
  if (slots.empty()) {
    state.UnplaceableSizes.push_back(size);
    return NoWorker;
  }
  if (mustAvoidFreeAccelerators(state, request, size))
    std::erase_if(slots, [&state](uint32_t slot) {
      return state.Workers[slot].IndexedFree.Accelerators > 0;
    });
  if (slots.empty())
    return NoWorker;
  std::vector<double> scores;
  scores.reserve(slots.size());
  std::ranges::transform(slots, std::back_inserter(scores), [&](uint32_t slot) {
    return scoreOf(state, request, index, slot, size);
  });
  return slots[std::ranges::min_element(scores) - scores.begin()];
}

// Distributes the tasks over the given workers in order; empty if they don't
// all fit.
std::optional<std::vector<GangPart>>
fillSlots(const PlannerState &state, const std::vector<uint32_t> &slots,
          const StartNeed &need) {
  std::vector<GangPart> parts;
  uint32_t left = need.Tasks;
  for (uint32_t slot : slots) {
    const uint32_t n =
        countFitting(state.Workers[slot].IndexedFree, need.Size, left);
    if (n > 0)
      parts.push_back({slot, n});
    left -= n;
    if (left == 0)
      return parts;
  }
  return std::nullopt;
}

// Uses the rack with the least free capacity that fits the whole gang; empty if
// no rack fits it.
std::optional<std::vector<GangPart>>
findWithinOneRack(const PlannerState &state, const StartNeed &need) {
  std::optional<std::vector<GangPart>> best;
  double bestFreeShare = 0;
  for (const RackState &rack : state.Racks) {
    if (!need.total().fitsIn(rack.Free))
      continue;
    const double freeShare = state.shareOf(rack.Free);
    if (best && freeShare >= bestFreeShare)
      continue;
    if (auto parts = fillSlots(state, rack.Slots, need)) {
      best = std::move(parts);
      bestFreeShare = freeShare;
    }
  }
  return best;
}

std::optional<std::vector<GangPart>> findGangParts(const PlannerState &state,
                                                   const StartNeed &need) {
  if (auto parts = findWithinOneRack(state, need))
    return parts;
  std::vector<uint32_t> slots;
  state.FreeCapacity.collect(need.Size, 0, state.FreeCapacity.size(), slots);
  // Racks with the most free capacity first, so that the gang spans few racks.
  std::ranges::stable_sort(slots, [&state](uint32_t a, uint32_t b) {
    const uint32_t rackA = state.Workers[a].Rack;
    const uint32_t rackB = state.Workers[b].Rack;
    const double freeA = state.shareOf(state.Racks[rackA].Free);
    const double freeB = state.shareOf(state.Racks[rackB].Free);
    return std::tie(freeB, rackA) < std::tie(freeA, rackB);
  });
  return fillSlots(state, slots, need);
}

void offer(PlannerState &state, RequestState &request, uint32_t index,
           uint32_t slot, const Resources &size, Instant now,
           std::vector<Action> &actions) {
  dequeueTask(state, request, index);
  request.OfferedPlan = state.PlanNumber;
  state.reserve(request, index, slot, size, now);
  actions.emplace_back(
      Offer{{request.Work.Request, index}, state.Workers[slot].Id, size});
}

bool placeGang(PlannerState &state, RequestState &request,
               const StartNeed &need, Instant now,
               std::vector<Action> &actions) {
  const auto parts = findGangParts(state, need);
  if (!parts)
    return false;
  for (const GangPart &part : *parts)
    for (uint32_t i = 0; i < part.Tasks; ++i)
      offer(state, request, request.Queued.back(), part.Slot, need.Size, now,
            actions);
  return true;
}

bool placeOne(PlannerState &state, RequestState &request, const StartNeed &need,
              Instant now, std::vector<Action> &actions) {
  const uint32_t index = request.Queued.back();
  const uint32_t slot = findWorker(state, request, index, need.Size);
  if (slot == NoWorker)
    return false;
  offer(state, request, index, slot, need.Size, now, actions);
  reorder(state, request);
  return true;
}

// Releases the request's holds for the search, and restores the holds that are
// still needed.
bool placeWithHolds(PlannerState &state, RequestState &request,
                    const StartNeed &need, Instant now,
                    std::vector<Action> &actions) {
  std::vector<Hold> holds = request.Holds;
  state.dropHolds(request);
  const std::size_t before = actions.size();
  const bool isPlaced = request.isGang()
                            ? placeGang(state, request, need, now, actions)
                            : placeOne(state, request, need, now, actions);
  if (isPlaced && !holds.empty()) {
    const WorkerId &used = std::get<Offer>(actions[before]).Worker;
    const auto it = std::ranges::find_if(holds, [&](const Hold &hold) {
      return state.Workers[hold.Slot].Id == used;
    });
    holds.erase(it == holds.end() ? holds.begin() : it);
  }
  if (!request.Queued.empty())
    for (const Hold &hold : holds)
      state.hold(request, hold);
  return isPlaced;
}

// Limits the rate of searches that are unlikely to succeed: those of a gang,
// which cover all workers, and those of a request whose held capacity is not
// free yet.
bool isSearchDue(const PlannerState &state, RequestState &request,
                 Instant now) {
  const bool isCovered = request.isGang()
                             ? !request.Holds.empty()
                             : request.Holds.size() >= request.Queued.size();
  if (isCovered && areHoldsReady(state, request))
    return true;
  // A gang keeps its reservation until it expires.
  if (request.isGang() && isCovered)
    return false;
  if (!request.isGang() && !isCovered)
    return true;
  const auto workers = static_cast<int64_t>(state.Workers.size());
  if (now - request.SearchedAt <
      Duration::millis(workers / WorkersPerSearchMillisecond))
    return false;
  request.SearchedAt = now;
  return true;
}

bool isBlockedByClaim(const PlannerState &state, const PriorityClaim &claim,
                      const RequestState &request) {
  return claim.Plan == state.PlanNumber && !request.isUrgent() &&
         claim.Order < request.Order;
}

} // namespace

bool isReady(const RequestState &request) {
  return !request.isGang() || request.hasAllTasks();
}

bool areHoldsReady(const PlannerState &state, const RequestState &request) {
  const auto isFree = [&state](const Hold &hold) {
    return !state.freeOn(state.Workers[hold.Slot]).isNegative();
  };
  return request.isGang() ? std::ranges::all_of(request.Holds, isFree)
                          : std::ranges::any_of(request.Holds, isFree);
}

bool isSliceClaimed(const PlannerState &state, const RequestState &request) {
  return isBlockedByClaim(state, request.Team->SlicePriority, request);
}

bool isFairShareClaimed(const PlannerState &state,
                        const RequestState &request) {
  return request.runsToCompletion() &&
         isBlockedByClaim(state, request.Team->FairSharePriority, request);
}

StartNeed startNeed(const PlannerState &state, const RequestState &request) {
  const auto tasks = static_cast<uint32_t>(
      request.isGang() ? request.Queued.size() : std::size_t{1});
  const StartNeed learned = {state.sizeOf(request), tasks};
  // A learned size must not keep work out of a slice that fits its declared
  // size.
  if (learned.total().fitsIn(request.Team->Slice))
    return learned;
  return {request.Work.Entry.Demand, tasks};
}

PlaceOutcome placeNext(PlannerState &state, RequestState &request, Instant now,
                       std::vector<Action> &actions) {
  const StartNeed need = startNeed(state, request);
  const uint32_t limit = request.Work.Entry.MaxRunning;
  if (limit > 0 && request.Entry->Placed + need.Tasks > limit)
    return PlaceOutcome::EntryFull;
  if (isSliceClaimed(state, request) ||
      !(request.Team->Reserved + need.total()).fitsIn(request.Team->Slice))
    return PlaceOutcome::SliceFull;
  if (isFairShareClaimed(state, request))
    return PlaceOutcome::FairShareClaimed;
  // A gang with more tasks than MaxActions is offered only as the first actions
  // of a plan.
  if (!actions.empty() && actions.size() + need.Tasks > state.Config.MaxActions)
    return PlaceOutcome::OutOfActions;
  if (!isSearchDue(state, request, now))
    return PlaceOutcome::NoCapacity;
  return placeWithHolds(state, request, need, now, actions)
             ? PlaceOutcome::Placed
             : PlaceOutcome::NoCapacity;
}

} // namespace jujube::placement::internal
