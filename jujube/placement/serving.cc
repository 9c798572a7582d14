#include "jujube/placement/serving.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

#include "jujube/placement/making_room.h"
#include "jujube/placement/relief.h"
#include "jujube/placement/task_placement.h"

namespace jujube::placement::internal {
namespace {

// Most requests of a lane that are looked at for one that is ready.
constexpr uint32_t MaxLaneScan = 64;
// How often room is made for a blocked lane that is not urgent.
constexpr Duration PreemptionInterval = Duration::millis(250);
// How often a team's own work makes room in its slice for urgent work.
constexpr Duration UrgentSliceInterval = Duration::millis(50);
// Lanes that are not urgent and for which one plan makes room; the others have
// their turn in the next plans.
constexpr uint32_t MaxPreemptionPasses = 8;

// The first request of the lane that may start; requests that are not ready do
// not block those behind them.
RequestState *findHead(const LaneState &lane) {
  uint32_t looked = 0;
  for (const auto &[key, request] : lane.Queue) {
    if (isReady(*request))
      return request;
    if (++looked == MaxLaneScan)
      break;
  }
  return nullptr;
}

// A lane that may have something to place, as its team stood at `Version`.
struct LaneCandidate {
  LaneState *Lane = nullptr;
  RequestState *Head = nullptr;
  double Rank = 0;
  uint64_t Version = 0;

  auto key() const { return std::tuple(Rank, Head->Order); }
  bool operator<(const LaneCandidate &rhs) const { return rhs.key() < key(); }
};

// The contender with the lowest rank is on top. A placement outdates the
// entries of its team's lanes; new ones are pushed and old ones skipped.
using LaneHeap = std::priority_queue<LaneCandidate>;

void pushLane(const PlannerState &state, LaneState &lane, LaneHeap &all) {
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
  all.push({&lane, head, rank, lane.Team->Version});
}

// Bounds the time that a plan spends on blocked lanes.
bool isPreemptionDue(PlannerState &state, const RequestState &head,
                     Instant now) {
  if (head.isTreatedAsUrgent())
    return true;
  if (now - head.Lane->LastPreemptionPass < PreemptionInterval ||
      state.PreemptionPasses >= MaxPreemptionPasses)
    return false;
  ++state.PreemptionPasses;
  head.Lane->LastPreemptionPass = now;
  return true;
}

// Keeps later work of its team from taking the room that an aged gang needs,
// until the team's part has room for it twice: so the team stays below its part
// by a gang's size at most, and no more of its work passes a gang that waits
// for its turn to reserve.
void claimFairShare(const PlannerState &state, const RequestState &head,
                    Instant now) {
  TeamState &team = *head.Team;
  if (!head.isGang() || head.isUrgent() || !state.isAged(head, now) ||
      !head.Holds.empty() || isFairShareClaimed(state, head) ||
      state.isWithinFairShare(team, startNeed(state, head).total() * 2))
    return;
  team.FairSharePriority = {state.PlanNumber, head.Order};
}

// Keeps other work off the accelerators' workers until the next plan.
void claimAccelerators(PlannerState &state, const RequestState &head) {
  if (head.Work.Entry.Ask.Accelerators == 0 || isFairShareClaimed(state, head))
    return;
  state.AcceleratorShortageUntilPlan = state.PlanNumber + 1;
  if (state.isWithinFairShare(*head.Team, startNeed(state, head).total()))
    state.AcceleratorsDueUntilPlan = state.PlanNumber + 1;
}

// Deals with a head that could not be placed.
void handleBlocked(PlannerState &state, RequestState &head,
                   PlaceOutcome outcome, Instant now,
                   std::vector<Action> &actions) {
  LaneState &lane = *head.Lane;
  lane.BlockedPlan = state.PlanNumber;
  if (outcome == PlaceOutcome::NoRoom) {
    if (isPreemptionDue(state, head, now))
      preemptOrReserve(state, lane, now, actions);
    claimFairShare(state, head, now);
    claimAccelerators(state, head);
    return;
  }
  if (outcome != PlaceOutcome::SliceFull)
    return;
  if (head.isUrgent()) {
    if (now - lane.LastPreemptionPass >= UrgentSliceInterval) {
      lane.LastPreemptionPass = now;
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
  state.PreemptionPasses = 0;
  LaneHeap contenders;
  for (const auto &lane : state.Lanes)
    pushLane(state, *lane, contenders);
  while (!contenders.empty()) {
    const LaneCandidate best = contenders.top();
    contenders.pop();
    TeamState &team = *best.Lane->Team;
    if (best.Version != team.Version)
      continue;
    // Work that was stopped for another lane may have broken up a gang.
    if (!isReady(*best.Head)) {
      pushLane(state, *best.Lane, contenders);
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
      pushLane(state, *lane, contenders);
  }
}

} // namespace jujube::placement::internal
