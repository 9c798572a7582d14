// Types for requests, their tasks and attempts, and the messages between
// workers and a zone's leader.
#ifndef JUJUBE_FATE_TYPES_H_
#define JUJUBE_FATE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/catalogue/types.h"

namespace jujube::fate {

// State of a request or of one of its tasks.
enum class FateState {
  // The request is replicated but not queued yet.
  Accepted,
  Queued,
  // An offer was sent to a worker or runner, which has not reported a start
  // yet.
  Offered,
  Running,
  Finished,
  Failed,
  Cancelled,
  // The work has certainly not run.
  NotRun,
  // An offer was sent and its outcome can't be determined yet.
  Unresolved,
};

inline constexpr NameTable<FateState, 9> FateStateNames = {{
    {FateState::Accepted, "accepted"},
    {FateState::Queued, "queued"},
    {FateState::Offered, "offered"},
    {FateState::Running, "running"},
    {FateState::Finished, "finished"},
    {FateState::Failed, "failed"},
    {FateState::Cancelled, "cancelled"},
    {FateState::NotRun, "not_run"},
    {FateState::Unresolved, "unresolved"},
}};
static_assert(isComplete(FateStateNames));

// Returns true for final states, which no later event changes.
constexpr bool isTerminal(FateState state) {
  return state == FateState::Finished || state == FateState::Failed ||
         state == FateState::Cancelled || state == FateState::NotRun;
}

// A request as submitted by a caller, with the catalogue entry as of the
// acceptance of the request.
struct Submission {
  RequestId Request;
  // The team whose key authenticated the request; for an open entry, the
  // entry's owner.
  TeamId Team;
  catalogue::Entry Entry;
  // Passed unchanged to every task.
  std::string Payload;
  uint32_t Tasks = 1;
  // Time after acceptance within which the tasks have to start; zero for no
  // limit.
  Duration StartWithin;
  // Digest of the request body. Distinguishes a resend from a different request
  // with the same id.
  std::string BodyDigest;

  bool operator==(const Submission &) const = default;
};

// The state of one task of a request, as reported to callers.
struct TaskView {
  uint32_t Index = 0;
  FateState State = FateState::Accepted;
  uint32_t Attempts = 0;
  WorkerId Worker;
  // The complete answer of a finished task.
  std::string Answer;
  // For a task that has not finished: the last recorded reason, for example why
  // it failed or did not run.
  std::string Reason;

  bool operator==(const TaskView &) const = default;
};

// The state of a request, as reported to callers. Instants are wall-clock times
// of the host that made the respective decision.
struct FateView {
  RequestId Request;
  TeamId Team;
  EntryId Entry;
  FateState State = FateState::Accepted;
  std::vector<TaskView> Tasks;
  Instant AcceptedAt;
  // When the last task started; Instant::never() until every task has started.
  Instant StartedAt = Instant::never();
  Instant EndedAt = Instant::never();

  bool operator==(const FateView &) const = default;
};

// A worker's description of itself.
struct WorkerAnnouncement {
  WorkerId Worker;
  // Increases with every restart of the worker.
  Incarnation WorkerIncarnation;
  RackId Rack;
  // Total resources of the worker.
  Resources Capacity;
  // True once the worker accepts no new tasks.
  bool IsLeaving = false;

  bool operator==(const WorkerAnnouncement &) const = default;
};

// Phase of an attempt as reported by its worker.
enum class TaskPhase {
  Started,
  Running,
  Checkpointed,
  Finished,
  Failed,
  // Stopped on request or because its lease expired.
  Stopped,
  // Not started: the token was stale, resources were insufficient, or the
  // attempt had already been stopped.
  Refused,
};

inline constexpr NameTable<TaskPhase, 7> TaskPhaseNames = {{
    {TaskPhase::Started, "started"},
    {TaskPhase::Running, "running"},
    {TaskPhase::Checkpointed, "checkpointed"},
    {TaskPhase::Finished, "finished"},
    {TaskPhase::Failed, "failed"},
    {TaskPhase::Stopped, "stopped"},
    {TaskPhase::Refused, "refused"},
}};
static_assert(isComplete(TaskPhaseNames));

// A worker's report about one attempt. The worker repeats the report of an
// ended attempt until an Acknowledge directive arrives.
struct TaskReport {
  TaskId Task;
  AttemptToken Token;
  TaskPhase Phase = TaskPhase::Started;
  // Measured usage, which may be some seconds old; zero if unknown.
  Resources Usage;
  // Answer of a finished task; otherwise the reason.
  std::string Text;

  bool operator==(const TaskReport &) const = default;
};

// Kinds of instructions from the zone's leader to a worker.
enum class DirectiveKind { Start, Stop, Checkpoint, Throttle, Acknowledge };

inline constexpr NameTable<DirectiveKind, 5> DirectiveKindNames = {{
    {DirectiveKind::Start, "start"},
    {DirectiveKind::Stop, "stop"},
    {DirectiveKind::Checkpoint, "checkpoint"},
    {DirectiveKind::Throttle, "throttle"},
    {DirectiveKind::Acknowledge, "acknowledge"},
}};
static_assert(isComplete(DirectiveKindNames));

// An instruction to a worker about one attempt. A directive may arrive twice;
// the attempt token makes it idempotent.
struct Directive {
  DirectiveKind Kind = DirectiveKind::Start;
  TaskId Task;
  AttemptToken Token;
  EntryId Entry;
  // The resources that the task may use; set for Start and, as the new grant,
  // for Throttle.
  Resources Grant;
  std::string Payload;

  bool operator==(const Directive &) const = default;
};

// Digest of a set of running attempts; see attempt_digest.h.
struct AttemptDigest {
  uint32_t Count = 0;
  // Below 2^53, so that every JSON parser represents it exactly.
  uint64_t Checksum = 0;

  bool operator==(const AttemptDigest &) const = default;
};

// A worker's periodic message to its zone's leader.
struct WorkerSync {
  WorkerAnnouncement Announcement;
  std::vector<TaskReport> Reports;
  // Digest of the running attempts that Reports leaves out. Absent in a sync
  // that only carries new events, and from workers that always report all
  // attempts.
  std::optional<AttemptDigest> Unreported;

  bool operator==(const WorkerSync &) const = default;
};

// The attempts that the worker's next sync has to report.
enum class SyncScope {
  // Ended attempts, and running attempts whose phase or usage changed.
  Changes,
  // All attempts. Requested when the leader has no full report of the worker's
  // attempts, or its record differs from the worker's.
  Full,
};

inline constexpr NameTable<SyncScope, 2> SyncScopeNames = {{
    {SyncScope::Changes, "changes"},
    {SyncScope::Full, "full"},
}};
static_assert(isComplete(SyncScopeNames));

// The answer to a WorkerSync. It renews the leases of all tasks of the worker:
// they expire `Lease` after the worker sent the sync.
struct SyncReply {
  Term LeaderTerm;
  Duration Lease;
  std::vector<Directive> Directives;
  SyncScope NextSync = SyncScope::Changes;

  bool operator==(const SyncReply &) const = default;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_TYPES_H_
