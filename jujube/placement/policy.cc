#include "jujube/placement/policy.h"

#include <algorithm>
#include <cmath>

namespace jujube::placement {
namespace {

using catalogue::Urgency;
using catalogue::WorkClass;

// Urgent lanes rank below every share.
constexpr double UrgentRank = -1;
// Short work goes first: a request is ordered as if it had been accepted later
// by its expected total run time (the tasks of a gang run in parallel). The
// bound on this penalty prevents starvation of large requests.
constexpr Duration MaxWorkPenalty = Duration::minutes(15);
// A gang is ordered as if it had been accepted this much earlier, as it takes
// time to gather capacity for a whole gang.
constexpr Duration GangHeadStart = Duration::minutes(10);
// Hysteresis of preemption for fair shares: the claimant's team must be below
// and the victim's team above its fair share by this fraction, the claimant
// must have waited and the victim must have run for a minimum time. A narrow
// band follows the shares more closely and costs more checkpoints.
constexpr double WideShareBand = 0.1;
constexpr double NarrowShareBand = 0.02;
constexpr Duration ClaimantMinWait = Duration::seconds(2);
constexpr Duration VictimMinRun = Duration::seconds(10);
// Measurements that an entry needs before its learned size is used.
constexpr uint64_t MinSamples = 8;
// Safety margin over the highest measured use.
constexpr double SizeMargin = 1.15;
// Tasks that can be throttled get at least this fraction of the processor time
// that they ask for.
constexpr double MinGrantFraction = 0.25;

// Score penalties. They are large compared with the packing terms, which lie in
// [0, 3].
constexpr double FailedHerePenalty = 1000;
constexpr double SameWorkerPenalty = 100;
constexpr double SameRackPenalty = 10;

double fairRank(const LaneView &lane) {
  return lane.Priority == Urgency::Urgent ? UrgentRank : lane.WeightedShare;
}

double equalRank(const LaneView &) { return 0; }

int64_t acceptedFirst(const QueuedView &work) {
  return work.AcceptedAt.millis();
}

int64_t gangsFirst(const QueuedView &work) {
  const Duration lead =
      work.Class == WorkClass::Gang ? GangHeadStart : Duration();
  return (work.AcceptedAt - lead).millis();
}

int64_t shortWorkFirst(const QueuedView &work) {
  const Duration total = work.Class == WorkClass::Gang
                             ? work.ExpectedRun
                             : work.ExpectedRun * work.Tasks;
  return (work.AcceptedAt + std::min(total, MaxWorkPenalty)).millis();
}

double ratio(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                   : 0.0;
}

// Spreads the tasks of a service over workers and racks.
double spreadPenalty(const CandidateView &worker) {
  const double failed = worker.FailedHere ? FailedHerePenalty : 0;
  if (worker.Class != WorkClass::Service)
    return failed;
  return failed + SameWorkerPenalty * worker.OnWorker +
         SameRackPenalty * worker.OnRack;
}

double freeFraction(const CandidateView &worker) {
  return ratio(worker.FreeAfter.MilliCpu, worker.Capacity.MilliCpu) +
         ratio(worker.FreeAfter.MemoryMb, worker.Capacity.MemoryMb) +
         ratio(worker.FreeAfter.Accelerators, worker.Capacity.Accelerators);
}

// Difference between the free fractions of processor time and memory: neither
// can be used without the other.
double imbalance(const CandidateView &worker) {
  return std::abs(ratio(worker.FreeAfter.MilliCpu, worker.Capacity.MilliCpu) -
                  ratio(worker.FreeAfter.MemoryMb, worker.Capacity.MemoryMb));
}

// Keeps tasks that need no accelerator off workers with a free accelerator.
double acceleratorWaste(const CandidateView &worker) {
  return worker.Ask.Accelerators == 0 && worker.FreeAfter.Accelerators > 0 ? 3
                                                                           : 0;
}

double scorePacking(const CandidateView &worker) {
  return spreadPenalty(worker) + acceleratorWaste(worker) +
         freeFraction(worker) + imbalance(worker);
}

double scoreBestFit(const CandidateView &worker) {
  return freeFraction(worker);
}

double scoreFirstFit(const CandidateView &worker) { return worker.Slot; }

// True if the victim can be restarted elsewhere.
bool canRestartElsewhere(const PreemptView &view) {
  return view.VictimClass != WorkClass::Service &&
         view.VictimPriority == Urgency::Normal &&
         (view.VictimCanCheckpoint ||
          (view.VictimIsIdempotent && view.VictimClass == WorkClass::Batch));
}

bool mayPreemptWithBand(const PreemptView &view, double band) {
  if (!canRestartElsewhere(view))
    return false;
  if (view.ClaimantPriority == Urgency::Urgent)
    return true;
  return view.VictimCanCheckpoint && view.ClaimantShare < 1 - band &&
         view.VictimShare > 1 + band &&
         view.ClaimantWaited >= ClaimantMinWait &&
         view.VictimRan >= VictimMinRun;
}

bool preemptOutsideWideBand(const PreemptView &view) {
  return mayPreemptWithBand(view, WideShareBand);
}

bool preemptOutsideNarrowBand(const PreemptView &view) {
  return mayPreemptWithBand(view, NarrowShareBand);
}

bool neverPreempt(const PreemptView &) { return false; }

Resources scaled(const Resources &r, double factor) {
  const auto up = [factor](int64_t n) {
    return static_cast<int64_t>(std::ceil(static_cast<double>(n) * factor));
  };
  return {up(r.MilliCpu), up(r.MemoryMb), r.Accelerators};
}

Resources learnedSize(const SizeView &size) {
  if (size.Samples < MinSamples)
    return size.Ask;
  const Resources measured = scaled(size.Peak, SizeMargin);
  Resources reserve = maxOf(size.Ask, measured);
  reserve.Accelerators = size.Ask.Accelerators;
  // Only processor time can be throttled; memory is never reclaimed.
  if (size.CanThrottle)
    reserve.MilliCpu = std::max(measured.MilliCpu,
                                scaled(size.Ask, MinGrantFraction).MilliCpu);
  return reserve;
}

Resources declaredSize(const SizeView &size) { return size.Ask; }

uint32_t randomStart(uint64_t random, uint32_t slots) {
  return slots > 0 ? static_cast<uint32_t>(random % slots) : 0;
}

uint32_t firstSlot(uint64_t, uint32_t) { return 0; }

} // namespace

PlacementHooks hooksFor(PolicyName name) {
  switch (name) {
  case PolicyName::Waiting:
    return {fairRank,     shortWorkFirst,         learnedSize,
            scorePacking, preemptOutsideWideBand, randomStart};
  case PolicyName::Packing:
    return {fairRank,
            gangsFirst,
            learnedSize,
            scorePacking,
            preemptOutsideNarrowBand,
            firstSlot};
  case PolicyName::FifoFirstFit:
    return {equalRank,     acceptedFirst, declaredSize,
            scoreFirstFit, neverPreempt,  firstSlot};
  case PolicyName::BestFit:
    return {equalRank,    acceptedFirst, declaredSize,
            scoreBestFit, neverPreempt,  firstSlot};
  }
  return hooksFor(PolicyName::Waiting);
}

} // namespace jujube::placement
