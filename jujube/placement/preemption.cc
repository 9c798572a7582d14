#include "jujube/placement/preemption.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "jujube/placement/queue.h"
#include "jujube/placement/reservation.h"
#include "jujube/placement/task_placement.h"

namespace jujube::placement::internal {
namespace {

// Most requests of an urgent lane that are considered at a time.
constexpr uint32_t MaxUrgentRequests = 32;
// Most holds of a request that is not a gang.
constexpr std::size_t MaxHolds = 16;
// Most requests with holds at a time.
constexpr std::size_t MaxRequestsWithHolds = 64;
// No more capacity is reserved for aged work while this fraction of the zone is
// held, as held capacity stays idle until the whole reservation is free.
constexpr double MaxHeldShare = 0.02;
// Workers that are compared for one preemption.
constexpr uint32_t PreemptCandidates = 16;
// Most workers on which tasks are stopped for one gang.
constexpr uint32_t GangCandidates = 64;
// Run time that satisfies the minimum run time of any policy.
constexpr Duration LongRunTime = Duration::minutes(60);
// Minimum time between two checks whether a blocked request is impossible.
constexpr Duration RecheckInterval = Duration::seconds(60);
// Fraction of a task's progress that is lost when it is stopped with a
// checkpoint.
constexpr double CheckpointCost = 0.1;

// Tasks to stop on one worker.
struct Eviction {
  uint32_t Slot = NoWorker;
  std::vector<TaskRef> Victims;
  Resources Freed;
  // Lost run time, in task-milliseconds.
  double Cost = 0;
};

// The dominant share of `amount`, divided by the team's fair share.
double relativeShare(const PlannerState &state, const TeamState &team,
                     const Resources &amount) {
  return state.shareOf(amount) / state.fairShare(team);
}

// The team's share divided by its fair share, without tasks that are stopping.
double shareAfterStops(const PlannerState &state, const TeamState &team) {
  return relativeShare(state, team, team.Reserved - team.Stopping);
}

PreemptView viewOfClaimant(const PlannerState &state,
                           const RequestState &claimant, Instant now) {
  PreemptView view;
  view.ClaimantPriority = claimant.isTreatedAsUrgent()
                              ? catalogue::Urgency::Urgent
                              : claimant.Work.Entry.Priority;
  view.ClaimantShare = relativeShare(
      state, *claimant.Team, claimant.Team->Reserved + claimant.Team->Held);
  view.ClaimantWaited = now - claimant.AcceptedAt;
  return view;
}

// Avoids searches that can't succeed: false if the policy would not even stop
// the best possible victim, a batch task that can checkpoint, has run for long
// and belongs to the team that is furthest above its fair share.
bool mayEvictAny(const PlannerState &state, const RequestState &claimant,
                 Instant now) {
  PreemptView view = viewOfClaimant(state, claimant, now);
  for (const auto &team : state.Teams)
    view.VictimShare =
        std::max(view.VictimShare, shareAfterStops(state, *team));
  view.VictimCanCheckpoint = true;
  view.VictimRan = LongRunTime;
  return state.Hooks.MayPreempt(view);
}

double costOf(const TaskRef &ref, Instant now) {
  const RequestState &victim = *ref.Request;
  const auto ran =
      static_cast<double>((now - victim.Tasks[ref.Index].Since).millis() + 1);
  const double lost = victim.Work.Entry.CanCheckpoint ? CheckpointCost : 1.0;
  return ran * lost * (victim.isGang() ? victim.Placed : 1);
}

// Chooses victims on a worker, lowest cost first, until they free `deficit`. If
// the policy allows too few victims, they free less.
Eviction chooseVictims(const PlannerState &state, const RequestState &claimant,
                       uint32_t slot, const Resources &deficit, Instant now) {
  Eviction eviction;
  eviction.Slot = slot;
  if (deficit.fitsIn(Resources{}))
    return eviction;
  std::vector<TaskRef> candidates;
  std::ranges::copy_if(
      state.Workers[slot].Tasks, std::back_inserter(candidates),
      [&](const TaskRef &ref) { return mayEvict(state, claimant, ref, now); });
  std::ranges::stable_sort(candidates, {}, [now](const TaskRef &ref) {
    return std::tuple(costOf(ref, now), ref.Request->Seq, ref.Index);
  });
  for (const TaskRef &ref : candidates) {
    if (deficit.fitsIn(eviction.Freed))
      break;
    eviction.Freed += ref.Request->Tasks[ref.Index].Reserved;
    eviction.Victims.push_back(ref);
    eviction.Cost += costOf(ref, now);
  }
  return eviction;
}

void evictAll(PlannerState &state, const RequestState &claimant,
              const Eviction &eviction, std::vector<Action> &actions) {
  const StopReason why =
      claimant.isTreatedAsUrgent() ? StopReason::Urgent : StopReason::FairShare;
  for (const TaskRef &ref : eviction.Victims)
    evict(state, ref, why, actions);
}

// Preempts other tasks for one task of the request. Returns false if the policy
// allows no sufficient set of victims.
bool preemptForOne(PlannerState &state, RequestState &claimant,
                   const Resources &size, Instant now,
                   std::vector<Action> &actions) {
  if (!mayEvictAny(state, claimant, now))
    return false;
  std::vector<uint32_t> slots;
  const uint32_t start =
      state.Hooks.SearchStart(state.Random(), state.EvictableCapacity.size());
  state.EvictableCapacity.collect(size, start, PreemptCandidates, slots);
  std::optional<Eviction> best;
  for (uint32_t slot : slots) {
    const Resources deficit =
        clampedToZero(size - state.freeAfterStops(state.Workers[slot]));
    Eviction eviction = chooseVictims(state, claimant, slot, deficit, now);
    if (deficit.fitsIn(eviction.Freed) && (!best || eviction.Cost < best->Cost))
      best = std::move(eviction);
  }
  if (!best)
    return false;
  state.hold(claimant, {best->Slot, size, now + HoldTime});
  evictAll(state, claimant, *best, actions);
  return true;
}

// Preempts tasks, as far as the policy allows, on the workers where the request
// holds capacity.
void preemptOnHolds(PlannerState &state, RequestState &claimant, Instant now,
                    std::vector<Action> &actions) {
  if (!mayEvictAny(state, claimant, now))
    return;
  for (const Hold &hold : claimant.Holds) {
    const Resources deficit = clampedToZero(
        Resources{} - state.freeAfterStops(state.Workers[hold.Slot]));
    evictAll(state, claimant,
             chooseVictims(state, claimant, hold.Slot, deficit, now), actions);
  }
}

// Capacity on a worker that the claimant could get by preemption.
Resources preemptibleCapacity(const PlannerState &state,
                              const RequestState &claimant, uint32_t slot,
                              Instant now) {
  Resources capacity = state.freeAfterStops(state.Workers[slot]);
  for (const TaskRef &ref : state.Workers[slot].Tasks)
    if (mayEvict(state, claimant, ref, now))
      capacity += ref.Request->Tasks[ref.Index].Reserved;
  return capacity;
}

// Holds for a whole gang and the evictions that free their capacity.
struct GangPreemption {
  std::vector<Hold> Holds;
  std::vector<Eviction> Evictions;
};

std::optional<GangPreemption> findGangPreemption(PlannerState &state,
                                                 const RequestState &claimant,
                                                 const StartNeed &need,
                                                 Instant now) {
  std::vector<uint32_t> slots;
  const uint32_t start =
      state.Hooks.SearchStart(state.Random(), state.EvictableCapacity.size());
  state.EvictableCapacity.collect(need.Size, start, GangCandidates, slots);
  GangPreemption found;
  uint32_t left = need.Tasks;
  for (uint32_t slot : slots) {
    const uint32_t tasks = countFitting(
        preemptibleCapacity(state, claimant, slot, now), need.Size, left);
    if (tasks == 0)
      continue;
    const Resources capacity = need.Size * tasks;
    const Resources deficit =
        clampedToZero(capacity - state.freeAfterStops(state.Workers[slot]));
    found.Holds.push_back({slot, capacity, now + HoldTime});
    found.Evictions.push_back(
        chooseVictims(state, claimant, slot, deficit, now));
    left -= tasks;
    if (left == 0)
      return found;
  }
  return std::nullopt;
}

// Preempts other tasks for a whole gang, provided that this frees all the
// capacity it needs and, unless the gang is urgent, its team stays within its
// fair share.
bool preemptForGang(PlannerState &state, RequestState &claimant,
                    const StartNeed &need, Instant now,
                    std::vector<Action> &actions) {
  if (!claimant.isUrgent() &&
      !state.isWithinFairShare(*claimant.Team, need.total()))
    return false;
  if (!mayEvictAny(state, claimant, now))
    return false;
  const std::optional<GangPreemption> preemption =
      findGangPreemption(state, claimant, need, now);
  if (!preemption)
    return false;
  for (const Hold &hold : preemption->Holds)
    state.hold(claimant, hold);
  for (const Eviction &eviction : preemption->Evictions)
    evictAll(state, claimant, eviction, actions);
  return true;
}

bool mayReserve(const PlannerState &state, const RequestState &request,
                Instant now) {
  if (!state.isAged(request, now) || !request.Holds.empty())
    return false;
  // Holds count towards a team's share; a hold may be added until the fair
  // share is reached.
  const TeamState &team = *request.Team;
  return state.RequestsWithHolds.size() < MaxRequestsWithHolds &&
         state.shareOf(state.TotalHeld) < MaxHeldShare &&
         relativeShare(state, team, team.Reserved + team.Held) <= 1;
}

bool isInSlice(const RequestState &request, const Resources &more) {
  const TeamState &team = *request.Team;
  return (team.Reserved + team.Held + more).fitsIn(team.Slice);
}

void preemptOrReserveForTask(PlannerState &state, RequestState &request,
                             Instant now, std::vector<Action> &actions) {
  const StartNeed need = startNeed(state, request);
  const std::size_t wanted = request.isTreatedAsUrgent()
                                 ? std::min(request.Queued.size(), MaxHolds)
                                 : std::size_t{1};
  for (std::size_t i = 0; i < wanted; ++i) {
    if (request.Holds.size() >= std::min(request.Queued.size(), MaxHolds) ||
        !isInSlice(request, need.total()))
      return;
    if (preemptForOne(state, request, need.Size, now, actions))
      continue;
    if (mayReserve(state, request, now))
      reserveCapacity(state, request, need, now);
    return;
  }
}

void preemptOrReserveForGang(PlannerState &state, RequestState &request,
                             Instant now, std::vector<Action> &actions) {
  const StartNeed need = startNeed(state, request);
  if (request.Holds.empty()) {
    if (!isInSlice(request, need.total()) ||
        preemptForGang(state, request, need, now, actions))
      return;
    if (!request.isUrgent() && !mayReserve(state, request, now))
      return;
    if (!reserveCapacity(state, request, need, now))
      return;
  }
  preemptOnHolds(state, request, now, actions);
}

// Returns false, and rejects the blocked request, if the zone can't run it any
// more.
bool recheckPossible(PlannerState &state, RequestState &request, Instant now) {
  if (request.HasRun || now - request.CheckedAt < RecheckInterval ||
      now < state.FirstWorkerAt + state.Config.SettleTime)
    return true;
  request.CheckedAt = now;
  std::optional<Error> why = findImpossible(state, request);
  if (!why)
    return true;
  rejectRequest(state, request, std::move(*why));
  return false;
}

} // namespace

bool mayEvict(const PlannerState &state, const RequestState &claimant,
              const TaskRef &ref, Instant now) {
  const RequestState &victim = *ref.Request;
  const TaskState &task = victim.Tasks[ref.Index];
  if (task.IsStopping || &victim == &claimant ||
      victim.OfferedPlan == state.PlanNumber)
    return false;
  PreemptView view = viewOfClaimant(state, claimant, now);
  view.VictimPriority = victim.Work.Entry.Priority;
  view.VictimClass = victim.Work.Entry.Class;
  view.VictimShare = shareAfterStops(state, *victim.Team);
  view.VictimCanCheckpoint = victim.Work.Entry.CanCheckpoint;
  view.VictimIsIdempotent = victim.Work.Entry.IsIdempotent;
  view.VictimRan = now - task.Since;
  return state.Hooks.MayPreempt(view);
}

void preemptOrReserve(PlannerState &state, LaneState &lane, Instant now,
                      std::vector<Action> &actions) {
  const uint32_t limit =
      lane.Priority == catalogue::Urgency::Urgent ? MaxUrgentRequests : 1;
  std::vector<RequestState *> requests;
  for (const auto &[key, request] : lane.Queue) {
    if (requests.size() == limit)
      break;
    requests.push_back(request);
    state.IsUrgentBlocked |= request->isTreatedAsUrgent();
  }
  for (RequestState *request : requests) {
    if (!recheckPossible(state, *request, now))
      continue;
    if (!request->isGang())
      preemptOrReserveForTask(state, *request, now, actions);
    else if (request->hasAllTasks())
      preemptOrReserveForGang(state, *request, now, actions);
  }
}

void evict(PlannerState &state, const TaskRef &task, StopReason why,
           std::vector<Action> &actions) {
  RequestState &request = *task.Request;
  for (uint32_t i = 0; i < request.Tasks.size(); ++i) {
    const TaskState &other = request.Tasks[i];
    if (other.Stage != TaskStage::Placed || other.IsStopping ||
        (i != task.Index && !request.isGang()))
      continue;
    state.markStopping(request, i);
    const TaskId id = {request.Work.Request, i};
    if (request.Work.Entry.CanCheckpoint)
      actions.emplace_back(CheckpointTask{id, why});
    else
      actions.emplace_back(StopTask{id, why});
  }
}

void expireHolds(PlannerState &state, Instant now) {
  const auto isExpired = [&](const Hold &hold) {
    const WorkerState &worker = state.Workers[hold.Slot];
    return hold.Until <= now || !worker.IsPresent || worker.IsLeaving ||
           worker.History.Health == WorkerHealth::Quarantined;
  };
  std::vector<RequestState *> expired;
  for (const auto &[seq, request] : state.RequestsWithHolds)
    if (std::ranges::any_of(request->Holds, isExpired))
      expired.push_back(request);
  for (RequestState *request : expired)
    state.dropHolds(*request);
}

} // namespace jujube::placement::internal
