// Placement policies: hooks that say in which order work is placed, on which
// worker, and whose work makes room. A policy is chosen by name.
#ifndef JUJUBE_PLACEMENT_POLICY_H_
#define JUJUBE_PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/catalogue/types.h"

namespace jujube::placement {

// Waiting and Packing are meant for use; the others are baselines to measure
// them against.
enum class PolicyName { Waiting, Packing, FifoFirstFit, BestFit };

inline constexpr NameTable<PolicyName, 4> PolicyNameNames = {{
    {PolicyName::Waiting, "waiting"},
    {PolicyName::Packing, "packing"},
    {PolicyName::FifoFirstFit, "fifo_first_fit"},
    {PolicyName::BestFit, "best_fit"},
}};
static_assert(isComplete(PolicyNameNames));

// The head of a lane: the queue of one team's catalogue entry.
struct LaneView {
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
  catalogue::Urgency Priority = catalogue::Urgency::Normal;
  // Dominant share of the team's reservations, divided by its share weight.
  double WeightedShare = 0;
};

// What is known of the size of an entry's tasks.
struct SizeView {
  Resources Ask;
  // Highest measured use, slowly forgotten; valid once Samples is not 0.
  Resources Peak;
  uint64_t Samples = 0;
  bool CanThrottle = false;
};

// A request in the queue.
struct QueuedView {
  Instant AcceptedAt;
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
  uint32_t Tasks = 1;
  // Tasks that have been placed.
  uint32_t Placed = 0;
  // Learned run time of the entry, else the declared one; zero if unknown.
  Duration ExpectedRun;
};

// A worker that has room for a task.
struct CandidateView {
  // Position in the zone's stable order of workers.
  uint32_t Slot = 0;
  Resources Capacity;
  // Room left after the task.
  Resources FreeAfter;
  Resources Ask;
  // Tasks of the same request on the same worker and on the same rack.
  uint32_t OnWorker = 0;
  uint32_t OnRack = 0;
  // True if an earlier attempt of the task failed on this worker.
  bool FailedHere = false;
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
};

// A running task that could make room for waiting work.
struct PreemptView {
  catalogue::Urgency ClaimantPriority = catalogue::Urgency::Normal;
  catalogue::Urgency VictimPriority = catalogue::Urgency::Normal;
  catalogue::WorkClass VictimClass = catalogue::WorkClass::Batch;
  // Dominant share over the fair part among the teams with work; 1 is fair.
  double ClaimantShare = 0;
  double VictimShare = 0;
  bool VictimCanCheckpoint = false;
  bool VictimIsIdempotent = true;
  Duration ClaimantWaited;
  Duration VictimRan;
};

// What varies between policies.
struct PlacementHooks {
  // The lane with the lowest rank is served first; ties go to the lower order
  // key.
  std::function<double(const LaneView &)> Rank;
  // Order among requests; lower goes first. A key that grows with the instant
  // of acceptance keeps every request from starving.
  std::function<int64_t(const QueuedView &)> OrderKey;
  // What to reserve for a task. Less than the ask only for work that can be
  // throttled.
  std::function<Resources(const SizeView &)> ReserveSize;
  // The candidate with the lowest score gets the task.
  std::function<double(const CandidateView &)> Score;
  // True if the victim may be stopped for the claimant.
  std::function<bool(const PreemptView &)> MayPreempt;
  // Where in the order of `slots` workers the search starts, given a random
  // number.
  std::function<uint32_t(uint64_t random, uint32_t slots)> SearchStart;
};

// The hooks of a policy.
PlacementHooks hooksFor(PolicyName name);

} // namespace jujube::placement

#endif // JUJUBE_PLACEMENT_POLICY_H_
