// The state machine of the control group's log: configuration, jobs, attempts
// and workers. The same events in the same order give the same state on every
// member. Events that the state does not allow any more change nothing, so that
// a leader may propose on what it knows.
#ifndef JUJUBE_JOBS_JOB_BOOK_H_
#define JUJUBE_JOBS_JOB_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/events.h"
#include "jujube/jobs/types.h"
#include "jujube/jobs/waiting_steps.h"

namespace jujube::jobs {

// An attempt that may be running.
struct Run {
  WorkerId Worker;
  uint32_t Attempt = 0;

  bool operator==(const Run &) const = default;
};

struct Task {
  uint32_t LastAttempt = 0;
  // Attempts that ended as failed.
  uint32_t Failures = 0;
  bool IsDone = false;
  std::optional<Run> Live;
  std::string Checkpoint;
  // Where it failed last; empty if it never has.
  WorkerId LastFailedOn;

  bool operator==(const Task &) const = default;
};

// One step of one occurrence.
struct StepState {
  std::vector<Task> Tasks;
  uint32_t DoneTasks = 0;
  uint32_t LiveTasks = 0;
  // Gangs fail as a whole, once for each attempt.
  uint32_t GangFailures = 0;
  uint32_t LastFailedAttempt = 0;

  bool isDone() const { return DoneTasks == Tasks.size(); }
  bool operator==(const StepState &) const = default;
};

struct Occurrence {
  std::vector<StepState> Steps;

  bool operator==(const Occurrence &) const = default;
};

struct Job {
  JobSpec Spec;
  Instant AcceptedAt;
  JobState State = JobState::Queued;
  std::vector<Occurrence> Rounds;
  uint32_t LiveTasks = 0;

  bool operator==(const Job &) const = default;
};

// Everything that a snapshot holds.
struct BookState {
  Configuration Config;
  std::vector<Job> Jobs;
  std::vector<Worker> Workers;
};

// What runs or may run on a worker, and for a team.
struct Load {
  Resources Used;
  // Processors that tasks which fill ask for; they are not in Used.
  int64_t FillerMilliCpu = 0;
  std::set<TaskKey> Tasks;
};

class JobBook {
public:
  void apply(const Event &event);

  const Configuration &configuration() const { return Config; }
  const Job *find(const JobId &id) const;
  const std::map<JobId, Job> &jobs() const { return Jobs; }
  // Jobs that have not ended.
  const std::set<JobId> &openJobs() const { return Open; }
  // Steps of open jobs that are ready, due or not, and have tasks to start; a
  // gang only if none of its tasks may be running.
  const WaitingSteps &waiting() const { return Waiting; }
  const std::map<WorkerId, Worker> &workers() const { return Workers; }
  const Worker *findWorker(const WorkerId &id) const;
  // Empty for a worker on which nothing may be running.
  const Load &loadOf(const WorkerId &id) const;
  Resources usedBy(const TeamId &team) const;
  // Workers on which something may be running.
  const std::map<WorkerId, Load> &loads() const { return Loads; }
  // The task's attempt that may be running, if it is this one.
  bool isLive(const TaskKey &task, uint32_t attempt) const;
  const Task *findTask(const TaskKey &key) const;
  const StepSpec *findStep(const StepKey &key) const;
  const StepState *findStepState(const StepKey &key) const;
  // Open jobs of the queue of which no task has started.
  uint64_t pending(const QueueId &queue) const;

  // True if all tasks of the steps that this one waits for are done.
  static bool isReady(const Job &job, uint32_t occurrence, uint32_t step);

  BookState capture() const;
  static JobBook restore(BookState state);

private:
  void handle(const ConfigurationPut &event);
  void handle(const JobAccepted &event);
  void handle(const JobCancelled &event);
  void handle(const AttemptStarted &event);
  void handle(const AttemptEnded &event);
  void handle(const WorkerChanged &event);
  void handle(const WorkerGone &event);
  void handle(const JobsForgotten &event);

  Job *findMutable(const JobId &id);
  void end(Job &job, JobState state);
  static bool isWaiting(const Job &job, uint32_t occurrence, uint32_t step);
  void refresh(const Job &job, const Queue &queue, uint32_t occurrence,
               uint32_t step);
  // After a change of one of the job's steps: brings it and those that wait for
  // it up to date.
  void refreshFrom(const Job &job, uint32_t occurrence, uint32_t step);
  void refreshAll(const Job &job);
  void dropWaiting(const Job &job);
  void setState(Job &job, JobState state);
  void countDone(const Job &job, StepState &step, const TaskKey &key);
  void countFailure(Job &job, StepState &step, const TaskKey &key,
                    uint32_t attempt);
  void addLoad(const Job &job, const TaskKey &key, const WorkerId &worker);
  void removeLoad(const Job &job, const TaskKey &key, const WorkerId &worker);
  void endRun(Job &job, const TaskKey &key);
  static bool isAllDone(const Job &job);
  // Drops what a job that has ended and left no run is not asked for any more.
  static void shrink(Job &job);

  Configuration Config;
  std::map<JobId, Job> Jobs;
  std::set<JobId> Open;
  WaitingSteps Waiting;
  std::map<QueueId, uint64_t> Pending;
  std::map<WorkerId, Worker> Workers;
  std::map<WorkerId, Load> Loads;
  std::map<TeamId, Resources> Used;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_JOB_BOOK_H_
