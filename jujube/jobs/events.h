// What the control group's log holds.
#ifndef JUJUBE_JOBS_EVENTS_H_
#define JUJUBE_JOBS_EVENTS_H_

#include <cstdint>
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
  // The leader's wall time, for the order of waiting jobs only.
  Instant AcceptedAt;
};
struct JobCancelled {
  JobId Job;
};
// Logged before the order leaves, so that every later leader knows where the
// task may run.
struct AttemptStarted {
  TaskKey Task;
  uint32_t Attempt = 0;
  WorkerId Worker;
};
struct AttemptEnded {
  TaskKey Task;
  uint32_t Attempt = 0;
  EndKind How = EndKind::Lost;
  // The newest checkpoint that is known; empty for none.
  std::string Checkpoint;
};
// A worker appeared, started anew or began to drain.
struct WorkerChanged {
  Worker Now;
};
// A worker is gone for good; nothing runs there any more.
struct WorkerGone {
  WorkerId Worker;
  Incarnation Life;
};
// Ended jobs whose state is not kept any longer.
struct JobsForgotten {
  std::vector<JobId> Jobs;
};

using Event =
    std::variant<ConfigurationPut, JobAccepted, JobCancelled, AttemptStarted,
                 AttemptEnded, WorkerChanged, WorkerGone, JobsForgotten>;

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_EVENTS_H_
