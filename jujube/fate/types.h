// Requests, attempts, and what becomes of them.
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

// What is known of a request or of one of its tasks.
enum class FateState {
  // Replicated, not yet in the queue.
  Accepted,
  Queued,
  // An offer left for a worker or runner; whether it started is not known yet.
  Offered,
  Running,
  Finished,
  Failed,
  Cancelled,
  // Certain not to have run.
  NotRun,
  // An offer left and its outcome can't be learned yet.
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

// True for states that no event changes any more.
constexpr bool isTerminal(FateState state) {
  return state == FateState::Finished || state == FateState::Failed ||
         state == FateState::Cancelled || state == FateState::NotRun;
}

// A request as a caller submits it, with the catalogue entry as it stood when
// the request was accepted.
struct Submission {
  RequestId Request;
  // The team whose key came with it, or the entry's owner for open entries.
  TeamId Team;
  catalogue::Entry Entry;
  // Passed to every task unchanged.
  std::string Payload;
  uint32_t Tasks = 1;
  // Not started after this span since acceptance; zero for no limit.
  Duration StartWithin;
  // Digest of what the caller sent, to tell a resend from another request with
  // the same id.
  std::string BodyDigest;

  bool operator==(const Submission &) const = default;
};

// One task of a request, as a caller sees it.
struct TaskView {
  uint32_t Index = 0;
  FateState State = FateState::Accepted;
  uint32_t Attempts = 0;
  WorkerId Worker;
  // The whole answer of a finished task.
  std::string Answer;
  // Why it failed or was not run.
  std::string Reason;

  bool operator==(const TaskView &) const = default;
};

// A request, as a caller sees it. Instants are wall time of the deciding host.
struct FateView {
  RequestId Request;
  TeamId Team;
  EntryId Entry;
  FateState State = FateState::Accepted;
  std::vector<TaskView> Tasks;
  Instant AcceptedAt;
  // When the last task started; Instant::never() while some has not.
  Instant StartedAt = Instant::never();
  Instant EndedAt = Instant::never();

  bool operator==(const FateView &) const = default;
};

// A worker as it announces itself.
struct WorkerAnnouncement {
  WorkerId Worker;
  // Higher after every start of the worker.
  Incarnation Start;
  RackId Rack;
  Resources Holds;
  // True once it wants no new tasks.
  bool IsLeaving = false;

  bool operator==(const WorkerAnnouncement &) const = default;
};

// What a worker says of an attempt.
enum class TaskPhase {
  Started,
  Running,
  Checkpointed,
  Finished,
  Failed,
  // Stopped on request or because its lease ran out.
  Stopped,
  // Not started: stale token, no room, or already stopped.
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

// A worker's report about one attempt. Reports of ended attempts are repeated
// until they are acknowledged by a directive.
struct TaskReport {
  TaskId Task;
  AttemptToken Token;
  TaskPhase Phase = TaskPhase::Started;
  // Measured use, some seconds old; zero if not known.
  Resources Usage;
  // Answer of a finished task; otherwise the reason.
  std::string Text;

  bool operator==(const TaskReport &) const = default;
};

// What the zone's leader tells a worker to do.
enum class DirectiveKind { Start, Stop, Checkpoint, Throttle, Acknowledge };

inline constexpr NameTable<DirectiveKind, 5> DirectiveKindNames = {{
    {DirectiveKind::Start, "start"},
    {DirectiveKind::Stop, "stop"},
    {DirectiveKind::Checkpoint, "checkpoint"},
    {DirectiveKind::Throttle, "throttle"},
    {DirectiveKind::Acknowledge, "acknowledge"},
}};
static_assert(isComplete(DirectiveKindNames));

// One instruction. Directives may arrive twice; tokens make them idempotent.
struct Directive {
  DirectiveKind Kind = DirectiveKind::Start;
  TaskId Task;
  AttemptToken Token;
  EntryId Entry;
  // Start: what the task may use. Throttle: its new grant.
  Resources Grant;
  std::string Payload;

  bool operator==(const Directive &) const = default;
};

// Stands for a set of running attempts; see attempt_digest.h.
struct AttemptDigest {
  uint32_t Count = 0;
  // Below 2^53, so that every JSON reader keeps it.
  uint64_t Checksum = 0;

  bool operator==(const AttemptDigest &) const = default;
};

// A worker's periodic message to its zone's leader.
struct WorkerSync {
  WorkerAnnouncement Announcement;
  std::vector<TaskReport> Reports;
  // The running attempts that Reports leaves out. Absent in a sync that brings
  // only news, and from workers that report all attempts every time.
  std::optional<AttemptDigest> Unreported;

  bool operator==(const WorkerSync &) const = default;
};

// What the worker's next sync has to report.
enum class SyncScope {
  // Ended attempts, and running ones whose phase or usage changed.
  Changes,
  // All attempts: the leader's record and the worker's differ.
  Full,
};

inline constexpr NameTable<SyncScope, 2> SyncScopeNames = {{
    {SyncScope::Changes, "changes"},
    {SyncScope::Full, "full"},
}};
static_assert(isComplete(SyncScopeNames));

// The answer to a WorkerSync. It renews the leases of all tasks of the worker:
// they run out `Lease` after the worker sent the sync that is answered.
struct SyncReply {
  Term LeaderTerm;
  Duration Lease;
  std::vector<Directive> Directives;
  SyncScope NextSync = SyncScope::Changes;

  bool operator==(const SyncReply &) const = default;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_TYPES_H_
