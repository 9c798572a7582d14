// Attribution of failures: does this worker fail what others run, or does this
// entry fail wherever it runs?
#ifndef JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_
#define JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_

#include <cstdint>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"

namespace jujube::placement::internal {

// Distinct sources of the latest outcomes, bounded in number and in age.
class RecentSources {
public:
  // Records an outcome that involves `source`.
  void add(uint32_t source, Instant now);
  void remove(uint32_t source);
  bool contains(uint32_t source, Instant now) const;
  // Distinct sources within the window.
  uint32_t count(Instant now) const;
  void clear() { Items.clear(); }

private:
  struct Item {
    uint32_t Source;
    Instant At;
  };
  std::vector<Item> Items;
};

// On which workers an entry failed and finished lately.
struct EntryHistory {
  RecentSources FailedOn;
  RecentSources FinishedOn;

  // True if the entry fails on several workers and finishes on fewer.
  bool isSuspect(Instant now) const;
};

enum class WorkerHealth {
  Healthy,
  // Gets no work until its quarantine ends.
  Quarantined,
  // Gets one task at a time until some have finished.
  Probation,
};

inline constexpr NameTable<WorkerHealth, 3> WorkerHealthNames = {{
    {WorkerHealth::Healthy, "healthy"},
    {WorkerHealth::Quarantined, "quarantined"},
    {WorkerHealth::Probation, "probation"},
}};
static_assert(isComplete(WorkerHealthNames));

// What is held against a worker.
struct WorkerHistory {
  WorkerHealth Health = WorkerHealth::Healthy;
  // Failures that are not explained by their entries, less the successes since.
  uint32_t Suspicion = 0;
  uint32_t ProbationSuccesses = 0;
  // Consecutive quarantines; each doubles the next.
  uint32_t Quarantines = 0;
  Instant QuarantinedUntil;
};

// Shortest and longest quarantine.
struct QuarantineBounds {
  Duration Min;
  Duration Max;
};

// Records a failure of `entry` on `worker`. Returns true if the worker has to
// be quarantined.
bool recordFailure(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now);
// Records a success. Returns true if the worker's probation is over.
bool recordSuccess(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now);
// Starts a quarantine, twice as long as the one before.
void quarantine(WorkerHistory &worker, const QuarantineBounds &bounds,
                Instant now);

// min * 2^(n-1), at most max; n counts from 1.
Duration exponentialDelay(Duration min, Duration max, uint32_t n);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_FAILURE_ATTRIBUTION_H_
