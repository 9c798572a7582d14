// The attempts of each worker, derived from a zone's journal.
#ifndef JUJUBE_FATE_WORKER_INDEX_H_
#define JUJUBE_FATE_WORKER_INDEX_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "jujube/base/ids.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// An attempt that may be running, as the index sees it.
struct PlacedAttempt {
  const TaskId &Task;
  const AttemptToken &Token;
  const WorkerId &Worker;
  Incarnation Start;
  // The worker said that it started.
  bool IsRunning = false;
  // It is to be stopped for good.
  bool IsStopping = false;
};

// The attempts on one worker.
struct WorkerAttempts {
  absl::btree_set<TaskId> Tasks;
  // How many were offered to which start of the worker.
  absl::btree_map<Incarnation, uint32_t> Starts;
  // Those that are known to run.
  AttemptDigest Running;
  // Those that the worker has to be told to start or stop.
  uint32_t Directed = 0;

  bool operator==(const WorkerAttempts &) const = default;
};

// Not thread-safe; belongs to a FateBook. To change an attempt, remove it as it
// was and add it as it is.
class WorkerIndex {
public:
  void add(const PlacedAttempt &attempt);
  void remove(const PlacedAttempt &attempt);

  // Empty for a worker without attempts.
  const WorkerAttempts &of(const WorkerId &worker) const;
  // Workers that have attempts.
  const absl::btree_map<WorkerId, WorkerAttempts> &all() const { return Rows; }

  bool operator==(const WorkerIndex &) const = default;

private:
  absl::btree_map<WorkerId, WorkerAttempts> Rows;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_WORKER_INDEX_H_
