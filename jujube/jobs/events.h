// The events of the control group's replicated log, which JobStateMachine
// applies.
#ifndef JUJUBE_JOBS_EVENTS_H_
#define JUJUBE_JOBS_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/jobs/configuration.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

struct ConfigurationPut {
  Configuration Value;
};
struct JobAccepted {
  JobSpec Spec;
  // Wall time of the leader; used only to order waiting jobs.
  Instant AcceptedAt;
};
// A job that was accepted at this place. Logs of earlier versions have
// JobAccepted alone, which names the queue only.
struct JobAcceptedAt {
  JobAccepted What;
  QueuePlace Place;
};
// A job that was accepted at this place, with the request as it was sent. The
// key is empty if the configuration did not have it. Logs of earlier versions
// have JobAcceptedAt, which names the team only.
// Configurations may precede it in the log that the leader had not applied when
// it admitted the job; Terms is the queue that it admitted the job to, and set
// if there may be any.
struct JobSubmitted {
  JobAccepted What;
  Caller By;
  QueuePlace Place;
  std::optional<Queue> Terms;
};
struct JobCancelled {
  JobId Job;
};
// A caller has cancelled a job that the leader did not know. If its submission
// precedes this event in the log, the job is cancelled; if not, the submission
// is refused when it arrives.
struct JobWithdrawn {
  JobId Job;
  Owner By;
};
// Replicated before the start order is sent, so that every later leader knows
// where the task may be running.
struct AttemptStarted {
  TaskKey Task;
  uint32_t Attempt = 0;
  WorkerId Worker;
};
struct AttemptEnded {
  TaskKey Task;
  uint32_t Attempt = 0;
  EndKind How = EndKind::Lost;
  // The latest known checkpoint; empty if there is none.
  std::string Checkpoint;
};
// A worker registered, restarted, changed or began to drain.
struct WorkerChanged {
  Worker Now;
};
// A worker is removed from the register. Proposed only for workers without
// attempts; logs of earlier versions also have it for others, whose attempts it
// ends. Does nothing if a later incarnation has registered.
struct WorkerGone {
  WorkerId Worker;
  Incarnation WorkerIncarnation;
};
// Drops ended jobs and withdrawals whose retention period is over.
struct JobsForgotten {
  std::vector<JobId> Jobs;
};
// No further task starts on the zone's workers. Tasks that run there go on.
struct ZoneEvacuated {
  ZoneId Zone;
};
// The zone's workers take tasks again.
struct ZoneRestored {
  ZoneId Zone;
};
// The same as AttemptStarted and AttemptEnded, with the leader's wall time,
// from which the use of teams is counted. Logs of earlier versions have the
// events without a time.
struct AttemptStartedAt {
  AttemptStarted What;
  Instant At;
};
struct AttemptEndedAt {
  AttemptEnded What;
  Instant At;
};

using Event =
    std::variant<ConfigurationPut, JobAccepted, JobCancelled, AttemptStarted,
                 AttemptEnded, WorkerChanged, WorkerGone, JobsForgotten,
                 JobAcceptedAt, ZoneEvacuated, ZoneRestored, AttemptStartedAt,
                 AttemptEndedAt, JobWithdrawn, JobSubmitted>;

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_EVENTS_H_
