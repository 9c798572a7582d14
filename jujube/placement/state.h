// The planner's state: teams, entries, lanes, requests, workers and racks.
//
// Internal to placement. The parts of the planner (queue, task placement, lane
// scheduling, preemption, reservation, reclamation) share one PlannerState,
// which the Planner owns.
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

// Slot of a task that is on no worker.
inline constexpr uint32_t NoWorker = UINT32_MAX;

// Position in a lane: the policy's order key, then the order of arrival.
struct OrderKey {
  int64_t Key = 0;
  uint64_t Seq = 0;
  auto operator<=>(const OrderKey &) const = default;
};

// In plan number `Plan`, blocks a team's work that comes after `Order`, except
// urgent work.
struct PriorityClaim {
  uint64_t Plan = 0;
  OrderKey Order;
};

// A team: its limits, its resources in each state, and its claims.
struct TeamState {
  TeamId Id;
  uint32_t Share = 1;
  bool IsConfigured = false;
  Resources Ceiling;
  bool HasSlice = false;
  Resources Slice;
  Resources Reserved;
  // The portion of Reserved whose tasks have been told to stop.
  Resources Stopping;
  // Capacity on workers that is held for the team's waiting requests.
  Resources Held;
  Resources Queued;
  uint64_t QueuedTasks = 0;
  // Set for an aged request that waits for capacity in the slice, and for an
  // aged gang that waits for capacity in the team's fair share.
  PriorityClaim SlicePriority;
  PriorityClaim FairSharePriority;
  std::vector<LaneState *> Lanes;
  // Incremented by each placement, as placements change the ranks of the team's
  // lanes.
  uint64_t Version = 0;
};

// Learned size, run time and failures of a catalogue entry.
struct EntryState {
  EntryId Id;
  uint32_t Placed = 0;
  Resources Peak;
  uint64_t Samples = 0;
  // Moving average of the run time of finished tasks; zero if none has
  // finished.
  Duration Run;
  EntryHistory History;
};

// The queue of one team's entry at one priority.
struct LaneState {
  TeamState *Team = nullptr;
  EntryState *Entry = nullptr;
  catalogue::Urgency Priority = catalogue::Urgency::Normal;
  absl::btree_map<OrderKey, RequestState *> Queue;
  // The last plan in which the head of the queue could not be placed.
  uint64_t BlockedPlan = 0;
  // When preemption or a reservation was last tried for the lane.
  Instant PreemptionTriedAt = Instant::fromMillis(INT64_MIN / 4);
};

enum class TaskStage {
  // Not known to the planner yet.
  Absent,
  // Waits for the end of its backoff.
  Delayed,
  Queued,
  // Offered or running; has a reservation.
  Placed,
  // Its last attempt has ended and it is not queued again.
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

// The stage of a task and, while it is placed, its attempt.
struct TaskState {
  TaskStage Stage = TaskStage::Absent;
  bool IsStopping = false;
  // True if the task has been told to stay within its reservation.
  bool IsThrottled = false;
  uint32_t Worker = NoWorker;
  // The worker of the last attempt that failed or was refused.
  uint32_t FailedOn = NoWorker;
  uint32_t Failures = 0;
  Resources Reserved;
  // Measured use in excess of the reservation.
  Resources Excess;
  // Placed: start of the attempt. Delayed: end of the backoff.
  Instant Since;
};

// A task of a known request; valid while the request is.
struct TaskRef {
  RequestState *Request = nullptr;
  uint32_t Index = 0;
  bool operator==(const TaskRef &) const = default;
};

// Capacity on one worker that is held for one request.
struct Hold {
  uint32_t Slot = NoWorker;
  Resources Amount;
  Instant Until;
};

// A request and the stages of its tasks.
struct RequestState {
  // The submission without its payload and digest.
  fate::Submission Work;
  Instant AcceptedAt;
  uint64_t Seq = 0;
  TeamState *Team = nullptr;
  EntryState *Entry = nullptr;
  LaneState *Lane = nullptr;
  OrderKey Order;
  std::vector<TaskState> Tasks;
  // Indices of the queued tasks, highest first.
  std::vector<uint32_t> Queued;
  std::vector<Hold> Holds;
  uint32_t Delayed = 0;
  uint32_t Placed = 0;
  // Placed tasks that have been told to stop.
  uint32_t Stopping = 0;
  uint32_t Done = 0;
  bool IsCancelled = false;
  // The last search for workers that was unlikely to succeed.
  Instant SearchedAt = Instant::fromMillis(INT64_MIN / 4);
  // The last plan that offered a task of this request.
  uint64_t OfferedPlan = 0;
  // True once a task of this request may have run.
  bool HasRun = false;
  // When the planner last checked whether the zone could ever run the request.
  Instant CheckedAt;

  bool isGang() const { return Work.Entry.Class == catalogue::WorkClass::Gang; }
  bool isUrgent() const {
    return Work.Entry.Priority == catalogue::Urgency::Urgent;
  }
  // True for urgent work and for services that have to be restarted.
  bool isTreatedAsUrgent() const {
    return isUrgent() || (!runsToCompletion() && HasRun);
  }
  // True for classes whose tasks end by themselves.
  bool runsToCompletion() const {
    return Work.Entry.Class != catalogue::WorkClass::Service;
  }
  // True if every task is queued, placed or finished and none is stopping: a
  // gang can start only then.
  bool hasAllTasks() const {
    return Stopping == 0 && Queued.size() + Placed + Done == Tasks.size();
  }
};

// A worker, its tasks and the sums of their resources.
struct WorkerState {
  WorkerId Id;
  Incarnation WorkerIncarnation;
  uint32_t Rack = 0;
  Resources Capacity;
  Resources Reserved;
  // The portion of Reserved that belongs to services and urgent work.
  Resources Pinned;
  // The portion of Reserved that some policy might preempt.
  Resources Evictable;
  // The portion of Reserved whose tasks have been told to stop.
  Resources Stopping;
  // Capacity held for waiting requests.
  Resources Held;
  Resources Excess;
  // The free capacity that FreeCapacity and the rack's sum currently include
  // for this worker.
  Resources IndexedFree;
  bool IsPresent = false;
  bool IsLeaving = false;
  Instant LostAt;
  std::vector<TaskRef> Tasks;
  WorkerHistory History;
};

// The workers of a rack.
struct RackState {
  std::vector<uint32_t> Slots;
  // Sum of the free capacity of the rack's workers.
  Resources Free;
};

// All state of one planner, with the operations that keep its sums and indexes
// consistent.
struct PlannerState {
  PlannerState(const Options &options, PlacementHooks hooks);

  // Lookup. team(), entry(), findOrAddWorker() and lane() add what is missing.
  TeamState &team(const TeamId &id);
  EntryState &entry(const EntryId &id);
  uint32_t findOrAddWorker(const WorkerId &id);
  LaneState &lane(const RequestState &request);
  RequestState *findRequest(const RequestId &id);
  TaskState *findTask(const TaskId &id);

  // True if the worker may get new tasks.
  bool isUsable(const WorkerState &worker) const;
  // Capacity that is neither reserved nor held; may be negative.
  Resources freeOn(const WorkerState &worker) const;
  // The free capacity once all stopping tasks have ended.
  Resources freeAfterStops(const WorkerState &worker) const {
    return freeOn(worker) + worker.Stopping;
  }
  // Updates indexes and sums after a change of the worker.
  void refresh(uint32_t slot);

  // Give a task a reservation on a worker, and release the reservation. Both
  // update the task's stage and all sums.
  void reserve(RequestState &request, uint32_t index, uint32_t slot,
               const Resources &size, Instant now);
  void release(RequestState &request, uint32_t index);
  // Changes the reservation of a placed task.
  void resize(RequestState &request, uint32_t index, const Resources &size);
  void markStopping(RequestState &request, uint32_t index);

  void hold(RequestState &request, const Hold &hold);
  void dropHolds(RequestState &request);

  // The resources to reserve for a task of the request.
  Resources sizeOf(const RequestState &request) const;
  Duration expectedRun(const RequestState &request) const;
  // Dominant share of `amount` in the zone's total capacity.
  double shareOf(const Resources &amount) const;
  // The team's fair dominant share, by weighted max-min fairness: all teams
  // with work get capacity in proportion to their weights, and no team gets
  // more than it wants. At most 1.
  double fairShare(const TeamState &team) const;
  // True if `more` fits in the team's fair share beside what the team has
  // reserved and held. A need above half of the fair share counts as half of
  // it.
  bool isWithinFairShare(const TeamState &team, const Resources &more) const;
  // Updates the result of fairShare(); each plan with queued work calls it.
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
  // Free capacity plus reservations that could be stopped.
  CapacityIndex EvictableCapacity;
  // Full capacity of the workers, including recently lost workers.
  CapacityIndex WorkerCapacity;
  absl::btree_set<uint32_t> LostWorkers;
  // Quarantined workers, ordered by the end of their quarantine.
  absl::btree_set<std::pair<Instant, uint32_t>> Quarantined;
  Resources TotalCapacity;
  Resources TotalReserved;
  Resources TotalHeld;

  // Delayed tasks by the end of their backoff, then by request and index.
  absl::btree_map<std::tuple<Instant, uint64_t, uint32_t>, RequestState *>
      DelayedTasks;
  absl::btree_map<std::pair<Instant, uint64_t>, RequestState *> Deadlines;
  // Keyed by order of arrival.
  absl::btree_map<uint64_t, RequestState *> RequestsWithHolds;
  // Requests that still have to be checked for being impossible.
  std::vector<RequestId> UncheckedRequests;
  // Actions caused by events since the last plan; the next plan returns them.
  std::vector<Action> PendingActions;
  std::vector<TeamState *> TeamsOverSlice;
  std::vector<uint32_t> ShrunkWorkers;
  std::vector<TaskId> OverusingTasks;

  // Sizes that fit on no worker; entries are dropped when a worker gains enough
  // capacity.
  std::vector<Resources> UnplaceableSizes;
  // Fair dominant share per unit of weight.
  double FairSharePerWeight = 1;
  uint64_t NextSeq = 1;
  uint64_t PlanNumber = 0;
  uint64_t QueuedTasks = 0;
  uint64_t PlacedTasks = 0;
  // When the first worker announced itself; never() before.
  Instant FirstWorkerAt = Instant::never();
  bool WasCutShort = false;
  bool IsUrgentBlocked = false;
  // The last plan for which accelerators count as scarce because work that asks
  // for them is blocked: work of any team, and work that fits in its team's
  // fair share.
  uint64_t AcceleratorShortageUntilPlan = 0;
  uint64_t AcceleratorsDueUntilPlan = 0;
  // Lanes, other than urgent lanes, for which this plan has tried preemption.
  uint32_t LanesPreemptedFor = 0;
  PlannerCounters Counters;
};

// The number of tasks of size `ask` that fit in `capacity`, at most `limit`.
uint32_t countFitting(const Resources &capacity, const Resources &ask,
                      uint32_t limit);
// Replaces negative amounts by zero.
Resources clampedToZero(const Resources &r);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_STATE_H_
