// A simple, independent model of the cluster state against which the planner's
// decisions are checked. Used by replays and by the fuzz test.
#ifndef JUJUBE_REPLAY_LEDGER_H_
#define JUJUBE_REPLAY_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/fate/types.h"
#include "jujube/placement/types.h"

namespace jujube::replay {

// A scheduling rule that a planner decision violated.
enum class Violation {
  // The reservations on a worker exceed its announced capacity.
  WorkerOverfull,
  // A task was offered to a worker that is lost, leaving or unknown.
  WorkerNotServing,
  // An offered task is already placed, done, cancelled or rejected.
  TaskNotWaiting,
  // A team's reservations exceed its slice.
  SlicePassed,
  // The number of placed tasks of a catalogue entry exceeds its limit.
  EntryLimitPassed,
  // Only some tasks of a gang are placed.
  GangSplit,
  // A request was rejected while one of its tasks is placed, or after one of
  // its
  // tasks may have run.
  RejectedAfterStart,
  // A stop, checkpoint or throttle action names a task that is not placed.
  TaskNotPlaced,
};

inline constexpr NameTable<Violation, 8> ViolationNames = {{
    {Violation::WorkerOverfull, "worker_overfull"},
    {Violation::WorkerNotServing, "worker_not_serving"},
    {Violation::TaskNotWaiting, "task_not_waiting"},
    {Violation::SlicePassed, "slice_passed"},
    {Violation::EntryLimitPassed, "entry_limit_passed"},
    {Violation::GangSplit, "gang_split"},
    {Violation::RejectedAfterStart, "rejected_after_start"},
    {Violation::TaskNotPlaced, "task_not_placed"},
}};
static_assert(isComplete(ViolationNames));

struct Finding {
  Violation What = Violation::WorkerOverfull;
  std::string Detail;
};

// Placement state of a task. An idle task is not queued: its last attempt ended
// without finishing it, or its request was cancelled or rejected.
enum class TaskState { Waiting, Placed, Idle, Done };

inline constexpr NameTable<TaskState, 4> TaskStateNames = {{
    {TaskState::Waiting, "waiting"},
    {TaskState::Placed, "placed"},
    {TaskState::Idle, "idle"},
    {TaskState::Done, "done"},
}};
static_assert(isComplete(TaskStateNames));

// Tracks tasks, workers and slices from the same events that the planner
// receives, and checks each plan against the scheduling rules. Not thread-safe.
class Ledger {
public:
  struct Task {
    TaskState State = TaskState::Idle;
    bool IsStopping = false;
    WorkerId Worker;
    Resources Reserved;
  };
  struct Request {
    fate::Submission Work;
    std::vector<Task> Tasks;
    bool IsCancelled = false;
    bool IsRejected = false;
    // True once an attempt that may have run has ended.
    bool HasRun = false;
  };
  struct Worker {
    Resources Capacity;
    Resources Reserved;
    bool IsServing = false;
  };

  void announceWorker(const fate::WorkerAnnouncement &worker);
  void markWorkerLost(const WorkerId &worker);
  void setSlice(const TeamId &team, const Resources &slice);
  void submitted(const fate::Submission &work);
  void requeued(const TaskId &task);
  void ended(const TaskId &task, placement::EndKind kind);
  void cancelled(const RequestId &request);

  // Records the actions of one plan and returns the violations.
  std::vector<Finding> apply(const std::vector<placement::Action> &actions);

  const std::map<RequestId, Request> &requests() const { return Requests; }
  const std::map<WorkerId, Worker> &workers() const { return Workers; }
  Resources reservedBy(const TeamId &team) const;
  // Total capacity of the serving workers.
  Resources capacity() const;
  // Total resource demand of all waiting and placed tasks.
  Resources demand() const;
  Resources reserved() const;
  // Resource demand of the team's waiting tasks.
  Resources waitingOf(const TeamId &team) const;

private:
  void applyAction(const placement::Offer &offer,
                   std::vector<Finding> &findings);
  void applyAction(const placement::StopTask &stop,
                   std::vector<Finding> &findings);
  void applyAction(const placement::CheckpointTask &stop,
                   std::vector<Finding> &findings);
  void applyAction(const placement::ThrottleTask &throttle,
                   std::vector<Finding> &findings);
  void applyAction(const placement::RejectRequest &reject,
                   std::vector<Finding> &findings);
  void markStopping(const TaskId &id, std::vector<Finding> &findings);
  void checkRoom(const WorkerId &worker, const TeamId &team,
                 std::vector<Finding> &findings) const;
  void checkGang(const RequestId &id, std::vector<Finding> &findings) const;
  Task *placedTask(const TaskId &id);
  void move(Task &task, const Request &request, TaskState state);

  std::map<RequestId, Request> Requests;
  std::map<WorkerId, Worker> Workers;
  std::map<TeamId, Resources> Slices;
  std::map<TeamId, Resources> Used;
  std::map<TeamId, Resources> Waiting;
  std::map<EntryId, uint32_t> Placed;
};

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_LEDGER_H_
