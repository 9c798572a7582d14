#include "jujube/placement/planner.h"

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "jujube/placement/lane_scheduling.h"
#include "jujube/placement/preemption.h"
#include "jujube/placement/queue.h"
#include "jujube/placement/reclamation.h"
#include "jujube/placement/state.h"

namespace jujube::placement {
namespace {

using internal::PlannerState;
using internal::RequestState;
using internal::TaskStage;
using internal::TaskState;
using internal::TeamState;
using internal::WorkerState;

// Blocked work is tried again after these intervals even without an event.
constexpr Duration BlockedInterval = Duration::seconds(1);
constexpr Duration UrgentInterval = Duration::millis(20);

Status checkOptions(const Options &options, const PlacementHooks &hooks) {
  if (!hooks.Rank || !hooks.OrderKey || !hooks.ReserveSize || !hooks.Score ||
      !hooks.MayPreempt || !hooks.SearchStart)
    return Error{ErrorKind::InvalidArgument, "a placement hook is not set",
                 "start from hooksFor() and replace individual hooks"};
  if (options.MaxActions == 0 || options.MaxCandidates < 4)
    return Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("invalid planner options: MaxActions ", options.MaxActions,
                     ", MaxCandidates ", options.MaxCandidates),
        "set MaxActions to at least 1 and MaxCandidates to at least 4"};
  return Ok{};
}

// Applies an announcement to the worker. Returns true if tasks on the worker
// may have to stop.
bool applyAnnouncement(PlannerState &state, uint32_t slot,
                       const fate::WorkerAnnouncement &announcement) {
  WorkerState &worker = state.Workers[slot];
  const bool wasLeaving = worker.IsLeaving;
  if (worker.IsPresent)
    state.TotalCapacity -= worker.Capacity;
  worker.IsPresent = true;
  worker.IsLeaving = announcement.IsLeaving;
  worker.Capacity = internal::clampedToZero(announcement.Capacity);
  state.TotalCapacity += worker.Capacity;
  state.LostWorkers.erase(slot);
  state.WorkerCapacity.set(slot, announcement.IsLeaving ? Resources{-1, -1, -1}
                                                        : worker.Capacity);
  return (announcement.IsLeaving && !wasLeaving) ||
         !worker.Reserved.fitsIn(worker.Capacity);
}

void assignRack(PlannerState &state, uint32_t slot, const RackId &id) {
  const auto [it, isNew] = state.RacksById.try_emplace(
      id, static_cast<uint32_t>(state.Racks.size()));
  if (isNew)
    state.Racks.emplace_back();
  WorkerState &worker = state.Workers[slot];
  const bool wasThere =
      std::ranges::count(state.Racks[it->second].Slots, slot) > 0;
  if (wasThere)
    return;
  if (worker.Rack < state.Racks.size()) {
    auto &before = state.Racks[worker.Rack];
    if (std::erase(before.Slots, slot) > 0)
      before.Free -= internal::clampedToZero(worker.IndexedFree);
  }
  worker.Rack = it->second;
  state.Racks[it->second].Slots.push_back(slot);
  state.Racks[it->second].Free += internal::clampedToZero(worker.IndexedFree);
}

void clearHistory(PlannerState &state, uint32_t slot) {
  WorkerState &worker = state.Workers[slot];
  state.Quarantined.erase({worker.History.QuarantinedUntil, slot});
  worker.History = {};
}

// Removes workers that were lost long ago from the zone's capacity.
void forgetLostWorkers(PlannerState &state, Instant now) {
  std::vector<uint32_t> expired;
  std::ranges::copy_if(
      state.LostWorkers, std::back_inserter(expired), [&](uint32_t slot) {
        return state.Workers[slot].LostAt + state.Config.ForgetWorkerAfter <=
               now;
      });
  for (uint32_t slot : expired) {
    state.LostWorkers.erase(slot);
    state.WorkerCapacity.set(slot, {-1, -1, -1});
  }
}

// True if the action concerns a task whose attempt has ended since the
// decision.
bool isOutdated(PlannerState &state, const Action &action) {
  const auto isPlaced = [&state](const TaskId &id) {
    const TaskState *task = state.findTask(id);
    return task && task->Stage == TaskStage::Placed;
  };
  if (const auto *stop = std::get_if<StopTask>(&action))
    return !isPlaced(stop->Task);
  if (const auto *checkpoint = std::get_if<CheckpointTask>(&action))
    return !isPlaced(checkpoint->Task);
  if (const auto *throttle = std::get_if<ThrottleTask>(&action))
    return !isPlaced(throttle->Task);
  return false;
}

// Returns the pending actions that still apply.
std::vector<Action> takePendingActions(PlannerState &state) {
  std::vector<Action> actions = std::move(state.PendingActions);
  state.PendingActions.clear();
  std::erase_if(actions, [&state](const Action &action) {
    return isOutdated(state, action);
  });
  return actions;
}

void count(PlannerCounters &counters, const std::vector<Action> &actions) {
  const auto countOf = [&actions]<typename T>(const T &) {
    return static_cast<uint64_t>(
        std::ranges::count_if(actions, [](const Action &action) {
          return std::holds_alternative<T>(action);
        }));
  };
  counters.Offers += countOf(Offer{});
  counters.Stops += countOf(StopTask{});
  counters.Checkpoints += countOf(CheckpointTask{});
  counters.Throttles += countOf(ThrottleTask{});
  counters.Rejections += countOf(RejectRequest{});
}

} // namespace

Planner::Planner(std::unique_ptr<PlannerState> state)
    : State(std::move(state)) {}
Planner::~Planner() = default;
Planner::Planner(Planner &&) noexcept = default;
Planner &Planner::operator=(Planner &&) noexcept = default;

Result<Planner> Planner::create(const Options &options, PlacementHooks hooks) {
  if (Status status = checkOptions(options, hooks); !isOk(status))
    return errorOf(status);
  return Planner(std::make_unique<PlannerState>(options, std::move(hooks)));
}

void Planner::announceWorker(const fate::WorkerAnnouncement &announcement,
                             Instant now) {
  const uint32_t slot = State->findOrAddWorker(announcement.Worker);
  WorkerState &worker = State->Workers[slot];
  if (announcement.WorkerIncarnation < worker.WorkerIncarnation)
    return;
  const bool isSame =
      worker.IsPresent &&
      worker.WorkerIncarnation == announcement.WorkerIncarnation &&
      worker.Capacity == announcement.Capacity &&
      worker.IsLeaving == announcement.IsLeaving;
  if (isSame)
    return;
  State->FirstWorkerAt = std::min(State->FirstWorkerAt, now);
  if (worker.WorkerIncarnation < announcement.WorkerIncarnation)
    clearHistory(*State, slot);
  worker.WorkerIncarnation = announcement.WorkerIncarnation;
  assignRack(*State, slot, announcement.Rack);
  if (applyAnnouncement(*State, slot, announcement))
    State->ShrunkWorkers.push_back(slot);
  State->refresh(slot);
}

void Planner::markWorkerLost(const WorkerId &id, Instant now) {
  const uint32_t slot = State->findOrAddWorker(id);
  WorkerState &worker = State->Workers[slot];
  if (!worker.IsPresent)
    return;
  worker.IsPresent = false;
  worker.LostAt = now;
  State->TotalCapacity -= worker.Capacity;
  State->LostWorkers.insert(slot);
  State->refresh(slot);
}

void Planner::setTeams(const std::vector<catalogue::Team> &teams) {
  for (const auto &known : State->Teams)
    known->IsConfigured = false;
  for (const catalogue::Team &config : teams) {
    TeamState &team = State->team(config.Id);
    team.IsConfigured = true;
    team.Share = std::max(config.Share, 1U);
    team.Ceiling = config.Ceiling;
  }
}

void Planner::setSlice(const TeamId &id, const Resources &slice) {
  TeamState &team = State->team(id);
  team.HasSlice = true;
  team.Slice = slice;
  if (!team.Reserved.fitsIn(slice))
    State->TeamsOverSlice.push_back(&team);
}

Resources Planner::wanted(const TeamId &id) const {
  const auto it = State->TeamsById.find(id);
  if (it == State->TeamsById.end())
    return Resources{};
  const TeamState &team = *it->second;
  const Resources demand = team.Reserved + team.Queued;
  return team.IsConfigured ? minOf(demand, team.Ceiling) : demand;
}

Resources Planner::used(const TeamId &id) const {
  const auto it = State->TeamsById.find(id);
  return it == State->TeamsById.end() ? Resources{} : it->second->Reserved;
}

void Planner::enqueue(const PendingRequest &request, Instant now) {
  RequestState &known =
      internal::findOrAddRequest(*State, request.Work, request.AcceptedAt);
  known.HasRun |= request.HasRun;
  internal::enqueueTasks(*State, known, request.Tasks, now);
}

void Planner::requeue(const TaskId &task, Instant now) {
  if (State->findTask(task))
    internal::requeueTask(*State, *State->findRequest(task.Request), task.Index,
                          now);
}

void Planner::restore(const fate::Submission &work, Instant acceptedAt,
                      const Placed &placed) {
  RequestState &request = internal::findOrAddRequest(*State, work, acceptedAt);
  const uint32_t index = placed.Task.Index;
  if (index >= request.Tasks.size())
    request.Tasks.resize(index + 1);
  if (request.Tasks[index].Stage != TaskStage::Absent)
    return;
  request.HasRun = true;
  State->reserve(request, index, State->findOrAddWorker(placed.Worker),
                 placed.Reserved, placed.Since);
  if (placed.IsStopping)
    State->markStopping(request, index);
  TeamState &team = *request.Team;
  if (team.HasSlice && !team.Reserved.fitsIn(team.Slice))
    State->TeamsOverSlice.push_back(&team);
}

void Planner::restoreFinished(const fate::Submission &work, Instant acceptedAt,
                              uint32_t index) {
  RequestState &request = internal::findOrAddRequest(*State, work, acceptedAt);
  if (index >= request.Tasks.size() ||
      request.Tasks[index].Stage != TaskStage::Absent)
    return;
  request.HasRun = true;
  request.Tasks[index].Stage = TaskStage::Done;
  ++request.Done;
  internal::eraseIfFinished(*State, request);
}

void Planner::attemptStarted(const TaskId &id, Instant now) {
  TaskState *task = State->findTask(id);
  if (!task || task->Stage != TaskStage::Placed)
    return;
  State->findRequest(id.Request)->HasRun = true;
  task->Since = now;
}

void Planner::attemptEnded(const TaskId &id, EndKind kind, Instant now) {
  TaskState *task = State->findTask(id);
  if (!task || task->Stage != TaskStage::Placed)
    return;
  RequestState &request = *State->findRequest(id.Request);
  internal::recordOutcome(*State, request, id.Index, kind, now);
  request.HasRun |= kind != EndKind::Refused;
  State->release(request, id.Index);
  if (kind == EndKind::Finished) {
    task->Stage = TaskStage::Done;
    ++request.Done;
  }
  internal::eraseIfFinished(*State, request);
}

void Planner::recordUsage(const TaskId &id, const Resources &measured) {
  TaskState *task = State->findTask(id);
  if (task && task->Stage == TaskStage::Placed)
    internal::applyUsage(*State, *State->findRequest(id.Request), id.Index,
                         measured);
}

void Planner::cancel(const RequestId &id) {
  if (RequestState *request = State->findRequest(id))
    internal::cancelRequest(*State, *request);
}

void Planner::forget(const RequestId &id) {
  RequestState *request = State->findRequest(id);
  if (request && request->Placed == 0)
    internal::eraseRequest(*State, *request);
}

std::vector<Action> Planner::plan(Instant now) {
  ++State->PlanNumber;
  State->WasCutShort = false;
  State->IsUrgentBlocked = false;
  internal::endQuarantines(*State, now);
  forgetLostWorkers(*State, now);
  internal::runQueueTimers(*State, now);
  internal::expireHolds(*State, now);
  if (State->QueuedTasks > 0)
    State->computeFairShares();
  std::vector<Action> actions = takePendingActions(*State);
  internal::reclaimSurplus(*State, actions);
  internal::placeRequestsWithHolds(*State, now, actions);
  internal::placeWaiting(*State, now, actions);
  std::ranges::move(State->PendingActions, std::back_inserter(actions));
  State->PendingActions.clear();
  count(State->Counters, actions);
  return actions;
}

Instant Planner::nextPlanAt(Instant now) const {
  if (State->WasCutShort || !State->PendingActions.empty() ||
      !State->ShrunkWorkers.empty() || !State->TeamsOverSlice.empty() ||
      !State->OverusingTasks.empty())
    return now;
  Instant next = Instant::never();
  if (!State->DelayedTasks.empty())
    next = std::get<Instant>(State->DelayedTasks.begin()->first);
  if (!State->Deadlines.empty())
    next = std::min(next, State->Deadlines.begin()->first.first);
  if (!State->Quarantined.empty())
    next = std::min(next, State->Quarantined.begin()->first);
  if (!State->UncheckedRequests.empty())
    next = std::min(next, State->FirstWorkerAt + State->Config.SettleTime);
  if (State->QueuedTasks > 0)
    next = std::min(next, now + (State->IsUrgentBlocked ? UrgentInterval
                                                        : BlockedInterval));
  return next;
}

PlannerStatus Planner::status() const {
  PlannerStatus status;
  status.Workers = static_cast<uint32_t>(std::ranges::count_if(
      State->Workers, [](const WorkerState &w) { return w.IsPresent; }));
  status.QuarantinedWorkers = static_cast<uint32_t>(State->Quarantined.size());
  status.QueuedTasks = State->QueuedTasks;
  status.PlacedTasks = State->PlacedTasks;
  status.Held = State->TotalCapacity;
  status.Reserved = State->TotalReserved;
  return status;
}

const PlannerCounters &Planner::counters() const { return State->Counters; }

std::vector<WorkerId> Planner::quarantinedWorkers() const {
  std::vector<WorkerId> ids;
  for (const auto &[until, slot] : State->Quarantined)
    ids.push_back(State->Workers[slot].Id);
  return ids;
}

} // namespace jujube::placement
