#include "jujube/placement/relief.h"

#include <algorithm>

#include "jujube/placement/making_room.h"

namespace jujube::placement::internal {
namespace {

// A peak loses this part of its distance to each later measurement.
constexpr int64_t PeakDecay = 64;
// Weight of a new run time in the moving average: one in this many.
constexpr int64_t RunWeight = 8;
// Most workers in quarantine: one in this many. If more seem bad, the cause is
// likely shared and taking the workers away would only make it worse.
constexpr std::size_t QuarantinePart = 4;

int64_t decayed(int64_t peak, int64_t measured) {
  return std::max(measured, peak - (peak - measured) / PeakDecay);
}

void learnSize(EntryState &entry, const Resources &measured) {
  entry.Peak = {decayed(entry.Peak.MilliCpu, measured.MilliCpu),
                decayed(entry.Peak.MemoryMb, measured.MemoryMb),
                entry.Peak.Accelerators};
  ++entry.Samples;
}

void learnRun(EntryState &entry, Duration run) {
  entry.Run =
      entry.Run > Duration() ? entry.Run + (run - entry.Run) / RunWeight : run;
}

// Tries to give a task room for what it uses.
bool widen(PlannerState &state, RequestState &request, uint32_t index,
           const Resources &more) {
  const TeamState &team = *request.Team;
  const WorkerState &worker = state.Workers[request.Tasks[index].Worker];
  const bool hasRoom = worker.IsPresent &&
                       more.fitsIn(clipped(state.freeOn(worker))) &&
                       (worker.Reserved + more).fitsIn(worker.Holds);
  if (!hasRoom || !(team.Reserved + more).fitsIn(team.Slice))
    return false;
  state.resize(request, index, request.Tasks[index].Reserved + more);
  return true;
}

bool isOverused(const WorkerState &worker) {
  return (worker.Reserved + worker.Excess).MemoryMb > worker.Holds.MemoryMb;
}

void setExcess(PlannerState &state, TaskState &task, const Resources &excess) {
  state.Workers[task.Worker].Excess += excess - task.Excess;
  task.Excess = excess;
}

bool canStop(const RequestState &request) {
  return request.Work.Entry.CanCheckpoint || request.Work.Entry.IsIdempotent;
}

// Work that loses least goes first, then the newest.
auto stopOrder(const TaskRef &ref) {
  const catalogue::Entry &entry = ref.Request->Work.Entry;
  const TaskState &task = ref.Request->Tasks[ref.Index];
  return std::tuple(!entry.CanCheckpoint, !entry.IsIdempotent,
                    -task.Since.millis(), ref.Request->Seq, ref.Index);
}

// Stops tasks until `surplus` is covered. Tasks that hold nothing of what is
// missing go on.
void stopSurplus(PlannerState &state, std::vector<TaskRef> tasks,
                 Resources surplus, StopReason why,
                 std::vector<Action> &actions) {
  std::ranges::sort(tasks, {}, stopOrder);
  for (const TaskRef &ref : tasks) {
    if (surplus.fitsIn(Resources{}))
      return;
    const TaskState &task = ref.Request->Tasks[ref.Index];
    const Resources helps = minOf(task.Reserved, clipped(surplus));
    if (task.IsStopping || helps == Resources{})
      continue;
    surplus -= task.Reserved;
    evict(state, ref, why, actions);
  }
}

void relieveSlice(PlannerState &state, const TeamState &team,
                  std::vector<Action> &actions) {
  const Resources surplus = team.Reserved - team.Stopping - team.Slice;
  if (surplus.fitsIn(Resources{}))
    return;
  std::vector<TaskRef> tasks;
  for (const WorkerState &worker : state.Workers)
    std::ranges::copy_if(
        worker.Tasks, std::back_inserter(tasks),
        [&team](const TaskRef &ref) { return ref.Request->Team == &team; });
  stopSurplus(state, std::move(tasks), surplus, StopReason::OverSlice, actions);
}

// Moves away from a leaving worker what loses nothing: services, which would
// never end by themselves, and work that can save its progress.
void clearLeaving(PlannerState &state, const WorkerState &worker,
                  std::vector<Action> &actions) {
  const std::vector<TaskRef> tasks = worker.Tasks;
  for (const TaskRef &ref : tasks)
    if (ref.Request->Work.Entry.CanCheckpoint ||
        (!ref.Request->hasEnd() && canStop(*ref.Request)))
      evict(state, ref, StopReason::WorkerShrunk, actions);
}

void relieveWorker(PlannerState &state, uint32_t slot,
                   std::vector<Action> &actions) {
  const WorkerState &worker = state.Workers[slot];
  if (!worker.IsPresent)
    return;
  if (worker.IsLeaving)
    clearLeaving(state, worker, actions);
  stopSurplus(state, worker.Tasks,
              worker.Reserved - worker.Stopping - worker.Holds,
              StopReason::WorkerShrunk, actions);
}

// Deals with a task that uses more than its reservation.
void relieveOveruse(PlannerState &state, const TaskId &id,
                    std::vector<Action> &actions) {
  TaskState *task = state.findTask(id);
  if (!task || task->Stage != TaskStage::Placed || task->IsStopping ||
      task->Excess == Resources{})
    return;
  RequestState &request = *state.findRequest(id.Request);
  const WorkerState &worker = state.Workers[task->Worker];
  if (widen(state, request, id.Index, task->Excess)) {
    setExcess(state, *task, Resources{});
    actions.emplace_back(ThrottleTask{id, task->Reserved});
  } else if (request.Work.Entry.CanThrottle && !task->IsThrottled) {
    task->IsThrottled = true;
    actions.emplace_back(ThrottleTask{id, task->Reserved});
  } else if (task->Excess.MemoryMb > 0 && isOverused(worker) &&
             canStop(request)) {
    evict(state, {&request, id.Index}, StopReason::Overuse, actions);
  }
}

} // namespace

void applyUsage(PlannerState &state, RequestState &request, uint32_t index,
                const Resources &measured) {
  if (measured == Resources{})
    return;
  learnSize(*request.Entry, measured);
  TaskState &task = request.Tasks[index];
  Resources excess = clipped(measured - task.Reserved);
  excess.Accelerators = 0;
  setExcess(state, task, excess);
  if (excess != Resources{})
    state.Overusing.push_back({request.Work.Request, index});
}

void attribute(PlannerState &state, RequestState &request, uint32_t index,
               EndKind kind, Instant now) {
  TaskState &task = request.Tasks[index];
  const uint32_t slot = task.Worker;
  WorkerState &worker = state.Workers[slot];
  EntryHistory &entry = request.Entry->History;
  if (kind == EndKind::Refused)
    task.FailedOn = slot;
  if (kind == EndKind::Finished) {
    learnRun(*request.Entry, now - task.Since);
    recordSuccess(worker.History, entry, slot, now);
  }
  if (kind != EndKind::Failed)
    return;
  task.FailedOn = slot;
  ++task.Failures;
  const bool isToBlame = recordFailure(worker.History, entry, slot, now);
  const std::size_t most =
      std::max<std::size_t>(1, state.Workers.size() / QuarantinePart);
  if (!isToBlame || state.Quarantined.size() >= most)
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

void relieve(PlannerState &state, std::vector<Action> &actions) {
  const std::vector<TeamState *> teams = std::move(state.OverSlice);
  state.OverSlice.clear();
  for (const TeamState *team : teams)
    relieveSlice(state, *team, actions);
  const std::vector<uint32_t> slots = std::move(state.Shrunk);
  state.Shrunk.clear();
  for (uint32_t slot : slots)
    relieveWorker(state, slot, actions);
  const std::vector<TaskId> tasks = std::move(state.Overusing);
  state.Overusing.clear();
  for (const TaskId &id : tasks)
    relieveOveruse(state, id, actions);
}

} // namespace jujube::placement::internal
