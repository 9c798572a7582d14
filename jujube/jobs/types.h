// The model of stepped jobs: what callers submit to queues and what workers
// that take calls report. Pure data; see docs/PLATFORM.md.
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

// Chosen by the caller, so that a resent submission is recognised.
using JobId = TextId<JobTag>;
using QueueId = TextId<QueueTag>;
// A set of workers that serve the same queues.
using PoolId = TextId<PoolTag>;

// One task of one step of one occurrence of a job.
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

// One step of one occurrence of a job.
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

// Equal tasks that wait for the same earlier steps.
struct StepSpec {
  uint32_t Tasks = 1;
  // What one task needs.
  Resources Ask;
  // The caller's rough guess of one task's run time.
  Duration Estimate;
  // Numbers of earlier steps whose tasks all have to be done first.
  std::vector<uint32_t> After;
  bool CanCheckpoint = false;
  // The tasks work only together and end together.
  bool IsGang = false;
  // Slower if the tasks are on more than one rack.
  bool IsTightlyCoupled = false;
  // Several copies of a task may run.
  bool MaySpeculate = false;
  // Runs until the job is cancelled; restarted however it ends.
  bool IsLongRunning = false;
  // A label that the worker must have; empty for none.
  std::string RequiredLabel;
  // The rack that holds the data; slower elsewhere. Empty for none.
  std::string DataRack;
  // Most tasks of the step and occurrence on one worker; 0 for no bound.
  uint32_t MaxPerWorker = 0;
  // What the tasks run; tasks of one image behave alike.
  std::string Image;
  // Bound of the tail of a serving task's response times; 0 for none.
  Duration ResponseTarget;
  // Its processors are not counted: it takes what others leave unused.
  bool IsFiller = false;
  // Most tasks of a lasting step that the system may make unavailable at a
  // time; unset if the step names no bound.
  std::optional<uint32_t> MaxUnavailable;

  bool operator==(const StepSpec &) const = default;
};

// What a running task of the step takes from its worker's capacity.
inline Resources demandOf(const StepSpec &step) {
  return step.IsFiller ? Resources{0, step.Ask.MemoryMb, step.Ask.Accelerators}
                       : step.Ask;
}

// What a caller hands in.
struct JobSpec {
  JobId Id;
  QueueId Queue;
  // Empty for queues that are open to everyone.
  TeamId Team;
  // Passed to each task as it is.
  std::string Payload;
  std::vector<StepSpec> Steps;
  // How often the steps run; occurrence K is due at FirstDue + K * Period.
  uint32_t Occurrences = 1;
  // Wall time; unset for jobs that are due at once.
  std::optional<Instant> FirstDue;
  Duration Period;

  bool operator==(const JobSpec &) const = default;
};

// What callers are told of a job.
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

// How an attempt ended.
enum class EndKind {
  Done,
  // Through its own fault or its worker's; counts as one of the attempts.
  Failed,
  Stopped,
  // Its lease ran out.
  Lapsed,
  // Another member of its gang ended.
  Broken,
  // It waited in vain for the other members of its gang.
  Alone,
  // It never began, or its worker's life is over.
  Lost,
};

inline constexpr NameTable<EndKind, 7> EndKindNames = {{
    {EndKind::Done, "done"},
    {EndKind::Failed, "failed"},
    {EndKind::Stopped, "stopped"},
    {EndKind::Lapsed, "lapsed"},
    {EndKind::Broken, "broken"},
    {EndKind::Alone, "alone"},
    {EndKind::Lost, "lost"},
}};
static_assert(isComplete(EndKindNames));

// A worker as it announces itself.
struct Worker {
  WorkerId Id;
  // Distinguishes its lives: rises when it starts again under the same id.
  Incarnation Life;
  PoolId Pool;
  Address At;
  ZoneId Zone;
  Resources Capacity;
  // Its kind and its rack among them.
  std::vector<std::string> Labels;
  // Empty if it is not known.
  std::string Rack;
  // It takes no new tasks and ends soon.
  bool IsDraining = false;

  bool operator==(const Worker &) const = default;
};

// What one announcement tells beside the worker itself.
struct Announcement {
  Worker Who;
  // Rises with each announcement of one life.
  uint64_t Sequence = 0;
  // The worker's own steady clock when it sent this.
  Instant WorkerClock;
  // The shortest time that a draining worker still serves; unset if it did not
  // say.
  std::optional<Duration> Remaining;

  bool operator==(const Announcement &) const = default;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_TYPES_H_
