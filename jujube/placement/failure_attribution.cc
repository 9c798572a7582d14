#include "jujube/placement/failure_attribution.h"

#include <algorithm>

namespace jujube::placement::internal {
namespace {

// Older outcomes are not evidence of a current fault.
constexpr Duration OutcomeWindow = Duration::minutes(5);
constexpr std::size_t MaxRecentSources = 32;
// An entry is suspect once it failed on this many distinct workers.
constexpr uint32_t SuspectWorkers = 3;
// Failures not attributed to an entry that quarantine a worker.
constexpr uint32_t QuarantineSuspicion = 3;
// Finished tasks that end a probation.
constexpr uint32_t ProbationLength = 3;
constexpr uint32_t MaxDoublings = 20;

} // namespace

void RecentSources::add(uint32_t source, Instant now) {
  remove(source);
  if (Items.size() >= MaxRecentSources)
    Items.erase(Items.begin());
  Items.push_back({source, now});
}

void RecentSources::remove(uint32_t source) {
  std::erase_if(Items,
                [source](const Item &item) { return item.Source == source; });
}

bool RecentSources::contains(uint32_t source, Instant now) const {
  return std::ranges::any_of(Items, [&](const Item &item) {
    return item.Source == source && now - item.At <= OutcomeWindow;
  });
}

uint32_t RecentSources::count(Instant now) const {
  return static_cast<uint32_t>(
      std::ranges::count_if(Items, [now](const Item &item) {
        return now - item.At <= OutcomeWindow;
      }));
}

bool EntryHistory::isSuspect(Instant now) const {
  const uint32_t failed = FailedOn.count(now);
  return failed >= SuspectWorkers && FinishedOn.count(now) < failed;
}

bool recordFailure(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now) {
  entry.FinishedOn.remove(slot);
  // While an entry finishes nowhere, its repeated failures on one worker count
  // once against the worker.
  const bool isRepeated =
      entry.FailedOn.contains(slot, now) && entry.FinishedOn.count(now) == 0;
  entry.FailedOn.add(slot, now);
  if (entry.isSuspect(now))
    return false;
  if (!isRepeated)
    ++worker.Suspicion;
  return worker.Health == WorkerHealth::Probation ||
         (worker.Health == WorkerHealth::Healthy &&
          worker.Suspicion >= QuarantineSuspicion);
}

bool recordSuccess(WorkerHistory &worker, EntryHistory &entry, uint32_t slot,
                   Instant now) {
  entry.FailedOn.remove(slot);
  entry.FinishedOn.add(slot, now);
  worker.Suspicion -= std::min(worker.Suspicion, 1U);
  if (worker.Health != WorkerHealth::Probation ||
      ++worker.ProbationSuccesses < ProbationLength)
    return false;
  worker = WorkerHistory{};
  return true;
}

void quarantine(WorkerHistory &worker, const QuarantineBounds &bounds,
                Instant now) {
  ++worker.Quarantines;
  worker.Health = WorkerHealth::Quarantined;
  worker.ProbationSuccesses = 0;
  worker.Suspicion = 0;
  worker.QuarantinedUntil =
      now + exponentialDelay(bounds.Min, bounds.Max, worker.Quarantines);
}

Duration exponentialDelay(Duration min, Duration max, uint32_t n) {
  const uint32_t doublings = std::min(n > 0 ? n - 1 : 0, MaxDoublings);
  return std::min(min * (int64_t{1} << doublings), max);
}

} // namespace jujube::placement::internal
