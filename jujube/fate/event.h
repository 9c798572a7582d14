// Events of a zone's replicated journal. The zone's consensus group commits an
// event before the leader sends any message that depends on it.
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

// The instant `At` of an event is the wall-clock time of the leader that
// proposed it.

// A request was accepted and its tasks were queued.
struct RequestAccepted {
  Submission Work;
  Instant At;
  bool operator==(const RequestAccepted &) const = default;
};

// The leader is about to offer a queued task to a worker.
struct TaskOffered {
  TaskId Task;
  AttemptToken Token;
  WorkerId Worker;
  // Incarnation of the worker that the offer is addressed to.
  Incarnation WorkerIncarnation;
  Resources Reserved;
  Instant At;
  bool operator==(const TaskOffered &) const = default;
};

// The worker reported that the attempt started.
struct TaskStarted {
  TaskId Task;
  AttemptToken Token;
  Instant At;
  bool operator==(const TaskStarted &) const = default;
};

// The reservation of an attempt was raised or lowered. The leader informs the
// worker once this event is committed.
struct ReservationChanged {
  TaskId Task;
  AttemptToken Token;
  Resources Reserved;
  Instant At;
  bool operator==(const ReservationChanged &) const = default;
};

// The worker reported that the attempt ended.
struct TaskEnded {
  TaskId Task;
  AttemptToken Token;
  // Checkpointed, Finished, Failed, Stopped or Refused.
  TaskPhase Phase = TaskPhase::Finished;
  std::string Text;
  Instant At;
  bool operator==(const TaskEnded &) const = default;
};

// The attempt is certain to have stopped, but its worker has not reported how
// it ended.
struct AttemptLost {
  TaskId Task;
  AttemptToken Token;
  // True if the worker can no longer report the outcome, for example after a
  // restart.
  bool IsForgotten = false;
  std::string Reason;
  Instant At;
  bool operator==(const AttemptLost &) const = default;
};

// The caller cancelled the request: its queued tasks end and its active
// attempts are to be stopped.
struct RequestCancelled {
  RequestId Request;
  Instant At;
  bool operator==(const RequestCancelled &) const = default;
};

// The leader gives up the queued tasks of the request that have certainly not
// run; they end as NotRun.
struct RequestRejected {
  RequestId Request;
  Error Reason;
  Instant At;
  bool operator==(const RequestRejected &) const = default;
};

// The entry host is about to send a live request to a runner.
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

// The result of a live offer. State is a terminal state, Queued if the runner
// certainly refused the request, which may then be offered again, or Unresolved
// if the outcome is not known yet.
struct LiveEnded {
  RequestId Request;
  HostId EntryHost;
  RunnerId Runner;
  FateState State = FateState::Finished;
  // The answer if State is Finished; otherwise the reason.
  std::string Text;
  Instant At;
  bool operator==(const LiveEnded &) const = default;
};

// The retention time of an ended request has passed; its record is deleted.
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
