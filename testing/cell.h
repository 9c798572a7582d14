// Runs a cell of real processes on loopback, for failure tests.
#ifndef TESTING_CELL_H_
#define TESTING_CELL_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/address.h"
#include "jujube/base/result.h"
#include "jujube/http/client.h"

namespace jujube::testing {

struct CellOptions {
  std::vector<std::string> Zones = {"san-fernando"};
  int HostsPerZone = 3;
  // Workers and runners that each zone's stand-in emulates; 0 for no stand-in.
  int WorkersPerZone = 2;
  int RunnersPerZone = 0;
  int RunnerMeanMs = 20;
};

// Processes are called keeper-N, zone-ZONE-N, entry-ZONE-N, workers-ZONE and
// runners-ZONE, with N from 1. All are killed when the cell is destroyed.
class Cell {
public:
  // Starts the cell, and creates team "events" with a key and the entries
  // "invoices" (batch), "refunds" (batch, not idempotent), "crew" (gang) and
  // "yard-desk" (service). Fails if it does not serve within a minute.
  static Result<std::unique_ptr<Cell>> start(CellOptions options);
  ~Cell();

  // Sends a signal to a process. After SIGKILL, waits until it has ended.
  void signal(const std::string &process, int number);
  // Requests an orderly shutdown and returns the exit code.
  int stop(const std::string &process);
  // Starts a process again with the same settings.
  void restart(const std::string &process);
  // The process that leads the zone's group; empty if the group has no leader.
  std::string leaderOf(const std::string &zone);

  // Returns a client of the given entry hosts, or of all if the list is empty.
  http::Client client(const std::vector<std::string> &entries = {}) const;

  Result<fate::FateView> submit(const std::string &id, const std::string &entry,
                                const std::string &payload, uint32_t tasks = 1);
  // Waits up to `wait` for the end of the request.
  Result<fate::FateView> fate(const std::string &id,
                              Duration wait = Duration());
  Result<api::LiveAnswer> call(const std::string &id,
                               const std::string &payload,
                               const std::string &entryHost = "");
  Result<api::EditReceipt> edit(const catalogue::Edit &edit,
                                const std::string &entryHost = "");
  Result<catalogue::Contents> catalogue(const std::string &entryHost);
  Result<api::FleetStatus> status(const std::string &entryHost = "");
  // GET /stats of a stand-in.
  Result<std::string> stats(const std::string &standIn);

  // The process id; 0 if the process has been stopped.
  pid_t pidOf(const std::string &process) const;
  // The folder that holds a keeper's journal.
  std::string dataFolder(const std::string &keeper) const;
  // Everything that a process has logged so far.
  std::string logOf(const std::string &process) const;
  // Waits up to a minute until a process ends by itself and returns its exit
  // code; -1 if a signal ended it, empty if it still runs.
  std::optional<int> awaitEnd(const std::string &process);

  const std::string &key() const { return PresentedKey; }
  void useKey(std::string key) { PresentedKey = std::move(key); }

private:
  struct Process {
    std::vector<std::string> Args;
    pid_t Pid = 0;
    int EndStatus = 0;
    Address Listen;
    Address Http;
  };

  explicit Cell(CellOptions options);

  void plan();
  void planZone(const std::string &zone, const std::string &keepers);
  void planStandIns(const std::string &zone, const std::string &entries);
  Status prepare();
  // Like eventually(), but returns false at once if a process ends by itself.
  bool eventuallyWhileAllRun(const std::function<bool()> &isTrue);
  std::string writeSecret(const std::string &name);
  // True if the process has ended without a request to do so.
  static bool hasEnded(Process &process);
  void reportUnexpectedEnd(const std::string &name) const;
  void reap(Process &process);
  template <typename T>
  Result<T> send(const http::HttpCall &call, const std::string &entryHost);

  CellOptions Options;
  std::string Folder;
  std::string FleetToken;
  std::string OperatorToken;
  std::string PresentedKey;
  std::map<std::string, Process> Processes;
  std::vector<std::string> StartOrder;
};

// Calls `isTrue` until it returns true or a minute has passed; returns whether
// it did.
bool eventually(const std::function<bool()> &isTrue);

} // namespace jujube::testing

#endif // TESTING_CELL_H_
