// Runs the tasks of a control group on a fake wire, with stand-ins for the
// platform's workers, which speak the platform's protocol.
#ifndef TESTING_CONTROL_CELL_H_
#define TESTING_CONTROL_CELL_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jujube/control/control_task.h"
#include "testing/fake_wire.h"
#include "testing/platform_workers.h"

namespace jujube::testing {

// Microseconds of a host's time per unit of each kind of work.
using WorkCosts = std::array<double, control::WorkNames.size()>;

struct ControlCellOptions {
  int Members = 3;
  int Workers = 3;
  // Tasks that fit on one worker.
  int64_t TasksPerWorker = 2;
  uint64_t Seed = 1;
  std::size_t Voters = 3;
  // The longest lease that workers grant.
  Duration MaxLease = Duration::seconds(5);
  // Weight of the team: jobs a second that are within its rate.
  int64_t TeamWeight = 10;
};

// Members are numbered from 1.
class ControlCell {
public:
  // Starts the cell, stores a configuration and announces the workers.
  explicit ControlCell(ControlCellOptions options);
  ~ControlCell();

  FakeWire &wire() { return Wire; }
  PlatformWorkers &workers() { return Workers; }

  // Executes a command at a member, which forwards it if it does not lead.
  // Fails if no answer arrives within the timeout.
  Result<jobs::Reply> execute(int member, const jobs::Command &command,
                              Duration timeout = Duration::seconds(3));
  // Executes a command at a member that answers.
  Result<jobs::Reply> execute(const jobs::Command &command);
  // A job of one step, whose tasks run for `ms`.
  Status submit(const std::string &id, uint32_t tasks, int ms);
  Status submit(const jobs::JobSpec &job);
  using AnswerSlot = runtime::ReplySlotPtr<Result<jobs::Reply>>;
  // Sends a command to the leader, or to a member that runs, without waiting.
  AnswerSlot post(jobs::Command command);
  AnswerSlot post(const jobs::JobSpec &job);
  static bool isAcknowledged(const AnswerSlot &slot);
  // Submits all jobs at once at the leader; true if all were acknowledged.
  bool submitAll(const std::vector<jobs::JobSpec> &jobs);
  // The job's state, or the name of the error.
  std::string stateOf(const std::string &id);
  // Runs until the job has this state.
  bool awaitState(const std::string &id, const std::string &state,
                  Duration patience = Duration::seconds(30));

  // Runs until this many jobs have neither started nor ended.
  bool awaitPending(uint64_t jobs, Duration patience);

  metrics::Snapshot metricsOf(int member);

  // The number of the leader; 0 if there is none.
  int leader();
  // How often the running members have become leader.
  uint64_t takeoverCount() const;
  bool isRunning(int member) const {
    return Members.at(member).Task != nullptr;
  }
  void kill(int member);
  // Notifies a member that its process is about to stop.
  void notifyLeaving(int member) { Members.at(member).Boxes.Leaving->raise(); }
  // Starts a member again; with an empty disk if `isWiped`.
  void restart(int member, bool isWiped = false);
  void cutOff(int member);
  // Loses all calls of a member to a worker.
  void cutWorker(int member, const std::string &worker) {
    CutWorkers.emplace(member, worker);
  }
  // Loses no calls to workers any more.
  void healWorkers() { CutWorkers.clear(); }
  // From now on, members are busy for as long as their work costs.
  void setCosts(const WorkCosts &costs) { Costs = costs; }

private:
  struct Member {
    control::ControlMailboxes Boxes;
    std::unique_ptr<control::ControlTask> Task;
  };

  Address addressOf(int member) const;
  std::string folderOf(int member) const;
  void start(int member, bool mayBootstrap);
  // Returns a function that yields the cost of the task's work since its last
  // call.
  std::function<Duration()> meterOf(const control::ControlTask &task) const;
  void serveCalls();
  void announceAll();

  ControlCellOptions Options;
  std::string Folder;
  FakeWire Wire;
  PlatformWorkers Workers;
  std::map<int, Member> Members;
  std::set<std::pair<int, std::string>> CutWorkers;
  WorkCosts Costs = {};
};

} // namespace jujube::testing

#endif // TESTING_CONTROL_CELL_H_
