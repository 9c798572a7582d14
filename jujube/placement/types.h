// The planner's input and output types.
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
  // Seed of the random numbers that spread searches over the workers.
  uint64_t Seed = 1;
  // plan() offers no more tasks once it has this many actions.
  uint32_t MaxActions = 512;
  // Most workers that are scored for one task.
  uint32_t MaxCandidates = 64;
  // Work that has waited this long is aged: capacity may be reserved for it,
  // and later work of its team can't take the capacity that it waits for.
  Duration AgingLimit = Duration::seconds(30);
  // Time for workers to announce themselves before a request can be rejected as
  // impossible.
  Duration SettleTime = Duration::seconds(5);
  // How long a lost worker still counts towards the capacity of the zone when
  // requests are checked for being impossible.
  Duration ForgetWorkerAfter = Duration::minutes(10);
  // First and longest quarantine of a worker.
  Duration QuarantineMin = Duration::seconds(30);
  Duration QuarantineMax = Duration::minutes(30);
  // First and longest delay before a failed task is placed again.
  Duration BackoffMin = Duration::millis(500);
  Duration BackoffMax = Duration::minutes(2);
};

// Accepted work with tasks that are not placed yet.
struct PendingRequest {
  fate::Submission Work;
  // An instant on the planner's time line.
  Instant AcceptedAt;
  // Indices of the tasks that still have to be placed.
  std::vector<uint32_t> Tasks;
  // True if a task of the request may have run; then it can't be rejected any
  // more.
  bool HasRun = false;
};

// An offered or running attempt.
struct Placed {
  TaskId Task;
  WorkerId Worker;
  Resources Reserved;
  Instant Since;
  // True if the attempt has been told to stop.
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
  // Preempted for urgent work, or for a service that has to be restarted.
  Urgent,
  // Preempted for a team below its fair share.
  FairShare,
  // The team's slice of its ceiling became smaller.
  OverSlice,
  // The worker is leaving or has less capacity than is reserved on it.
  WorkerShrunk,
  // The task exceeds its reservation and its worker's memory is overcommitted.
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

// Offers the task to the worker. Its resources are reserved already.
struct Offer {
  TaskId Task;
  WorkerId Worker;
  Resources Reserved;
  bool operator==(const Offer &) const = default;
};
// Stops the task. Its resources stay reserved until attemptEnded() is called.
struct StopTask {
  TaskId Task;
  StopReason Why = StopReason::Cancelled;
  bool operator==(const StopTask &) const = default;
};
// Has the task save its progress and stop. The caller then queues the task
// again with requeue().
struct CheckpointTask {
  TaskId Task;
  StopReason Why = StopReason::FairShare;
  bool operator==(const CheckpointTask &) const = default;
};
// Changes the resources that a running task may use. The reservation is updated
// already.
struct ThrottleTask {
  TaskId Task;
  Resources Grant;
  bool operator==(const ThrottleTask &) const = default;
};
// The request is rejected: it is impossible, or its deadline has passed.
// Requests with placed tasks, or with tasks that may have run, are never
// rejected.
struct RejectRequest {
  RequestId Request;
  Error Why;
  bool operator==(const RejectRequest &) const = default;
};

using Action =
    std::variant<Offer, StopTask, CheckpointTask, ThrottleTask, RejectRequest>;

// Current totals of the zone.
struct PlannerStatus {
  uint32_t Workers = 0;
  uint32_t QuarantinedWorkers = 0;
  uint64_t QueuedTasks = 0;
  uint64_t PlacedTasks = 0;
  Resources Held;
  Resources Reserved;
};

// Counts since the planner was created.
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
