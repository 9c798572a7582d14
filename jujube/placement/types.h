// What goes into the planner and what it decides.
#ifndef JUJUBE_PLACEMENT_TYPES_H_
#define JUJUBE_PLACEMENT_TYPES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/fate/types.h"
#include "jujube/placement/policy.h"

namespace jujube::placement {

// Settings of one zone's planner.
struct Options {
  ZoneId Zone;
  PolicyName Policy = PolicyName::Waiting;
  // Seed of the generator that spreads the search over the workers.
  uint64_t Seed = 1;
  // One call of plan() offers no more tasks once it has this many actions.
  uint32_t MaxActions = 512;
  // Most workers that are scored for one task.
  uint32_t MaxCandidates = 64;
  // Work that has waited this long goes ahead of fair order, and a gang gets a
  // reservation.
  Duration AgingLimit = Duration::seconds(30);
  // Requests are not called impossible before workers have had this long to
  // announce themselves.
  Duration SettleTime = Duration::seconds(5);
  // A lost worker counts towards what the zone could hold for this long.
  Duration ForgetWorkerAfter = Duration::minutes(10);
  // First and longest quarantine of a worker.
  Duration QuarantineMin = Duration::seconds(30);
  Duration QuarantineMax = Duration::minutes(30);
  // First and longest wait before a failed task is placed again.
  Duration BackoffMin = Duration::millis(500);
  Duration BackoffMax = Duration::minutes(2);
};

// Work that is accepted and not yet placed.
struct PendingRequest {
  fate::Submission Work;
  // On the planner's time line.
  Instant AcceptedAt;
  // Indices of the tasks that are still to be placed.
  std::vector<uint32_t> Tasks;
  // True if a task of it may have run; it is not rejected any more.
  bool HasRun = false;
};

// One attempt that is offered or running.
struct Placed {
  TaskId Task;
  WorkerId Worker;
  Resources Reserved;
  Instant Since;
  // True if it has been told to stop.
  bool IsStopping = false;
};

// How an attempt ended.
enum class EndKind { Finished, Failed, Stopped, Refused, Lost };

inline constexpr NameTable<EndKind, 5> EndKindNames = {{
    {EndKind::Finished, "finished"},
    {EndKind::Failed, "failed"},
    {EndKind::Stopped, "stopped"},
    {EndKind::Refused, "refused"},
    {EndKind::Lost, "lost"},
}};
static_assert(isComplete(EndKindNames));

// Why the planner stops a task.
enum class StopReason {
  Cancelled,
  // For urgent work, or for a service that has to be started again.
  Urgent,
  // For a team that is under its share.
  FairShare,
  // The team's slice of its ceiling became smaller.
  OverSlice,
  // The worker is leaving or announces less than is reserved on it.
  WorkerShrunk,
  // It uses more than its worker has left.
  Overuse,
};

inline constexpr NameTable<StopReason, 6> StopReasonNames = {{
    {StopReason::Cancelled, "cancelled"},
    {StopReason::Urgent, "urgent"},
    {StopReason::FairShare, "fair_share"},
    {StopReason::OverSlice, "over_slice"},
    {StopReason::WorkerShrunk, "worker_shrunk"},
    {StopReason::Overuse, "overuse"},
}};
static_assert(isComplete(StopReasonNames));

// Offer the task to the worker. The room is reserved already.
struct Offer {
  TaskId Task;
  WorkerId Worker;
  Resources Reserved;
  bool operator==(const Offer &) const = default;
};
// Stop the task; the room is free once ended() tells so.
struct StopTask {
  TaskId Task;
  StopReason Why = StopReason::Cancelled;
  bool operator==(const StopTask &) const = default;
};
// Have the task save its progress and stop, then requeue() it.
struct CheckpointTask {
  TaskId Task;
  StopReason Why = StopReason::FairShare;
  bool operator==(const CheckpointTask &) const = default;
};
// Change what a running task may use; the reservation is changed already.
struct ThrottleTask {
  TaskId Task;
  Resources Grant;
  bool operator==(const ThrottleTask &) const = default;
};
// The request won't be placed: it is impossible, or its deadline has passed.
// Only requests none of whose tasks is placed are rejected.
struct RejectRequest {
  RequestId Request;
  Error Why;
  bool operator==(const RejectRequest &) const = default;
};

using Action =
    std::variant<Offer, StopTask, CheckpointTask, ThrottleTask, RejectRequest>;

// Counts and sums of the zone.
struct PlannerStatus {
  uint32_t Workers = 0;
  uint32_t QuarantinedWorkers = 0;
  uint64_t QueuedTasks = 0;
  uint64_t PlacedTasks = 0;
  Resources Held;
  Resources Reserved;
};

// What a planner has decided since it was created.
struct PlannerCounters {
  uint64_t Offers = 0;
  uint64_t Stops = 0;
  uint64_t Checkpoints = 0;
  uint64_t Throttles = 0;
  uint64_t Rejections = 0;
  uint64_t Quarantines = 0;
  uint64_t Reservations = 0;
};

} // namespace jujube::placement

#endif // JUJUBE_PLACEMENT_TYPES_H_
