#include "jujube/placement/reclamation.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "jujube/placement/preemption.h"

namespace jujube::placement::internal {
namespace {

// A measurement below the peak lowers the peak by one part in this many of the
// difference.
constexpr int64_t PeakDecay = 64;
// A new run time enters the moving average with a weight of one in this many.
constexpr int64_t RunWeight = 8;
// At most one in this many workers is quarantined, but always one worker may
// be. If more workers fail, they likely share a cause, and removing them would
// only reduce the capacity further.
constexpr std::size_t WorkersPerQuarantine = 4;

int64_t decayedPeak(int64_t peak, int64_t measured) {
  return std::max(measured, peak - (peak - measured) / PeakDecay);
}

void updatePeak(EntryState &entry, const Resources &measured) {
  entry.Peak = {decayedPeak(entry.Peak.MilliCpu, measured.MilliCpu),
                decayedPeak(entry.Peak.MemoryMb, measured.MemoryMb),
                entry.Peak.Accelerators};
  ++entry.Samples;
}

void updateRunTime(EntryState &entry, Duration run) {
  entry.Run =
      entry.Run > Duration() ? entry.Run + (run - entry.Run) / RunWeight : run;
}

// Tries to enlarge a task's reservation by `more`.
bool growReservation(PlannerState &state, RequestState &request, uint32_t index,
                     const Resources &more) {
  const TeamState &team = *request.Team;
  const WorkerState &worker = state.Workers[request.Tasks[index].Worker];
  const bool fitsOnWorker = worker.IsPresent &&
                            more.fitsIn(clampedToZero(state.freeOn(worker))) &&
                            (worker.Reserved + more).fitsIn(worker.Capacity);
  if (!fitsOnWorker || !(team.Reserved + more).fitsIn(team.Slice))
    return false;
  state.resize(request, index, request.Tasks[index].Reserved + more);
  return true;
}

bool isMemoryOvercommitted(const WorkerState &worker) {
  return (worker.Reserved + worker.Excess).MemoryMb > worker.Capacity.MemoryMb;
}

void setExcess(PlannerState &state, TaskState &task, const Resources &excess) {
  state.Workers[task.Worker].Excess += excess - task.Excess;
  task.Excess = excess;
}

bool canStop(const RequestState &request) {
  return request.Work.Entry.CanCheckpoint || request.Work.Entry.IsIdempotent;
}

// Sort key for the choice of tasks to stop: tasks that may be repeated first;
// among these services last, tasks with checkpoints first, then the newest.
auto stopOrder(const TaskRef &ref) {
  const catalogue::Entry &entry = ref.Request->Work.Entry;
  const TaskState &task = ref.Request->Tasks[ref.Index];
  const bool isRepeatable = entry.CanCheckpoint || entry.IsIdempotent;
  return std::tuple(!isRepeatable, !ref.Request->runsToCompletion(),
                    !entry.CanCheckpoint, -task.Since.millis(),
                    ref.Request->Seq, ref.Index);
}

// Stops tasks until nothing is in surplus. The surplus is computed again after
// each stop, as stopping one task stops its whole gang. Tasks that would free
// none of the missing resources are skipped.
void stopSurplus(PlannerState &state, std::vector<TaskRef> tasks,
                 const std::function<Resources()> &surplus, StopReason why,
                 std::vector<Action> &actions) {
  std::ranges::sort(tasks, {}, stopOrder);
  for (const TaskRef &ref : tasks) {
    const Resources missing = clampedToZero(surplus());
    if (missing == Resources{})
      return;
    const TaskState &task = ref.Request->Tasks[ref.Index];
    if (!task.IsStopping && minOf(task.Reserved, missing) != Resources{})
      evict(state, ref, why, actions);
  }
}

std::vector<TaskRef> tasksOf(const PlannerState &state, const TeamState &team) {
  std::vector<TaskRef> tasks;
  for (const WorkerState &worker : state.Workers)
    std::ranges::copy_if(
        worker.Tasks, std::back_inserter(tasks),
        [&team](const TaskRef &ref) { return ref.Request->Team == &team; });
  return tasks;
}

void reclaimFromTeam(PlannerState &state, const TeamState &team,
                     std::vector<Action> &actions) {
  const auto surplus = [&team] {
    return team.Reserved - team.Stopping - team.Slice;
  };
  if (!surplus().fitsIn(Resources{}))
    stopSurplus(state, tasksOf(state, team), surplus, StopReason::OverSlice,
                actions);
}

// Stops the tasks on a leaving worker that lose no work by it: services, which
// would never end by themselves, and tasks with checkpoints.
void drainLeavingWorker(PlannerState &state, const WorkerState &worker,
                        std::vector<Action> &actions) {
  const std::vector<TaskRef> tasks = worker.Tasks;
  for (const TaskRef &ref : tasks)
    if (ref.Request->Work.Entry.CanCheckpoint ||
        (!ref.Request->runsToCompletion() && canStop(*ref.Request)))
      evict(state, ref, StopReason::WorkerShrunk, actions);
}

void reclaimFromWorker(PlannerState &state, uint32_t slot,
                       std::vector<Action> &actions) {
  const WorkerState &worker = state.Workers[slot];
  if (!worker.IsPresent)
    return;
  if (worker.IsLeaving)
    drainLeavingWorker(state, worker, actions);
  const auto surplus = [&worker] {
    return worker.Reserved - worker.Stopping - worker.Capacity;
  };
  stopSurplus(state, worker.Tasks, surplus, StopReason::WorkerShrunk, actions);
}

// Handles a task that uses more than its reservation.
void handleOveruse(PlannerState &state, const TaskId &id,
                   std::vector<Action> &actions) {
  TaskState *task = state.findTask(id);
  if (!task || task->Stage != TaskStage::Placed || task->IsStopping ||
      task->Excess == Resources{})
    return;
  RequestState &request = *state.findRequest(id.Request);
  const WorkerState &worker = state.Workers[task->Worker];
  if (growReservation(state, request, id.Index, task->Excess)) {
    setExcess(state, *task, Resources{});
    actions.emplace_back(ThrottleTask{id, task->Reserved});
  } else if (request.Work.Entry.CanThrottle && !task->IsThrottled) {
    task->IsThrottled = true;
    actions.emplace_back(ThrottleTask{id, task->Reserved});
  } else if (task->Excess.MemoryMb > 0 && isMemoryOvercommitted(worker) &&
             canStop(request)) {
    evict(state, {&request, id.Index}, StopReason::Overuse, actions);
  }
}

} // namespace

void applyUsage(PlannerState &state, RequestState &request, uint32_t index,
                const Resources &measured) {
  if (measured == Resources{})
    return;
  updatePeak(*request.Entry, measured);
  TaskState &task = request.Tasks[index];
  Resources excess = clampedToZero(measured - task.Reserved);
  excess.Accelerators = 0;
  setExcess(state, task, excess);
  if (excess != Resources{})
    state.OverusingTasks.push_back({request.Work.Request, index});
}

void recordOutcome(PlannerState &state, RequestState &request, uint32_t index,
                   EndKind kind, Instant now) {
  TaskState &task = request.Tasks[index];
  const uint32_t slot = task.Worker;
  WorkerState &worker = state.Workers[slot];
  EntryHistory &entry = request.Entry->History;
  if (kind == EndKind::Refused)
    task.FailedOn = slot;
  if (kind == EndKind::Finished) {
    updateRunTime(*request.Entry, now - task.Since);
    recordSuccess(worker.History, entry, slot, now);
  }
  if (kind != EndKind::Failed)
    return;
  task.FailedOn = slot;
  ++task.Failures;
  const bool shouldQuarantine = recordFailure(worker.History, entry, slot, now);
  const std::size_t limit =
      std::max<std::size_t>(1, state.Workers.size() / WorkersPerQuarantine);
  if (!shouldQuarantine || state.Quarantined.size() >= limit)
    return;
  quarantine(worker.History,
             {state.Config.QuarantineMin, state.Config.QuarantineMax}, now);
  state.Quarantined.emplace(worker.History.QuarantinedUntil, slot);
  ++state.Counters.Quarantines;
}

void endQuarantines(PlannerState &state, Instant now) {
  while (!state.Quarantined.empty() &&
         state.Quarantined.begin()->first <= now) {
    const uint32_t slot = state.Quarantined.begin()->second;
    state.Quarantined.erase(state.Quarantined.begin());
    state.Workers[slot].History.Health = WorkerHealth::Probation;
    state.refresh(slot);
  }
}

void reclaimSurplus(PlannerState &state, std::vector<Action> &actions) {
  const std::vector<TeamState *> teams = std::move(state.TeamsOverSlice);
  state.TeamsOverSlice.clear();
  for (const TeamState *team : teams)
    reclaimFromTeam(state, *team, actions);
  const std::vector<uint32_t> slots = std::move(state.ShrunkWorkers);
  state.ShrunkWorkers.clear();
  for (uint32_t slot : slots)
    reclaimFromWorker(state, slot, actions);
  const std::vector<TaskId> tasks = std::move(state.OverusingTasks);
  state.OverusingTasks.clear();
  for (const TaskId &id : tasks)
    handleOveruse(state, id, actions);
}

void preemptInSlice(PlannerState &state, const RequestState &claimant,
                    const Resources &need, Instant now,
                    std::vector<Action> &actions) {
  const TeamState &team = *claimant.Team;
  const auto surplus = [&team, &need] {
    return team.Reserved - team.Stopping + need - team.Slice;
  };
  if (surplus().fitsIn(Resources{}))
    return;
  std::vector<TaskRef> tasks = tasksOf(state, team);
  std::erase_if(tasks, [&](const TaskRef &ref) {
    return !mayEvict(state, claimant, ref, now);
  });
  const Resources freed =
      std::accumulate(tasks.begin(), tasks.end(), Resources{},
                      [](const Resources &sum, const TaskRef &ref) {
                        return sum + ref.Request->Tasks[ref.Index].Reserved;
                      });
  if (surplus().fitsIn(freed))
    stopSurplus(state, std::move(tasks), surplus, StopReason::Urgent, actions);
}

} // namespace jujube::placement::internal
