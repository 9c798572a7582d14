#include "jujube/placement/state.h"

#include <algorithm>

namespace jujube::placement::internal {
namespace {

constexpr Resources NoCapacity = {-1, -1, -1};

bool isEvictable(const RequestState &request) {
  const catalogue::Entry &entry = request.Work.Entry;
  return request.runsToCompletion() && !request.isUrgent() &&
         (entry.CanCheckpoint || (entry.IsIdempotent && !request.isGang()));
}

bool isPinned(const RequestState &request) {
  return !request.runsToCompletion() || request.isUrgent();
}

// Adds `sign` times the task's reservation to the worker's sums.
void addToWorkerSums(WorkerState &worker, const RequestState &request,
                     const TaskState &task, int64_t sign) {
  const Resources size = task.Reserved * sign;
  worker.Reserved += size;
  if (isPinned(request))
    worker.Pinned += size;
  if (task.IsStopping)
    worker.Stopping += size;
  else if (isEvictable(request))
    worker.Evictable += size;
}

} // namespace

PlannerState::PlannerState(const Options &options, PlacementHooks hooks)
    : Config(options), Hooks(std::move(hooks)), Random(options.Seed) {}

TeamState &PlannerState::team(const TeamId &id) {
  TeamState *&found = TeamsById[id];
  if (!found) {
    Teams.push_back(std::make_unique<TeamState>());
    found = Teams.back().get();
    found->Id = id;
  }
  return *found;
}

EntryState &PlannerState::entry(const EntryId &id) {
  std::unique_ptr<EntryState> &found = Entries[id];
  if (!found) {
    found = std::make_unique<EntryState>();
    found->Id = id;
  }
  return *found;
}

uint32_t PlannerState::findOrAddWorker(const WorkerId &id) {
  const auto [it, isNew] =
      SlotsById.try_emplace(id, static_cast<uint32_t>(Workers.size()));
  if (isNew) {
    Workers.emplace_back();
    Workers.back().Id = id;
    Workers.back().IndexedFree = NoCapacity;
    FreeCapacity.set(it->second, NoCapacity);
  }
  return it->second;
}

LaneState &PlannerState::lane(const RequestState &request) {
  LaneState *&found = LanesByKey[std::tuple(request.Team, request.Entry,
                                            request.Work.Entry.Priority)];
  if (!found) {
    Lanes.push_back(std::make_unique<LaneState>());
    found = Lanes.back().get();
    found->Team = request.Team;
    found->Entry = request.Entry;
    found->Priority = request.Work.Entry.Priority;
    found->Team->Lanes.push_back(found);
  }
  return *found;
}

RequestState *PlannerState::findRequest(const RequestId &id) {
  const auto it = Requests.find(id);
  return it == Requests.end() ? nullptr : it->second.get();
}

TaskState *PlannerState::findTask(const TaskId &id) {
  RequestState *request = findRequest(id.Request);
  return request && id.Index < request->Tasks.size() ? &request->Tasks[id.Index]
                                                     : nullptr;
}

bool PlannerState::isUsable(const WorkerState &worker) const {
  if (!worker.IsPresent || worker.IsLeaving)
    return false;
  if (worker.History.Health == WorkerHealth::Quarantined)
    return false;
  if (worker.History.Health == WorkerHealth::Probation && !worker.Tasks.empty())
    return false;
  return worker.Reserved.fitsIn(worker.Capacity);
}

Resources PlannerState::freeOn(const WorkerState &worker) const {
  return worker.Capacity - worker.Reserved - worker.Held;
}

void PlannerState::refresh(uint32_t slot) {
  WorkerState &worker = Workers[slot];
  const Resources free =
      isUsable(worker) ? clampedToZero(freeOn(worker)) : NoCapacity;
  std::erase_if(UnplaceableSizes,
                [&free](const Resources &size) { return size.fitsIn(free); });
  if (!Racks.empty())
    Racks[worker.Rack].Free +=
        clampedToZero(free) - clampedToZero(worker.IndexedFree);
  worker.IndexedFree = free;
  FreeCapacity.set(slot, free);
  EvictableCapacity.set(
      slot,
      free == NoCapacity
          ? NoCapacity
          : clampedToZero(freeOn(worker) + worker.Evictable + worker.Stopping));
}

void PlannerState::reserve(RequestState &request, uint32_t index, uint32_t slot,
                           const Resources &size, Instant now) {
  TaskState &task = request.Tasks[index];
  WorkerState &worker = Workers[slot];
  task.Stage = TaskStage::Placed;
  task.IsStopping = false;
  task.IsThrottled = false;
  task.Worker = slot;
  task.Reserved = size;
  task.Excess = Resources{};
  task.Since = now;
  worker.Tasks.push_back({&request, index});
  addToWorkerSums(worker, request, task, 1);
  request.Team->Reserved += size;
  TotalReserved += size;
  ++request.Placed;
  ++request.Entry->Placed;
  ++PlacedTasks;
  refresh(slot);
}

void PlannerState::release(RequestState &request, uint32_t index) {
  TaskState &task = request.Tasks[index];
  const uint32_t slot = task.Worker;
  WorkerState &worker = Workers[slot];
  addToWorkerSums(worker, request, task, -1);
  worker.Excess -= task.Excess;
  const auto it = std::ranges::find(worker.Tasks, TaskRef{&request, index});
  *it = worker.Tasks.back();
  worker.Tasks.pop_back();
  request.Team->Reserved -= task.Reserved;
  if (task.IsStopping) {
    request.Team->Stopping -= task.Reserved;
    --request.Stopping;
  }
  TotalReserved -= task.Reserved;
  --request.Placed;
  --request.Entry->Placed;
  --PlacedTasks;
  task.Stage = TaskStage::Ended;
  task.IsStopping = false;
  task.Worker = NoWorker;
  task.Reserved = Resources{};
  refresh(slot);
}

void PlannerState::resize(RequestState &request, uint32_t index,
                          const Resources &size) {
  TaskState &task = request.Tasks[index];
  WorkerState &worker = Workers[task.Worker];
  addToWorkerSums(worker, request, task, -1);
  const Resources change = size - task.Reserved;
  task.Reserved = size;
  addToWorkerSums(worker, request, task, 1);
  request.Team->Reserved += change;
  if (task.IsStopping)
    request.Team->Stopping += change;
  TotalReserved += change;
  refresh(task.Worker);
}

void PlannerState::markStopping(RequestState &request, uint32_t index) {
  TaskState &task = request.Tasks[index];
  if (task.IsStopping)
    return;
  WorkerState &worker = Workers[task.Worker];
  addToWorkerSums(worker, request, task, -1);
  task.IsStopping = true;
  ++request.Stopping;
  addToWorkerSums(worker, request, task, 1);
  request.Team->Stopping += task.Reserved;
  refresh(task.Worker);
}

void PlannerState::hold(RequestState &request, const Hold &hold) {
  request.Holds.push_back(hold);
  request.Team->Held += hold.Amount;
  TotalHeld += hold.Amount;
  Workers[hold.Slot].Held += hold.Amount;
  RequestsWithHolds[request.Seq] = &request;
  refresh(hold.Slot);
}

void PlannerState::dropHolds(RequestState &request) {
  std::vector<Hold> holds = std::move(request.Holds);
  request.Holds.clear();
  RequestsWithHolds.erase(request.Seq);
  for (const Hold &hold : holds) {
    request.Team->Held -= hold.Amount;
    TotalHeld -= hold.Amount;
    Workers[hold.Slot].Held -= hold.Amount;
    refresh(hold.Slot);
  }
}

Resources PlannerState::sizeOf(const RequestState &request) const {
  const catalogue::Entry &entry = request.Work.Entry;
  const Resources size =
      Hooks.ReserveSize({entry.Demand, request.Entry->Peak,
                         request.Entry->Samples, entry.CanThrottle});
  if (size.fitsIn(entry.Demand))
    return size;
  // A learned size must not make a request impossible whose declared size fits.
  return WorkerCapacity.anyFits(size) ? size : entry.Demand;
}

Duration PlannerState::expectedRun(const RequestState &request) const {
  return request.Entry->Run > Duration() ? request.Entry->Run
                                         : request.Work.Entry.RunTime;
}

double PlannerState::shareOf(const Resources &amount) const {
  return dominantShare(amount, TotalCapacity);
}

double PlannerState::fairShare(const TeamState &team) const {
  return std::min(1.0, FairSharePerWeight * team.Share);
}

bool PlannerState::isWithinFairShare(const TeamState &team,
                                     const Resources &more) const {
  const double share = fairShare(team);
  return shareOf(team.Reserved + team.Held) +
             std::min(shareOf(more), share / 2) <=
         share;
}

void PlannerState::computeFairShares() {
  // Per team: the wanted dominant share per unit of weight, and the weight.
  std::vector<std::pair<double, double>> wants;
  double shares = 0;
  for (const auto &team : Teams) {
    const Resources demand = team->Reserved + team->Queued;
    if (demand == Resources{})
      continue;
    const auto share = static_cast<double>(team->Share);
    wants.emplace_back(shareOf(minOf(demand, team->Slice)) / share, share);
    shares += share;
  }
  std::ranges::sort(wants);
  double left = 1;
  FairSharePerWeight = 1;
  for (const auto &[want, share] : wants) {
    FairSharePerWeight = left / shares;
    if (want >= FairSharePerWeight)
      return;
    left -= want * share;
    shares -= share;
  }
  FairSharePerWeight = 1;
}

bool PlannerState::isAged(const RequestState &request, Instant now) const {
  return now - request.AcceptedAt >= Config.AgingLimit;
}

uint32_t countFitting(const Resources &capacity, const Resources &ask,
                      uint32_t limit) {
  if (capacity.isNegative())
    return 0;
  const auto fitting = [limit](int64_t have, int64_t need) {
    return need > 0 ? std::min<int64_t>(have / need, limit) : limit;
  };
  return static_cast<uint32_t>(
      std::min({fitting(capacity.MilliCpu, ask.MilliCpu),
                fitting(capacity.MemoryMb, ask.MemoryMb),
                fitting(capacity.Accelerators, ask.Accelerators)}));
}

Resources clampedToZero(const Resources &r) { return maxOf(r, Resources{}); }

} // namespace jujube::placement::internal
