// The tasks of a process that stands in for workers.
//
// Each worker is one task that owns its state, and two that own its
// connections: one keeps a sync pending, the other reports news at once. One
// task owns the run log of the process.
#ifndef TESTING_STANDIN_WORKER_TASKS_H_
#define TESTING_STANDIN_WORKER_TASKS_H_

#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/runtime/supervisor.h"
#include "testing/standin_worker.h"

namespace jujube::testing {

struct WorkerFleetOptions {
  std::vector<StandinWorkerOptions> Workers;
  std::vector<Address> Entries;
  std::string FleetToken;
  // PEM file of the entry hosts' authority; empty for plain HTTP.
  std::string TlsAuthority;
  // Where GET /stats is served.
  Address Stats;
  // Stops syncing then, while tasks go on until their lease ends; never() for
  // not at all.
  Duration SilentAfter = Duration::millis(Instant::never().millis());
  // Longest wait for the reply to a sync.
  Duration SyncTimeout = Duration::seconds(10);
};

// Fails if the address can't be bound.
Result<runtime::Supervisor> workerTree(WorkerFleetOptions options);

} // namespace jujube::testing

#endif // TESTING_STANDIN_WORKER_TASKS_H_
