// Simulates tasks from their recorded behaviour: run time, resource use,
// failures, and the platform's start and stop delays.
#ifndef JUJUBE_REPLAY_PLATFORM_H_
#define JUJUBE_REPLAY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/catalogue/types.h"
#include "jujube/placement/types.h"
#include "jujube/replay/ledger.h"
#include "jujube/replay/trace.h"

namespace jujube::replay {

enum class TaskEventKind { Started, Measured, Ended };

inline constexpr NameTable<TaskEventKind, 3> TaskEventKindNames = {{
    {TaskEventKind::Started, "started"},
    {TaskEventKind::Measured, "measured"},
    {TaskEventKind::Ended, "ended"},
}};
static_assert(isComplete(TaskEventKindNames));

// The event that a timer triggers.
enum class TimerCause { Start, Usage, End, Fail, Stop, Checkpoint, Lease };

inline constexpr NameTable<TimerCause, 7> TimerCauseNames = {{
    {TimerCause::Start, "start"},
    {TimerCause::Usage, "usage"},
    {TimerCause::End, "end"},
    {TimerCause::Fail, "fail"},
    {TimerCause::Stop, "stop"},
    {TimerCause::Checkpoint, "checkpoint"},
    {TimerCause::Lease, "lease"},
}};
static_assert(isComplete(TimerCauseNames));

// An event of an attempt.
struct TaskEvent {
  TaskEventKind Kind = TaskEventKind::Started;
  TaskId Task;
  // Measured: the resources in use.
  Resources Use;
  // Ended: how the attempt ended, whether another attempt is allowed, and the
  // run time lost.
  placement::EndKind End = placement::EndKind::Finished;
  bool MayRunAgain = true;
  double LostSeconds = 0;
};

struct LiveTask {
  // Number of the current attempt. Events of earlier attempts are ignored.
  uint32_t Attempt = 0;
  bool IsPlaced = false;
  bool IsRunning = false;
  bool WasStarted = false;
  bool IsFinished = false;
  // The worker is lost; the task reports no events until its lease expires.
  bool IsWorkerLost = false;
  uint32_t Failures = 0;
  WorkerId Worker;
  Resources Grant;
  Instant StartedAt;
  // Progress saved by checkpoints.
  Duration Saved;
};

struct LiveRequest {
  SubmitRecord Submitted;
  catalogue::Entry Entry;
  Instant AcceptedAt;
  std::vector<LiveTask> Tasks;
  uint32_t Finished = 0;
};

// Returns "urgent" for urgent work, otherwise the name of the work class.
std::string waitClass(const catalogue::Entry &entry);

class Platform {
public:
  explicit Platform(const TraceHeader &delays) : Delays(delays) {}

  void add(const SubmitRecord &record, const catalogue::Entry &entry,
           Instant now);
  void setFailing(const WorkerId &worker, bool isFailing);
  void loseWorker(const WorkerId &worker, Instant now);
  void offer(const TaskId &id, const WorkerId &worker, const Resources &grant,
             Instant now);
  void stop(const TaskId &id, bool savesProgress, Instant now);

  // Returns the time of the next event, or never() if there is none.
  Instant nextAt() const;
  // Removes, applies and returns the events due at `now`.
  std::vector<TaskEvent> takeDue(Instant now);

  const std::map<RequestId, LiveRequest> &requests() const { return Requests; }
  const LiveRequest &request(const RequestId &id) const {
    return Requests.at(id);
  }
  LiveTask &task(const TaskId &id) {
    return Requests.at(id.Request).Tasks[id.Index];
  }
  bool isFinished(const RequestId &id) const;
  // Total resource use of the running tasks.
  Resources used() const { return Used; }
  // Number of workers whose tasks use more memory than the worker's capacity.
  double countOverloaded(const Ledger &ledger) const;

private:
  struct Timer {
    Instant At;
    uint64_t Seq;
    TimerCause Why;
    TaskId Task;
    uint32_t Attempt;
    bool operator>(const Timer &rhs) const {
      return std::tie(At, Seq) > std::tie(rhs.At, rhs.Seq);
    }
  };

  void schedule(Duration delay, TimerCause why, const TaskId &id, Instant now);
  bool isStale(const Timer &timer) const;
  TaskEvent apply(const Timer &timer, Instant now);
  void start(const TaskId &id, Instant now);
  TaskEvent endAttempt(const TaskId &id, TimerCause why, Instant now);
  Resources useOf(const LiveRequest &request, const LiveTask &task) const;
  Duration runOf(const LiveRequest &request, uint32_t index) const;
  void setRunning(LiveRequest &request, LiveTask &task, bool isRunning);

  TraceHeader Delays;
  std::map<RequestId, LiveRequest> Requests;
  std::map<WorkerId, std::set<TaskId>> OnWorker;
  std::set<WorkerId> Failing;
  std::map<WorkerId, Resources> UsedOn;
  Resources Used;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Timers;
  uint64_t NextSeq = 0;
};

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_PLATFORM_H_
