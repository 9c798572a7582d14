// The planner's tables: teams, entries, lanes, requests, workers and racks.
//
// Internal. The parts of the planner (queue, placing, making room, relief) work
// on one PlannerState.
#ifndef JUJUBE_PLACEMENT_STATE_H_
#define JUJUBE_PLACEMENT_STATE_H_

#include <cstdint>
#include <memory>
#include <random>
#include <tuple>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/fate/types.h"
#include "jujube/placement/capacity_index.h"
#include "jujube/placement/failure_attribution.h"
#include "jujube/placement/policy.h"
#include "jujube/placement/types.h"

namespace jujube::placement::internal {

struct LaneState;
struct RequestState;

inline constexpr uint32_t NoWorker = UINT32_MAX;

// Position in a lane: the policy's key, then the order of arrival.
struct OrderKey {
  int64_t Key = 0;
  uint64_t Seq = 0;
  auto operator<=>(const OrderKey &) const = default;
};

// Keeps work of a team that is not urgent and stands after `Order` from being
// placed in plan number `Plan`.
struct PriorityClaim {
  uint64_t Plan = 0;
  OrderKey Order;
};

struct TeamState {
  TeamId Id;
  uint32_t Share = 1;
  bool IsConfigured = false;
  Resources Ceiling;
  bool HasSlice = false;
  Resources Slice;
  Resources Reserved;
  // Part of Reserved whose tasks have been told to stop.
  Resources Stopping;
  // Room on workers that is kept for the team's waiting work.
  Resources Held;
  Resources Queued;
  uint64_t QueuedTasks = 0;
  // Of an aged request that waits for the rest of the slice, and of an aged
  // gang that waits until the team's part has room for it.
  PriorityClaim SlicePriority;
  PriorityClaim FairSharePriority;
  std::vector<LaneState *> Lanes;
  // Counts the placements, which change the ranks of its lanes.
  uint64_t Version = 0;
};

struct EntryState {
  EntryId Id;
  uint32_t Placed = 0;
  Resources Peak;
  uint64_t Samples = 0;
  // Moving average of the run time of finished tasks; zero if unknown.
  Duration Run;
  EntryHistory History;
};

// The queue of one team's entry at one priority.
struct LaneState {
  TeamState *Team = nullptr;
  EntryState *Entry = nullptr;
  catalogue::Urgency Priority = catalogue::Urgency::Normal;
  absl::btree_map<OrderKey, RequestState *> Queue;
  // The last plan in which its head could not be placed.
  uint64_t BlockedPlan = 0;
  // When room was last made for it.
  Instant LastPreemptionPass = Instant::atMillis(INT64_MIN / 4);
};

enum class TaskStage {
  // Not handed to the planner.
  Absent,
  // Waits for its back-off.
  Delayed,
  Queued,
  // Offered or running; holds a reservation.
  Placed,
  // Its last attempt is over and it is not queued again.
  Ended,
  Done,
};

inline constexpr NameTable<TaskStage, 6> TaskStageNames = {{
    {TaskStage::Absent, "absent"},
    {TaskStage::Delayed, "delayed"},
    {TaskStage::Queued, "queued"},
    {TaskStage::Placed, "placed"},
    {TaskStage::Ended, "ended"},
    {TaskStage::Done, "done"},
}};
static_assert(isComplete(TaskStageNames));

struct TaskState {
  TaskStage Stage = TaskStage::Absent;
  bool IsStopping = false;
  // Told to keep to its reservation.
  bool IsThrottled = false;
  uint32_t Worker = NoWorker;
  // The worker of the last attempt that failed.
  uint32_t FailedOn = NoWorker;
  uint32_t Failures = 0;
  Resources Reserved;
  // Measured use above the reservation.
  Resources Excess;
  // Placed: start of the attempt. Delayed: end of the back-off.
  Instant Since;
};

struct TaskRef {
  RequestState *Request = nullptr;
  uint32_t Index = 0;
  bool operator==(const TaskRef &) const = default;
};

// Room on a worker that is kept for one request.
struct Hold {
  uint32_t Slot = NoWorker;
  Resources Room;
  Instant Until;
};

struct RequestState {
  // Without payload and digest.
  fate::Submission Work;
  Instant AcceptedAt;
  uint64_t Seq = 0;
  TeamState *Team = nullptr;
  EntryState *Entry = nullptr;
  LaneState *Lane = nullptr;
  OrderKey Order;
  std::vector<TaskState> Tasks;
  // Indices of queued tasks, highest first.
  std::vector<uint32_t> Queued;
  std::vector<Hold> Holds;
  uint32_t Delayed = 0;
  uint32_t Placed = 0;
  // Placed tasks that have been told to stop.
  uint32_t Stopping = 0;
  uint32_t Done = 0;
  bool IsCancelled = false;
  // When room was last searched for it, if that was likely in vain.
  Instant SearchedAt = Instant::atMillis(INT64_MIN / 4);
  // The last plan that offered a task of it.
  uint64_t OfferedPlan = 0;
  // True once a task of it may have run.
  bool HasRun = false;
  // When it was last checked whether the zone could ever hold it.
  Instant CheckedAt;

  bool isGang() const { return Work.Entry.Class == catalogue::WorkClass::Gang; }
  bool isUrgent() const {
    return Work.Entry.Priority == catalogue::Urgency::Urgent;
  }
  // True for urgent work and for services that have to be started again.
  bool isTreatedAsUrgent() const {
    return isUrgent() || (!runsToCompletion() && HasRun);
  }
  // True for classes whose tasks run to an end.
  bool runsToCompletion() const {
    return Work.Entry.Class != catalogue::WorkClass::Service;
  }
  // True if all tasks of a gang are queued, running or done.
  bool hasAllTasks() const {
    return Stopping == 0 && Queued.size() + Placed + Done == Tasks.size();
  }
};

struct WorkerState {
  WorkerId Id;
  Incarnation Start;
  uint32_t Rack = 0;
  Resources Capacity;
  Resources Reserved;
  // Part of Reserved that belongs to services and urgent work.
  Resources Pinned;
  // Part of Reserved that some policy might stop for other work.
  Resources Evictable;
  // Part of Reserved that is about to become free.
  Resources Stopping;
  // Kept for waiting requests.
  Resources Held;
  Resources Excess;
  // What the index and the rack's sum have for this worker.
  Resources IndexedFree;
  bool IsPresent = false;
  bool IsLeaving = false;
  Instant LostAt;
  std::vector<TaskRef> Tasks;
  WorkerHistory History;
};

struct RackState {
  std::vector<uint32_t> Slots;
  // Sum of the free room of its workers.
  Resources Free;
};

struct PlannerState {
  PlannerState(const Options &options, PlacementHooks hooks);

  // Lookup; the first three create what is not there yet.
  TeamState &team(const TeamId &id);
  EntryState &entry(const EntryId &id);
  uint32_t findOrAddWorker(const WorkerId &id);
  LaneState &lane(const RequestState &request);
  RequestState *findRequest(const RequestId &id);
  TaskState *findTask(const TaskId &id);

  // True if the worker may get new tasks.
  bool isUsable(const WorkerState &worker) const;
  // Room that is neither reserved nor held; may be negative.
  Resources freeOn(const WorkerState &worker) const;
  // The same once all tasks that were told to stop are gone.
  Resources freeAfterStops(const WorkerState &worker) const {
    return freeOn(worker) + worker.Stopping;
  }
  // Updates indexes and sums after a change of the worker.
  void refresh(uint32_t slot);

  // Moves a task between its stages' books.
  void reserve(RequestState &request, uint32_t index, uint32_t slot,
               const Resources &size, Instant now);
  void release(RequestState &request, uint32_t index);
  // Changes the reservation of a placed task.
  void resize(RequestState &request, uint32_t index, const Resources &size);
  void markStopping(RequestState &request, uint32_t index);

  void hold(RequestState &request, const Hold &hold);
  void dropHolds(RequestState &request);

  // What to reserve for a task of the request.
  Resources sizeOf(const RequestState &request) const;
  Duration expectedRun(const RequestState &request) const;
  // Dominant share of `part` of the zone.
  double shareOf(const Resources &part) const;
  // The dominant share that is due to the team if all teams with work get room
  // in proportion to their shares, none more than it wants; 1 at most.
  double fairShare(const TeamState &team) const;
  // True if the team's part has room for `more` beside what the team has and
  // holds. A need of more than half of the part counts as half of it.
  bool isWithinFairShare(const TeamState &team, const Resources &more) const;
  // Computes what fairShare() needs; called by each plan with work in the
  // queue.
  void computeFairShares();
  bool isAged(const RequestState &request, Instant now) const;

  Options Config;
  PlacementHooks Hooks;
  std::mt19937_64 Random;

  std::vector<std::unique_ptr<TeamState>> Teams;
  absl::flat_hash_map<TeamId, TeamState *> TeamsById;
  absl::flat_hash_map<EntryId, std::unique_ptr<EntryState>> Entries;
  std::vector<std::unique_ptr<LaneState>> Lanes;
  absl::flat_hash_map<std::tuple<TeamState *, EntryState *, catalogue::Urgency>,
                      LaneState *>
      LanesByKey;
  absl::flat_hash_map<RequestId, std::unique_ptr<RequestState>> Requests;

  std::vector<WorkerState> Workers;
  absl::flat_hash_map<WorkerId, uint32_t> SlotsById;
  std::vector<RackState> Racks;
  absl::flat_hash_map<RackId, uint32_t> RacksById;
  CapacityIndex FreeCapacity;
  // Free room and what could be stopped.
  CapacityIndex EvictableCapacity;
  // What workers hold in all, also those lost a short while ago.
  CapacityIndex WorkerCapacity;
  absl::btree_set<uint32_t> LostWorkers;
  // Quarantined workers by the end of their quarantine.
  absl::btree_set<std::pair<Instant, uint32_t>> Quarantined;
  Resources TotalCapacity;
  Resources TotalReserved;
  Resources TotalHeld;

  // Delayed tasks by the end of their back-off, then by request and index.
  absl::btree_map<std::tuple<Instant, uint64_t, uint32_t>, RequestState *>
      DelayedTasks;
  absl::btree_map<std::pair<Instant, uint64_t>, RequestState *> Deadlines;
  // Requests with holds, by order of arrival.
  absl::btree_map<uint64_t, RequestState *> RequestsWithHolds;
  // Requests that wait for the check whether they are possible.
  std::vector<RequestId> UncheckedRequests;
  // Decisions that events gave rise to, for the next plan.
  std::vector<Action> PendingActions;
  std::vector<TeamState *> TeamsOverSlice;
  std::vector<uint32_t> ShrunkWorkers;
  std::vector<TaskId> OverusingTasks;

  // Sizes that were found to fit nowhere since room last grew.
  std::vector<Resources> UnplaceableSizes;
  // Dominant share that is due for each unit of a team's share.
  double FairSharePerWeight = 1;
  uint64_t NextSeq = 1;
  uint64_t PlanNumber = 0;
  uint64_t QueuedTasks = 0;
  uint64_t PlacedTasks = 0;
  // When workers were first seen; never() before.
  Instant FirstWorkerAt = Instant::never();
  bool WasCutShort = false;
  bool IsUrgentBlocked = false;
  // Up to which plan work that asks for accelerators counts as short of room:
  // of any team, and of a team whose part has room for it.
  uint64_t AcceleratorShortageUntilPlan = 0;
  uint64_t AcceleratorsDueUntilPlan = 0;
  // Lanes for which room was made in this plan.
  uint32_t PreemptionPasses = 0;
  PlannerCounters Counters;
};

// How many tasks of size `ask` fit in `room`, at most `most`.
uint32_t countFitting(const Resources &room, const Resources &ask,
                      uint32_t most);
// Amounts below zero become zero.
Resources clampedToZero(const Resources &r);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_STATE_H_
