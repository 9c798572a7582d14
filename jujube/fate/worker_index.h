// Index of the attempts on each worker, derived from a zone's journal.
#ifndef JUJUBE_FATE_WORKER_INDEX_H_
#define JUJUBE_FATE_WORKER_INDEX_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "jujube/base/ids.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// The properties of an attempt that the index depends on. The attempt may be
// running. The references must outlive the call that takes this struct.
struct PlacedAttempt {
  const TaskId &Task;
  const AttemptToken &Token;
  const WorkerId &Worker;
  Incarnation WorkerIncarnation;
  // True if the worker reported that the attempt started.
  bool IsRunning = false;
  // True if the attempt's request is being stopped.
  bool IsStopping = false;
};

// The attempts on one worker that may be running.
struct WorkerAttempts {
  absl::btree_set<TaskId> Tasks;
  // Number of attempts offered to each incarnation of the worker.
  absl::btree_map<Incarnation, uint32_t> AttemptsByIncarnation;
  // Digest of the attempts that are known to be running.
  AttemptDigest Running;
  // Number of attempts that need a start or stop directive.
  uint32_t NeedingDirective = 0;

  bool operator==(const WorkerAttempts &) const = default;
};

// Maps each worker to its attempts. Owned by a FateStateMachine; not
// thread-safe. To change an indexed attempt, remove() it with its old
// properties and add() it with its new ones.
class WorkerIndex {
public:
  void add(const PlacedAttempt &attempt);
  void remove(const PlacedAttempt &attempt);

  // Returns an empty record for a worker without attempts.
  const WorkerAttempts &of(const WorkerId &worker) const;
  // Returns the workers that have attempts.
  const absl::btree_map<WorkerId, WorkerAttempts> &all() const {
    return Workers;
  }

  bool operator==(const WorkerIndex &) const = default;

private:
  absl::btree_map<WorkerId, WorkerAttempts> Workers;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_WORKER_INDEX_H_
