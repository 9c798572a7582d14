#include "jujube/placement/lane_scheduling.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

#include "jujube/placement/preemption.h"
#include "jujube/placement/reclamation.h"
#include "jujube/placement/task_placement.h"

namespace jujube::placement::internal {
namespace {

// Most requests of a lane that are checked for a ready request.
constexpr uint32_t MaxLaneScan = 64;
// Minimum time between two tries to preempt or reserve for a lane that is not
// urgent.
constexpr Duration PreemptionInterval = Duration::millis(250);
// Minimum time between two preemptions in a team's slice for urgent work of the
// same team.
constexpr Duration UrgentSliceInterval = Duration::millis(50);
// Most lanes, other than urgent lanes, for which one plan tries preemption; the
// next plans serve the others.
constexpr uint32_t MaxLanesPreemptedFor = 8;

// The first request of the lane that is ready to start. Requests that are not
// ready don't block later requests.
RequestState *findHead(const LaneState &lane) {
  uint32_t scanned = 0;
  for (const auto &[key, request] : lane.Queue) {
    if (isReady(*request))
      return request;
    if (++scanned == MaxLaneScan)
      break;
  }
  return nullptr;
}

// A lane that may have work to place. Outdated once its team's version is not
// `Version` any more.
struct LaneCandidate {
  LaneState *Lane = nullptr;
  RequestState *Head = nullptr;
  double Rank = 0;
  uint64_t Version = 0;

  auto key() const { return std::tuple(Rank, Head->Order); }
  bool operator<(const LaneCandidate &rhs) const { return rhs.key() < key(); }
};

// The candidate with the lowest rank is on top. Each placement of a team
// outdates the candidates of its lanes: new candidates are pushed, and outdated
// candidates are skipped when popped.
using LaneHeap = std::priority_queue<LaneCandidate>;

void pushLane(const PlannerState &state, LaneState &lane, LaneHeap &heap) {
  if (lane.Queue.empty() || lane.BlockedPlan == state.PlanNumber)
    return;
  RequestState *head = findHead(lane);
  if (!head)
    return;
  const double share = state.shareOf(lane.Team->Reserved);
  const catalogue::Urgency priority =
      head->isTreatedAsUrgent() ? catalogue::Urgency::Urgent : lane.Priority;
  const double rank = state.Hooks.Rank(
      {head->Work.Entry.Class, priority, share / lane.Team->Share});
  heap.push({&lane, head, rank, lane.Team->Version});
}

// Limits how much time a plan spends on blocked lanes.
bool isPreemptionDue(PlannerState &state, const RequestState &head,
                     Instant now) {
  if (head.isTreatedAsUrgent())
    return true;
  if (now - head.Lane->PreemptionTriedAt < PreemptionInterval ||
      state.LanesPreemptedFor >= MaxLanesPreemptedFor)
    return false;
  ++state.LanesPreemptedFor;
  head.Lane->PreemptionTriedAt = now;
  return true;
}

// Blocks later work of the team so that it doesn't take the capacity that an
// aged gang needs, until the team's fair share has capacity for the gang twice.
// The team thereby stays below its fair share by at most the size of a gang,
// and none of its later work overtakes a gang that waits to reserve capacity.
void claimFairShare(const PlannerState &state, const RequestState &head,
                    Instant now) {
  TeamState &team = *head.Team;
  if (!head.isGang() || head.isUrgent() || !state.isAged(head, now) ||
      !head.Holds.empty() || isFairShareClaimed(state, head) ||
      state.isWithinFairShare(team, startNeed(state, head).total() * 2))
    return;
  team.FairSharePriority = {state.PlanNumber, head.Order};
}

// Keeps other work off workers with free accelerators until the next plan.
void claimAccelerators(PlannerState &state, const RequestState &head) {
  if (head.Work.Entry.Demand.Accelerators == 0 ||
      isFairShareClaimed(state, head))
    return;
  state.AcceleratorShortageUntilPlan = state.PlanNumber + 1;
  if (state.isWithinFairShare(*head.Team, startNeed(state, head).total()))
    state.AcceleratorsDueUntilPlan = state.PlanNumber + 1;
}

// Handles a head that could not be placed.
void handleBlocked(PlannerState &state, RequestState &head,
                   PlaceOutcome outcome, Instant now,
                   std::vector<Action> &actions) {
  LaneState &lane = *head.Lane;
  lane.BlockedPlan = state.PlanNumber;
  if (outcome == PlaceOutcome::NoCapacity) {
    if (isPreemptionDue(state, head, now))
      preemptOrReserve(state, lane, now, actions);
    claimFairShare(state, head, now);
    claimAccelerators(state, head);
    return;
  }
  if (outcome != PlaceOutcome::SliceFull)
    return;
  if (head.isUrgent()) {
    if (now - lane.PreemptionTriedAt >= UrgentSliceInterval) {
      lane.PreemptionTriedAt = now;
      preemptInSlice(state, head, startNeed(state, head).total(), now, actions);
    }
    return;
  }
  if (!state.isAged(head, now) || isSliceClaimed(state, head))
    return;
  head.Team->SlicePriority = {state.PlanNumber, head.Order};
}

} // namespace

void placeRequestsWithHolds(PlannerState &state, Instant now,
                            std::vector<Action> &actions) {
  std::vector<RequestState *> ready;
  for (const auto &[seq, request] : state.RequestsWithHolds)
    if (isReady(*request) && areHoldsReady(state, *request))
      ready.push_back(request);
  for (RequestState *request : ready)
    if (placeNext(state, *request, now, actions) == PlaceOutcome::OutOfActions)
      state.WasCutShort = true;
}

void placeWaiting(PlannerState &state, Instant now,
                  std::vector<Action> &actions) {
  state.LanesPreemptedFor = 0;
  LaneHeap heap;
  for (const auto &lane : state.Lanes)
    pushLane(state, *lane, heap);
  while (!heap.empty()) {
    const LaneCandidate best = heap.top();
    heap.pop();
    TeamState &team = *best.Lane->Team;
    if (best.Version != team.Version)
      continue;
    // Preemption for another lane may have stopped part of this gang.
    if (!isReady(*best.Head)) {
      pushLane(state, *best.Lane, heap);
      continue;
    }
    const PlaceOutcome outcome = placeNext(state, *best.Head, now, actions);
    if (outcome == PlaceOutcome::OutOfActions) {
      state.WasCutShort = true;
      return;
    }
    if (outcome != PlaceOutcome::Placed) {
      handleBlocked(state, *best.Head, outcome, now, actions);
      continue;
    }
    ++team.Version;
    for (LaneState *lane : team.Lanes)
      pushLane(state, *lane, heap);
  }
}

} // namespace jujube::placement::internal
