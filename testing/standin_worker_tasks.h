// The tasks of a process that emulates workers.
//
// Each worker is one task that owns its state, and two that own its
// connections: one keeps a sync pending, the other reports changes at once. One
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
  // The address that serves GET /stats.
  Address Stats;
  // Time after which the workers stop syncing, while their tasks run until the
  // lease ends; never() to disable.
  Duration SilentAfter = Duration::millis(Instant::never().millis());
  // Timeout for the reply to a sync.
  Duration SyncTimeout = Duration::seconds(10);
};

// Fails if the address can't be bound.
Result<runtime::Supervisor> workerTree(WorkerFleetOptions options);

} // namespace jujube::testing

#endif // TESTING_STANDIN_WORKER_TASKS_H_
