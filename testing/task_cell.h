// The tasks of a whole cell on a fake wire: one keeper, and schedulers, an
// entry host and workers in each availability zone.
#ifndef TESTING_TASK_CELL_H_
#define TESTING_TASK_CELL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/result.h"
#include "jujube/entry/entry_task.h"
#include "jujube/keeper/fleet_task.h"
#include "jujube/zone/zone_task.h"
#include "testing/fake_wire.h"
#include "testing/standin_run_log.h"
#include "testing/task_worker.h"

namespace jujube::testing {

struct TaskCellOptions {
  std::vector<std::string> Zones = {"temeke", "ubungo"};
  int SchedulersPerZone = 1;
  int WorkersPerZone = 2;
  // Ceiling of the team "events".
  Resources Ceiling{8000, 1 << 20, 0};
  uint64_t Seed = 1;
};

class TaskCell {
public:
  // Starts the cell; creates the team "events" with the keys Kept and Spare,
  // and the entries "invoices" and the urgent "callouts", whose tasks ask for
  // one processor. Fails if the cell does not serve within 30 s of the wire's
  // clock.
  static Result<std::unique_ptr<TaskCell>> start(TaskCellOptions options);
  ~TaskCell();

  FakeWire &wire() { return Wire; }
  // Work in all zones, as recorded by the workers.
  const RunLog &log() const { return Log; }

  // Executes a command at the zone's entry host; fails without an answer
  // within 30 s of the wire's clock.
  Result<api::Reply> execute(const std::string &zone, api::Command command);
  Result<fate::FateView> submit(const std::string &zone, const std::string &id,
                                const std::string &entry,
                                const std::string &payload,
                                const std::string &key);
  Result<fate::FateView> fate(const std::string &zone, const std::string &id,
                              Duration wait);
  Result<api::EditReceipt> edit(const std::string &zone,
                                const catalogue::Change &change,
                                Revision base = Revision{});
  api::FleetStatus status(const std::string &zone);

  // Cuts a zone's processes off from all others.
  void cutOff(const std::string &zone);
  // The scheduler that leads the zone; port 0 if none is known.
  Address leaderOf(const std::string &zone);
  void kill(const Address &scheduler);

  static const std::string Kept;
  static const std::string Spare;

private:
  struct Scheduler {
    Address At;
    HostId Host;
    std::unique_ptr<zone::ZoneTask> Task;
  };
  struct Zone {
    std::vector<Scheduler> Schedulers;
    Address EntryAt;
    std::unique_ptr<entry::EntryTask> Entry;
    std::vector<Address> WorkersAt;
    std::vector<std::unique_ptr<TaskWorker>> Workers;
  };

  explicit TaskCell(TaskCellOptions options);

  Status startKeeper();
  Status startZone(const std::string &name, int number);
  Status startEntry(const std::string &name, Zone &zone);
  void startWorker(const std::string &name, Zone &zone, int number);
  Status prepare();

  TaskCellOptions Options;
  std::string Folder;
  FakeWire Wire;
  RunLog Log;
  Address KeeperAt;
  std::unique_ptr<keeper::FleetTask> Keeper;
  std::map<std::string, Zone> Zones;
  int LastEdit = 0;
};

} // namespace jujube::testing

#endif // TESTING_TASK_CELL_H_
