#include "jujube/fate/worker_index.h"

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

bool needsDirective(const PlacedAttempt &attempt) {
  return !attempt.IsRunning || attempt.IsStopping;
}

} // namespace

void WorkerIndex::add(const PlacedAttempt &attempt) {
  WorkerAttempts &attempts = Workers[attempt.Worker];
  attempts.Tasks.insert(attempt.Task);
  ++attempts.AttemptsByIncarnation[attempt.WorkerIncarnation];
  if (attempt.IsRunning)
    addAttempt(attempts.Running, attempt.Task, attempt.Token);
  if (needsDirective(attempt))
    ++attempts.NeedingDirective;
}

void WorkerIndex::remove(const PlacedAttempt &attempt) {
  const auto it = Workers.find(attempt.Worker);
  WorkerAttempts &attempts = it->second;
  attempts.Tasks.erase(attempt.Task);
  if (attempts.Tasks.empty()) {
    Workers.erase(it);
    return;
  }
  const auto start =
      attempts.AttemptsByIncarnation.find(attempt.WorkerIncarnation);
  if (--start->second == 0)
    attempts.AttemptsByIncarnation.erase(start);
  if (attempt.IsRunning)
    removeAttempt(attempts.Running, attempt.Task, attempt.Token);
  if (needsDirective(attempt))
    --attempts.NeedingDirective;
}

const WorkerAttempts &WorkerIndex::of(const WorkerId &worker) const {
  static const WorkerAttempts None;
  const auto it = Workers.find(worker);
  return it == Workers.end() ? None : it->second;
}

} // namespace jujube::fate
