// Independent books of what a planner decided, kept in the simplest way, to
// check its decisions against. Used by replays and by the fuzz test.
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

// A rule that a decision broke.
enum class Violation {
  // More is reserved on a worker than it announced.
  WorkerOverfull,
  // A start on a worker that is lost, leaving or unknown.
  WorkerNotServing,
  // A task was offered that is placed, done, cancelled or rejected.
  TaskNotWaiting,
  // A team's reservations pass its slice.
  SlicePassed,
  // An entry has more tasks placed than its limit.
  EntryLimitPassed,
  // Some tasks of a gang are placed and others are not.
  GangSplit,
  // A request was rejected while a task of it is placed or after one may have
  // run.
  RejectedAfterStart,
  // A stop, checkpoint or throttle of a task that is not placed.
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

enum class TaskBook { Waiting, Placed, Idle, Done };

inline constexpr NameTable<TaskBook, 4> TaskBookNames = {{
    {TaskBook::Waiting, "waiting"},
    {TaskBook::Placed, "placed"},
    {TaskBook::Idle, "idle"},
    {TaskBook::Done, "done"},
}};
static_assert(isComplete(TaskBookNames));

class Ledger {
public:
  struct Task {
    TaskBook Book = TaskBook::Idle;
    bool IsStopping = false;
    WorkerId Worker;
    Resources Reserved;
  };
  struct Request {
    fate::Submission Work;
    std::vector<Task> Tasks;
    bool IsCancelled = false;
    bool IsRejected = false;
    // True once an attempt ended that may have run.
    bool HasRun = false;
  };
  struct Worker {
    Resources Holds;
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

  // Books the actions of one plan; returns the rules that they break.
  std::vector<Finding> apply(const std::vector<placement::Action> &actions);

  const std::map<RequestId, Request> &requests() const { return Requests; }
  const std::map<WorkerId, Worker> &workers() const { return Workers; }
  Resources reservedBy(const TeamId &team) const;
  // Sum over the workers that serve.
  Resources held() const;
  // Ask of all tasks that wait or are placed.
  Resources demand() const;
  Resources reserved() const;
  // Ask of the team's waiting tasks.
  Resources waitingOf(const TeamId &team) const;

private:
  void book(const placement::Offer &offer, std::vector<Finding> &findings);
  void book(const placement::StopTask &stop, std::vector<Finding> &findings);
  void book(const placement::CheckpointTask &stop,
            std::vector<Finding> &findings);
  void book(const placement::ThrottleTask &throttle,
            std::vector<Finding> &findings);
  void book(const placement::RejectRequest &reject,
            std::vector<Finding> &findings);
  void markStopping(const TaskId &id, std::vector<Finding> &findings);
  void checkRoom(const WorkerId &worker, const TeamId &team,
                 std::vector<Finding> &findings) const;
  void checkGang(const RequestId &id, std::vector<Finding> &findings) const;
  Task *placedTask(const TaskId &id);
  void move(Task &task, const Request &request, TaskBook book);

  std::map<RequestId, Request> Requests;
  std::map<WorkerId, Worker> Workers;
  std::map<TeamId, Resources> Slices;
  std::map<TeamId, Resources> Used;
  std::map<TeamId, Resources> Waiting;
  std::map<EntryId, uint32_t> Placed;
};

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_LEDGER_H_
