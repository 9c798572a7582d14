// Data types of stepped jobs, as callers submit them, and of their workers, as
// they announce themselves. See docs/PLATFORM.md.
#ifndef JUJUBE_JOBS_TYPES_H_
#define JUJUBE_JOBS_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"

namespace jujube::jobs {

struct JobTag {
  static constexpr absl::string_view Name = "job";
};
struct QueueTag {
  static constexpr absl::string_view Name = "queue";
};
struct PoolTag {
  static constexpr absl::string_view Name = "pool";
};

// Chosen by the caller, which makes submissions idempotent.
using JobId = TextId<JobTag>;
using QueueId = TextId<QueueTag>;
// A set of workers that serve the same queues.
using PoolId = TextId<PoolTag>;

// Identifies a task of one step of one occurrence of a job.
struct TaskKey {
  JobId Job;
  uint32_t Occurrence = 0;
  uint32_t Step = 0;
  uint32_t Index = 0;

  auto operator<=>(const TaskKey &) const = default;

  template <typename H> friend H AbslHashValue(H state, const TaskKey &key) {
    return H::combine(std::move(state), key.Job, key.Occurrence, key.Step,
                      key.Index);
  }
};

// Identifies a step of one occurrence of a job.
struct StepKey {
  JobId Job;
  uint32_t Occurrence = 0;
  uint32_t Step = 0;

  auto operator<=>(const StepKey &) const = default;

  template <typename H> friend H AbslHashValue(H state, const StepKey &key) {
    return H::combine(std::move(state), key.Job, key.Occurrence, key.Step);
  }
};

inline StepKey stepOf(const TaskKey &key) {
  return {key.Job, key.Occurrence, key.Step};
}

// The target and the key of a caller's request, not yet checked against the
// configuration.
struct Caller {
  std::string HostName;
  // Path of the request, without a job id at its end.
  std::string Path;
  // Empty if the request had none.
  std::string Key;

  bool operator==(const Caller &) const = default;
};

// Who submitted a job, as far as the key that was sent tells.
struct Owner {
  // Empty if the call had no known key, which open queues accept.
  TeamId Team;
  // A key of the team; empty if the call had no known key.
  std::string Key;

  bool operator==(const Owner &) const = default;
};

// A team may have another id in the next configuration, and a key another team.
inline bool isSameOwner(const Owner &a, const Owner &b) {
  return a.Team == b.Team || (!a.Key.empty() && a.Key == b.Key);
}

// A number of equal tasks that wait for the same earlier steps.
struct StepSpec {
  uint32_t Tasks = 1;
  // Resources that one task requests.
  Resources Ask;
  // The caller's rough estimate of the run time of one task.
  Duration Estimate;
  // Indices of earlier steps that must be done before this one starts.
  std::vector<uint32_t> After;
  bool CanCheckpoint = false;
  // The tasks must run at the same time, and end together.
  bool IsGang = false;
  // The tasks run more slowly if they are on more than one rack.
  bool IsTightlyCoupled = false;
  // Several copies of a task may run at the same time.
  bool MaySpeculate = false;
  // The tasks run until the job is cancelled: they are restarted whenever they
  // end.
  bool IsLongRunning = false;
  // A label that the worker must have; empty for none.
  std::string RequiredLabel;
  // The rack that holds the data, empty for none; tasks run more slowly
  // elsewhere.
  std::string DataRack;
  // Most tasks of the step, in one occurrence, on one worker; 0 for no bound.
  uint32_t MaxPerWorker = 0;
  // The image that the tasks run; tasks of one image behave alike.
  std::string Image;
  // Upper bound for the tail of a serving task's response times; 0 for tasks
  // that serve no requests.
  Duration ResponseTarget;
  // The tasks use the processors that other tasks leave idle; their own request
  // for processors does not count against the worker's capacity.
  bool IsFiller = false;
  // Most tasks of a long-running step that the system may make unavailable at
  // the same time; unset for no bound.
  std::optional<uint32_t> MaxUnavailable;

  bool operator==(const StepSpec &) const = default;
};

// Returns the part of a worker's capacity that a running task of the step uses.
inline Resources demandOf(const StepSpec &step) {
  return step.IsFiller ? Resources{0, step.Ask.MemoryMb, step.Ask.Accelerators}
                       : step.Ask;
}

// A job as the caller submits it.
struct JobSpec {
  JobId Id;
  QueueId Queue;
  // Empty if the call had no known key, which open queues accept.
  TeamId Team;
  // Passed to each task unchanged.
  std::string Payload;
  std::vector<StepSpec> Steps;
  // Number of times that the steps run; occurrence K is due at
  // FirstDue + K * Period, counted from 0.
  uint32_t Occurrences = 1;
  // Wall time; unset for jobs that are due immediately.
  std::optional<Instant> FirstDue;
  Duration Period;

  bool operator==(const JobSpec &) const = default;
};

// The state of a job as callers see it.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr NameTable<JobState, 5> JobStateNames = {{
    {JobState::Queued, "queued"},
    {JobState::Running, "running"},
    {JobState::Completed, "completed"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};
static_assert(isComplete(JobStateNames));

inline bool isEnded(JobState state) {
  return state == JobState::Completed || state == JobState::Failed ||
         state == JobState::Cancelled;
}

// How an attempt ended. Only Failed counts against Queue::MaxAttempts.
enum class EndKind {
  Done,
  // The task or its worker failed.
  Failed,
  Stopped,
  // Its lease expired.
  LeaseExpired,
  // Another member of its gang ended.
  GangMemberEnded,
  // It timed out waiting for the other members of its gang.
  GangTimedOut,
  // It never began, or its worker is gone or has restarted.
  Lost,
};

inline constexpr NameTable<EndKind, 7> EndKindNames = {{
    {EndKind::Done, "done"},
    {EndKind::Failed, "failed"},
    {EndKind::Stopped, "stopped"},
    {EndKind::LeaseExpired, "lapsed"},
    {EndKind::GangMemberEnded, "broken"},
    {EndKind::GangTimedOut, "alone"},
    {EndKind::Lost, "lost"},
}};
static_assert(isComplete(EndKindNames));

// A worker as it announces itself.
struct Worker {
  WorkerId Id;
  // Increases each time the worker restarts under the same id.
  Incarnation WorkerIncarnation;
  PoolId Pool;
  Address At;
  ZoneId Zone;
  Resources Capacity;
  // Include the worker's kind and its rack.
  std::vector<std::string> Labels;
  // Empty if unknown.
  std::string Rack;
  // The worker takes no new tasks and shuts down soon.
  bool IsDraining = false;

  bool operator==(const Worker &) const = default;
};

// A periodic announcement of a worker.
struct Announcement {
  Worker AnnouncedWorker;
  // Increases with each announcement of one incarnation.
  uint64_t Sequence = 0;
  // The worker's steady clock when it sent the announcement.
  Instant WorkerClock;
  // Least time for which a draining worker keeps serving; unset if it did not
  // tell.
  std::optional<Duration> Remaining;
  // How much longer the worker runs tasks slowly after its start.
  Duration ColdRemaining;

  bool operator==(const Announcement &) const = default;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_TYPES_H_
