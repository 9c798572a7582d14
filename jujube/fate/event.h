// Events of a zone's journal. Each is committed by the zone's group before its
// consequences leave the leader.
#ifndef JUJUBE_FATE_EVENT_H_
#define JUJUBE_FATE_EVENT_H_

#include <string>
#include <variant>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/fate/types.h"
#include "jujube/limits/types.h"

namespace jujube::fate {

// Instants of events are wall time of the deciding leader.

// A request was accepted; its tasks are queued.
struct RequestAccepted {
  Submission Work;
  Instant At;
  bool operator==(const RequestAccepted &) const = default;
};

// A task is about to be offered to a worker.
struct TaskOffered {
  TaskId Task;
  AttemptToken Token;
  WorkerId Worker;
  // Start of the worker that the offer is for.
  Incarnation Start;
  Resources Reserved;
  Instant At;
  bool operator==(const TaskOffered &) const = default;
};

// The worker said that the attempt started.
struct TaskStarted {
  TaskId Task;
  AttemptToken Token;
  Instant At;
  bool operator==(const TaskStarted &) const = default;
};

// The running attempt may use more or less than before. Its worker is told once
// this is committed.
struct ReservationChanged {
  TaskId Task;
  AttemptToken Token;
  Resources Reserved;
  Instant At;
  bool operator==(const ReservationChanged &) const = default;
};

// The worker said that the attempt has ended.
struct TaskEnded {
  TaskId Task;
  AttemptToken Token;
  // Checkpointed, Finished, Failed, Stopped or Refused.
  TaskPhase Phase = TaskPhase::Finished;
  std::string Text;
  Instant At;
  bool operator==(const TaskEnded &) const = default;
};

// The attempt surely does not run any more, and its worker has not said how it
// ended.
struct AttemptLost {
  TaskId Task;
  AttemptToken Token;
  // True if the worker can't tell any more, for example after its restart.
  bool IsForgotten = false;
  std::string Reason;
  Instant At;
  bool operator==(const AttemptLost &) const = default;
};

// A caller cancelled: queued tasks end, attempts are to be stopped.
struct RequestCancelled {
  RequestId Request;
  Instant At;
  bool operator==(const RequestCancelled &) const = default;
};

// Queued tasks of the request won't be offered any more.
struct RequestRejected {
  RequestId Request;
  Error Why;
  Instant At;
  bool operator==(const RequestRejected &) const = default;
};

// A live request is about to be sent to a runner.
struct LiveOffered {
  RequestId Request;
  TeamId Team;
  EntryId Entry;
  std::string BodyDigest;
  HostId EntryHost;
  RunnerId Runner;
  bool IsIdempotent = false;
  Instant At;
  bool operator==(const LiveOffered &) const = default;
};

// What became of a live offer. Queued: the runner surely refused it, and it may
// be offered again. Unresolved: the outcome is not known yet.
struct LiveEnded {
  RequestId Request;
  HostId EntryHost;
  RunnerId Runner;
  FateState State = FateState::Finished;
  // The answer, or the reason.
  std::string Text;
  Instant At;
  bool operator==(const LiveEnded &) const = default;
};

// The retention time of an ended request is over.
struct FateForgotten {
  RequestId Request;
  bool operator==(const FateForgotten &) const = default;
};

using Event = std::variant<RequestAccepted, TaskOffered, TaskStarted, TaskEnded,
                           AttemptLost, RequestCancelled, RequestRejected,
                           LiveOffered, LiveEnded, FateForgotten,
                           limits::SliceUpdate, ReservationChanged>;

} // namespace jujube::fate

#endif // JUJUBE_FATE_EVENT_H_
