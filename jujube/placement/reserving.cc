#include "jujube/placement/reserving.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace jujube::placement::internal {
namespace {

// Options of a reservation for which it is worked out when they become free.
constexpr std::size_t MaxTimedCandidates = 256;
// A task that is overdue is expected to run for one in so many parts of its run
// time still.
constexpr int64_t OverdueRunDivisor = 4;
// For room that no running task is known to free.
constexpr Duration UnknownWait = Duration::minutes(60);

// Room for one more task of a reservation on a worker.
struct HoldCandidate {
  uint32_t Slot = NoWorker;
  // What has to become free first, also as a dominant share of the worker.
  Resources Deficit;
  double Missing = 0;
  // When that is expected.
  Duration Wait;
};

// Time until the tasks on the worker that have not been told to stop are
// expected to have freed `deficit`.
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

// Each worker offers as many options as it could hold tasks, each with more
// missing than the one before.
std::vector<HoldCandidate> findHoldCandidates(const PlannerState &state,
                                              const StartNeed &need) {
  std::vector<HoldCandidate> options;
  for (uint32_t slot = 0; slot < state.Workers.size(); ++slot) {
    const WorkerState &worker = state.Workers[slot];
    if (!state.isUsable(worker))
      continue;
    const Resources room = worker.Capacity - worker.Pinned - worker.Held;
    const uint32_t tasks = countFitting(room, need.Size, need.Tasks);
    const Resources coming = state.freeAfterStops(worker);
    for (uint32_t i = 1; i <= tasks; ++i) {
      const Resources deficit = clampedToZero(need.Size * i - coming);
      options.push_back(
          {slot, deficit, dominantShare(deficit, worker.Capacity), Duration()});
    }
  }
  std::ranges::stable_sort(options, {}, &HoldCandidate::Missing);
  return options;
}

// Brings the options that become free soonest to the front, among those that
// miss least.
void sortByWait(const PlannerState &state, std::vector<HoldCandidate> &options,
                Instant now) {
  const auto timed = std::span(options).first(
      std::min<std::size_t>(options.size(), MaxTimedCandidates));
  for (HoldCandidate &option : timed)
    option.Wait =
        expectedWait(state, state.Workers[option.Slot], option.Deficit, now);
  std::ranges::stable_sort(timed, {}, &HoldCandidate::Wait);
}

} // namespace

bool reserveRoom(PlannerState &state, RequestState &request,
                 const StartNeed &need, Instant now) {
  std::vector<HoldCandidate> options = findHoldCandidates(state, need);
  if (options.size() < need.Tasks)
    return false;
  sortByWait(state, options, now);
  options.resize(need.Tasks);
  std::ranges::sort(options, {}, &HoldCandidate::Slot);
  std::vector<Hold> holds;
  for (const HoldCandidate &option : options) {
    if (holds.empty() || holds.back().Slot != option.Slot)
      holds.push_back({option.Slot, Resources{}, now + HoldTime});
    holds.back().Room += need.Size;
  }
  for (const Hold &hold : holds)
    state.hold(request, hold);
  ++state.Counters.Reservations;
  return true;
}

} // namespace jujube::placement::internal
