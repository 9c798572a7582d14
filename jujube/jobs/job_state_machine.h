// The replicated state of stepped jobs: configuration, jobs, attempts and
// workers.
#ifndef JUJUBE_JOBS_JOB_STATE_MACHINE_H_
#define JUJUBE_JOBS_JOB_STATE_MACHINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/events.h"
#include "jujube/jobs/team_succession.h"
#include "jujube/jobs/types.h"
#include "jujube/jobs/waiting_steps.h"
#include "jujube/jobs/withdrawals.h"
#include "jujube/shares/usage_ledger.h"

namespace jujube::jobs {

// An attempt that may be running.
struct Run {
  WorkerId Worker;
  uint32_t Attempt = 0;

  bool operator==(const Run &) const = default;
};

struct Task {
  uint32_t LastAttempt = 0;
  // Number of attempts that ended with EndKind::Failed.
  uint32_t Failures = 0;
  bool IsDone = false;
  // The attempt that may be running, if there is one.
  std::optional<Run> Live;
  // The latest checkpoint; empty if there is none.
  std::string Checkpoint;
  // The worker of the latest failed attempt; empty if none has failed.
  WorkerId LastFailedOn;

  bool operator==(const Task &) const = default;
};

// The state of one step of one occurrence.
struct StepState {
  std::vector<Task> Tasks;
  uint32_t DoneTasks = 0;
  // Tasks of which an attempt may be running.
  uint32_t LiveTasks = 0;
  // Failed attempts of a gang: failures of several members in the same attempt
  // count once.
  uint32_t GangFailures = 0;
  uint32_t LastFailedAttempt = 0;

  bool isDone() const { return DoneTasks == Tasks.size(); }
  bool operator==(const StepState &) const = default;
};

// The state of one occurrence of a job.
struct Occurrence {
  std::vector<StepState> Steps;

  bool operator==(const Occurrence &) const = default;
};

// Where a job came from. Callers know a job by what they sent; the ids of teams
// and queues are the operators' names for them.
struct Origin {
  // The submission as it was sent; its key is empty if the configuration did
  // not have it. Empty for jobs that an earlier version accepted.
  Caller By;
  // The key whose team owns the job: that of the submission, or another key of
  // the team once that one is withdrawn. Empty if none is known.
  std::string Key;
  // The place of the queue that the submission selected. Default if the queue
  // was unknown; the next configuration that has a queue of that id sets it.
  QueuePlace Place;
  // Where that queue has moved to; default if it has not moved.
  QueuePlace MovedTo;

  bool operator==(const Origin &) const = default;
};

// A job. Its Spec.Payload, Spec.Steps and Occurrences are cleared once it has
// ended and none of its attempts may be running.
struct Job {
  JobSpec Spec;
  Instant AcceptedAt;
  JobState State = JobState::Queued;
  std::vector<Occurrence> Occurrences;
  uint32_t LiveTasks = 0;
  // Queue::MaxAttempts at the acceptance, since the queue may change or leave
  // the configuration afterwards. 0 if it was not configured even then; the
  // next configuration that has the queue sets it.
  uint32_t MaxAttempts = 0;
  // The place of the queue that serves the job: From.Place or From.MovedTo.
  QueuePlace Place;
  Origin From;
  // It was handed in beyond the rate that its team's weight allows.
  bool IsBeyondRate = false;

  bool operator==(const Job &) const = default;
};

// True if the caller may read and cancel the job. An open queue takes calls
// without a key, so that a caller without a team may ask for any of its jobs,
// and any caller for a job without one.
bool isOwnedBy(const Job &job, const Owner &caller);
// True if a call to a queue at `selected` may refer to the job: the call has
// the target of the submission, or it selects a queue that the job was handed
// in at or has followed.
bool isReachedBy(const Job &job, const Caller &caller,
                 const QueuePlace &selected);

// The contents of a snapshot.
struct JobSnapshot {
  Configuration Config;
  std::vector<Job> Jobs;
  // Departed workers are included as draining workers without an address.
  std::vector<Worker> Workers;
  // Queues that have left the configuration while jobs of theirs were open.
  std::vector<Queue> Retired;
  // Evacuated zones.
  std::vector<ZoneId> Evacuated;
  // What the teams have used.
  shares::LedgerState Usage;
  std::vector<Withdrawal> Withdrawn;
  // Teams that have left the configuration, with the keys that they had last.
  std::vector<Team> RetiredTeams;
};

// Resources and tasks of the attempts that may be running on one worker.
struct Load {
  Resources Used;
  // Processors requested by filler tasks; not included in Used.
  int64_t FillerMilliCpu = 0;
  std::set<TaskKey> Tasks;
};

// The state machine that applies the events of the control group's log. Each
// member of the group owns one. Guarantees that the same events in the same
// order produce the same state on every member. Events that no longer apply to
// the state change nothing, so a leader may propose events that are based on a
// state that has changed by the time they are applied.
class JobStateMachine {
public:
  void apply(const Event &event);

  const Configuration &configuration() const { return Config; }
  // The find functions return null for unknown keys.
  const Job *find(const JobId &id) const;
  const std::map<JobId, Job> &jobs() const { return Jobs; }
  // The jobs that were cancelled before their submission arrived.
  const Withdrawals &withdrawals() const { return Withdrawn; }
  // Jobs that have not ended.
  const std::set<JobId> &openJobs() const { return Open; }
  // Ready steps of open jobs that have tasks to start, including steps that are
  // not due yet. A gang is included only if none of its tasks may be running.
  const WaitingSteps &waiting() const { return Waiting; }
  const std::map<WorkerId, Worker> &workers() const { return Workers; }
  const Worker *findWorker(const WorkerId &id) const;
  // True if this incarnation of the worker was draining when it was removed.
  // Its announcements that still arrive are late and change nothing.
  bool hasDeparted(const WorkerId &id, Incarnation incarnation) const;
  // The zones whose workers take no further tasks.
  const std::set<ZoneId> &evacuatedZones() const { return Evacuated; }
  bool isEvacuated(const Worker &worker) const {
    return Evacuated.contains(worker.Zone);
  }
  // Returns an empty load for a worker on which no attempt may be running.
  const Load &loadOf(const WorkerId &id) const;
  // Resources requested by the team's tasks that may be running.
  Resources usedBy(const TeamId &team) const;
  // What the teams have used until now, and their rates.
  const shares::UsageLedger &usage() const { return Usage; }
  // The teams whose tasks may be running, with what these request.
  const std::map<TeamId, Resources> &usedByTeams() const { return Used; }
  // Work of the team's jobs of one queue of which no task has started, in
  // thousandths of a core times milliseconds, by the callers' estimates.
  using TeamQueue = std::pair<TeamId, QueuePlace>;
  const std::map<TeamQueue, int64_t> &queuedWork() const { return QueuedWork; }
  // The workers on which an attempt may be running.
  const std::map<WorkerId, Load> &loads() const { return Loads; }
  // True if this attempt of the task may be running.
  bool isLive(const TaskKey &task, uint32_t attempt) const;
  const Task *findTask(const TaskKey &key) const;
  const StepSpec *findStep(const StepKey &key) const;
  const StepState *findStepState(const StepKey &key) const;
  // Number of open jobs of a configured queue of which no task has started.
  uint64_t pending(const QueueId &queue) const;
  // The queue at the job's place, with the properties that it had last if it
  // has left the configuration: accepted jobs go on. Null only for a job whose
  // queue was unknown at the acceptance.
  const Queue *queueOf(const Job &job) const;

  // True if all steps that this step waits for are done.
  static bool isReady(const Job &job, uint32_t occurrence, uint32_t step);

  // Copies the state for a snapshot.
  JobSnapshot capture() const;
  // Recreates the state of a snapshot.
  static JobStateMachine restore(JobSnapshot state);

private:
  void handle(const ConfigurationPut &event);
  void handle(const JobAccepted &event);
  void handle(const JobCancelled &event);
  void handle(const AttemptStarted &event);
  void handle(const AttemptEnded &event);
  void handle(const WorkerChanged &event);
  void handle(const WorkerGone &event);
  void handle(const JobsForgotten &event);
  void handle(const JobAcceptedAt &event);
  void handle(const ZoneEvacuated &event);
  void handle(const ZoneRestored &event);
  void handle(const AttemptStartedAt &event);
  void handle(const AttemptEndedAt &event);
  void handle(const JobWithdrawn &event);
  void handle(const JobSubmitted &event);

  // True if a task may start on the worker.
  bool mayStartOn(const WorkerId &id) const;
  Job *findMutable(const JobId &id);
  void accept(const JobAccepted &event, const QueuePlace &place,
              const Caller &by);
  // Keeps the queues of `before` that have left the configuration, and lets
  // jobs follow those that have moved.
  void followQueues(const Configuration &before);
  // Sets the place of the queue that serves the job. A queue that keeps its id
  // and pool takes its jobs along to another place, until the place where they
  // were handed in is served again.
  void followQueue(Job &job) const;
  // Lets jobs and what teams have used follow the keys of the teams.
  void followTeams(const Configuration &before);
  void followTeam(Job &job, const TeamSuccession &succession);
  // The owner under the present configuration, which may be a later one than
  // the leader had applied when it admitted a call.
  Owner currentOwner(Owner owner) const;
  // Forgets retired teams that are configured again, and those that own nothing
  // and were not in `before`.
  void dropRetiredTeams(const Configuration &before);
  // Forgets retired queues that are configured again or that no open job needs.
  void dropRetiredQueues(const Configuration &before);
  // Ends the job; its live attempts remain until they end themselves.
  void end(Job &job, JobState state);
  // True if the step belongs in Waiting.
  static bool isWaiting(const Job &job, uint32_t occurrence, uint32_t step);
  // Adds the step to Waiting or removes it.
  void updateWaiting(const Job &job, const Queue &queue, uint32_t occurrence,
                     uint32_t step);
  // Updates Waiting after a change of one step: its own entry and, once it is
  // done, those of later steps.
  void updateWaitingFrom(const Job &job, uint32_t occurrence, uint32_t step);
  void updateAllWaiting(const Job &job);
  void removeWaiting(const Job &job);
  void setState(Job &job, JobState state);
  // Counts a queued job, or counts it no more.
  void countQueued(const Job &job);
  void uncountQueued(const Job &job);
  // Marks the task done; the first member of a gang that is done completes the
  // whole gang.
  void countDone(const Job &job, StepState &step, const TaskKey &key);
  // Sets Job::Place and Job::MaxAttempts, unless they are set.
  void adoptTerms(Job &job) const;
  // Counts a failed attempt; fails the job after Job::MaxAttempts.
  void countFailure(Job &job, StepState &step, const TaskKey &key,
                    uint32_t attempt);
  void addLoad(const Job &job, const TaskKey &key, const WorkerId &worker);
  void removeLoad(const Job &job, const TaskKey &key, const WorkerId &worker);
  void clearLiveAttempt(Job &job, const TaskKey &key);
  static bool isAllDone(const Job &job);
  // Frees the payload, steps and occurrences of an ended job, unless an attempt
  // of it may still be running.
  static void releaseDetails(Job &job);

  Configuration Config;
  std::map<QueuePlace, Queue> Retired;
  std::map<TeamId, Team> RetiredTeams;
  std::set<ZoneId> Evacuated;
  shares::UsageLedger Usage;
  std::map<JobId, Job> Jobs;
  Withdrawals Withdrawn;
  // The members below, except Workers, are derived from those above.
  std::set<JobId> Open;
  WaitingSteps Waiting;
  std::map<QueuePlace, uint64_t> Pending;
  std::map<TeamQueue, int64_t> QueuedWork;
  // Records that an incarnation of a worker has departed; forgets the oldest
  // records beyond a limit.
  void recordDeparture(const WorkerId &id, Incarnation incarnation);

  std::map<WorkerId, Worker> Workers;
  std::map<WorkerId, Incarnation> Departed;
  // The keys of Departed, the oldest first.
  std::deque<WorkerId> DepartureOrder;
  std::map<WorkerId, Load> Loads;
  std::map<TeamId, Resources> Used;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_JOB_STATE_MACHINE_H_
