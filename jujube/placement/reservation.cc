#include "jujube/placement/reservation.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace jujube::placement::internal {
namespace {

// Most candidates for which the expected wait is computed.
constexpr std::size_t MaxTimedCandidates = 256;
// The remaining run time of a task, also of an overdue task, is taken as at
// least its expected run time divided by this number.
constexpr int64_t OverdueRunDivisor = 4;
// Assumed for capacity that no running task is expected to free.
constexpr Duration UnknownWait = Duration::minutes(60);

// A worker's capacity for one more task of a reservation.
struct HoldCandidate {
  uint32_t Slot = NoWorker;
  // Resources that have to become free first, and their dominant share of the
  // worker.
  Resources Deficit;
  double Missing = 0;
  // Expected time until they are free.
  Duration Wait;
};

// Expected time until the running tasks on the worker, without those told to
// stop, have freed `deficit`.
Duration expectedWait(const PlannerState &state, const WorkerState &worker,
                      const Resources &deficit, Instant now) {
  std::vector<std::pair<Duration, Resources>> ends;
  for (const TaskRef &ref : worker.Tasks) {
    const TaskState &task = ref.Request->Tasks[ref.Index];
    if (task.IsStopping || !ref.Request->runsToCompletion())
      continue;
    const Duration run = state.expectedRun(*ref.Request);
    ends.emplace_back(std::max(task.Since + run - now, run / OverdueRunDivisor),
                      task.Reserved);
  }
  std::ranges::sort(ends, {}, &std::pair<Duration, Resources>::first);
  Resources missing = deficit;
  Duration wait;
  for (const auto &[left, size] : ends) {
    if (missing.fitsIn(Resources{}))
      return wait;
    missing -= size;
    wait = left;
  }
  return missing.fitsIn(Resources{}) ? wait : UnknownWait;
}

// Returns one candidate for each task that a worker could hold; on one worker,
// the deficit grows from candidate to candidate. The result is sorted by
// deficit.
std::vector<HoldCandidate> findHoldCandidates(const PlannerState &state,
                                              const StartNeed &need) {
  std::vector<HoldCandidate> candidates;
  for (uint32_t slot = 0; slot < state.Workers.size(); ++slot) {
    const WorkerState &worker = state.Workers[slot];
    if (!state.isUsable(worker))
      continue;
    const Resources capacity = worker.Capacity - worker.Pinned - worker.Held;
    const uint32_t tasks = countFitting(capacity, need.Size, need.Tasks);
    const Resources available = state.freeAfterStops(worker);
    for (uint32_t i = 1; i <= tasks; ++i) {
      const Resources deficit = clampedToZero(need.Size * i - available);
      candidates.push_back(
          {slot, deficit, dominantShare(deficit, worker.Capacity), Duration()});
    }
  }
  std::ranges::stable_sort(candidates, {}, &HoldCandidate::Missing);
  return candidates;
}

// Sorts the candidates with the smallest deficits by expected wait.
void sortByWait(const PlannerState &state,
                std::vector<HoldCandidate> &candidates, Instant now) {
  const auto timed =
      std::span(candidates)
          .first(std::min<std::size_t>(candidates.size(), MaxTimedCandidates));
  for (HoldCandidate &candidate : timed)
    candidate.Wait = expectedWait(state, state.Workers[candidate.Slot],
                                  candidate.Deficit, now);
  std::ranges::stable_sort(timed, {}, &HoldCandidate::Wait);
}

} // namespace

bool reserveCapacity(PlannerState &state, RequestState &request,
                     const StartNeed &need, Instant now) {
  std::vector<HoldCandidate> candidates = findHoldCandidates(state, need);
  if (candidates.size() < need.Tasks)
    return false;
  sortByWait(state, candidates, now);
  candidates.resize(need.Tasks);
  std::ranges::sort(candidates, {}, &HoldCandidate::Slot);
  std::vector<Hold> holds;
  for (const HoldCandidate &candidate : candidates) {
    if (holds.empty() || holds.back().Slot != candidate.Slot)
      holds.push_back({candidate.Slot, Resources{}, now + HoldTime});
    holds.back().Amount += need.Size;
  }
  for (const Hold &hold : holds)
    state.hold(request, hold);
  ++state.Counters.Reservations;
  return true;
}

} // namespace jujube::placement::internal
