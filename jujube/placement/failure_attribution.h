// Failure attribution: decides whether a failure is the fault of the worker or
// of the catalogue entry, and keeps the quarantine state of workers.
#ifndef JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_
#define JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_

#include <cstdint>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"

namespace jujube::placement::internal {

// The distinct sources (workers) of recent outcomes, limited in number and age.
// A new outcome of a source replaces its older one.
class RecentSources {
public:
  // Records an outcome of `source`; drops the oldest source if the set is full.
  void add(uint32_t source, Instant now);
  void remove(uint32_t source);
  bool contains(uint32_t source, Instant now) const;
  // The number of sources whose outcome is recent at `now`.
  uint32_t count(Instant now) const;
  void clear() { Items.clear(); }

private:
  struct Item {
    uint32_t Source;
    Instant At;
  };
  std::vector<Item> Items;
};

// The workers on which an entry recently failed and finished.
struct EntryHistory {
  RecentSources FailedOn;
  RecentSources FinishedOn;

  // True if the entry fails on several workers and finishes on fewer: then the
  // entry is at fault, not the workers.
  bool isSuspect(Instant now) const;
};

enum class WorkerHealth {
  Healthy,
  // Gets no work until the quarantine ends.
  Quarantined,
  // Gets one task at a time until a few tasks have finished.
  Probation,
};

inline constexpr NameTable<WorkerHealth, 3> WorkerHealthNames = {{
    {WorkerHealth::Healthy, "healthy"},
    {WorkerHealth::Quarantined, "quarantined"},
    {WorkerHealth::Probation, "probation"},
}};
static_assert(isComplete(WorkerHealthNames));

// The failures attributed to a worker, and the quarantine that results.
struct WorkerHistory {
  WorkerHealth Health = WorkerHealth::Healthy;
  // Failures not attributed to an entry, less later successes.
  uint32_t Suspicion = 0;
  uint32_t ProbationSuccesses = 0;
  // Consecutive quarantines; each quarantine doubles the length of the next.
  uint32_t Quarantines = 0;
  Instant QuarantinedUntil;
};

// The shortest and the longest quarantine.
struct QuarantineBounds {
  Duration Min;
  Duration Max;
};

// Records a failure of `entry` on `worker`, which has index `slot`. Returns
// true if the worker must be quarantined.
bool recordFailure(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now);
// Records a success of `entry` on `worker`. Returns true if the success ends
// the worker's probation.
bool recordSuccess(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now);
// Quarantines the worker for twice as long as the previous time, within
// `bounds`.
void quarantine(WorkerHistory &worker, const QuarantineBounds &bounds,
                Instant now);

// The n-th delay of an exponential backoff: min * 2^(n-1), at most `max`; n
// counts from 1.
Duration exponentialDelay(Duration min, Duration max, uint32_t n);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_
