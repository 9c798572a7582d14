#include "jujube/fate/worker_index.h"

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

bool isDirected(const PlacedAttempt &attempt) {
  return !attempt.IsRunning || attempt.IsStopping;
}

} // namespace

void WorkerIndex::add(const PlacedAttempt &attempt) {
  WorkerAttempts &row = Rows[attempt.Worker];
  row.Tasks.insert(attempt.Task);
  ++row.Starts[attempt.Start];
  if (attempt.IsRunning)
    addAttempt(row.Running, attempt.Task, attempt.Token);
  if (isDirected(attempt))
    ++row.Directed;
}

void WorkerIndex::remove(const PlacedAttempt &attempt) {
  const auto it = Rows.find(attempt.Worker);
  WorkerAttempts &row = it->second;
  row.Tasks.erase(attempt.Task);
  if (row.Tasks.empty()) {
    Rows.erase(it);
    return;
  }
  const auto start = row.Starts.find(attempt.Start);
  if (--start->second == 0)
    row.Starts.erase(start);
  if (attempt.IsRunning)
    removeAttempt(row.Running, attempt.Task, attempt.Token);
  if (isDirected(attempt))
    --row.Directed;
}

const WorkerAttempts &WorkerIndex::of(const WorkerId &worker) const {
  static const WorkerAttempts None;
  const auto it = Rows.find(worker);
  return it == Rows.end() ? None : it->second;
}

} // namespace jujube::fate
