// The tasks of a control group on a fake wire, with stand-ins of the platform's
// workers behind the platform's own protocol.
#ifndef TESTING_CONTROL_CELL_H_
#define TESTING_CONTROL_CELL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/control/control_task.h"
#include "testing/fake_wire.h"
#include "testing/platform_workers.h"

namespace jujube::testing {

struct ControlCellOptions {
  int Members = 3;
  int Workers = 3;
  // Tasks that fit on one worker.
  int64_t TasksPerWorker = 2;
  uint64_t Seed = 1;
};

// Members are numbered from 1.
class ControlCell {
public:
  // Starts the cell, puts a configuration and lets the workers announce
  // themselves.
  explicit ControlCell(ControlCellOptions options);
  ~ControlCell();

  FakeWire &wire() { return Wire; }
  PlatformWorkers &workers() { return Workers; }

  // Executes a command at a member, which passes it on if it does not lead;
  // fails if it is not answered within the timeout.
  Result<jobs::Reply> execute(int member, const jobs::Command &command,
                              Duration timeout = Duration::seconds(3));
  // At a member that answers.
  Result<jobs::Reply> execute(const jobs::Command &command);
  // A job of one step, whose tasks run for `ms`.
  Status submit(const std::string &id, uint32_t tasks, int ms);
  Status submit(const jobs::JobSpec &job);
  // The job's state, or the name of the error.
  std::string stateOf(const std::string &id);
  // Runs until the job has this state.
  bool awaitState(const std::string &id, const std::string &state,
                  Duration patience = Duration::seconds(30));

  metrics::Snapshot metricsOf(int member);

  // The member that leads; 0 if none does.
  int leader();
  void kill(int member);
  // Tells a member that its process is about to stop.
  void tellToLeave(int member) { Members.at(member).Boxes.Leaving->raise(); }
  // Starts a member again; with an empty disk if `isWiped`.
  void restart(int member, bool isWiped = false);
  void cutOff(int member);

private:
  struct Member {
    control::ControlMailboxes Boxes;
    std::unique_ptr<control::ControlTask> Task;
  };

  Address addressOf(int member) const;
  std::string folderOf(int member) const;
  void start(int member, bool mayFound);
  void serveCalls();
  void announceAll();

  ControlCellOptions Options;
  std::string Folder;
  FakeWire Wire;
  PlatformWorkers Workers;
  std::map<int, Member> Members;
};

} // namespace jujube::testing

#endif // TESTING_CONTROL_CELL_H_
