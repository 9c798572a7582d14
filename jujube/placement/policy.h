// Placement policies. A policy is a set of hooks that decide the order in which
// work is placed, the worker for each task, and the tasks that may be
// preempted. Policies are selected by name.
#ifndef JUJUBE_PLACEMENT_POLICY_H_
#define JUJUBE_PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/catalogue/types.h"

namespace jujube::placement {

// Waiting and Packing are for production; FifoFirstFit and BestFit are
// baselines for comparison.
enum class PolicyName { Waiting, Packing, FifoFirstFit, BestFit };

inline constexpr NameTable<PolicyName, 4> PolicyNameNames = {{
    {PolicyName::Waiting, "waiting"},
    {PolicyName::Packing, "packing"},
    {PolicyName::FifoFirstFit, "fifo_first_fit"},
    {PolicyName::BestFit, "best_fit"},
}};
static_assert(isComplete(PolicyNameNames));

// The first request of a lane, the queue of one team's catalogue entry.
struct LaneView {
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
  catalogue::Urgency Priority = catalogue::Urgency::Normal;
  // Dominant share of the team's reservations, divided by the team's weight.
  double WeightedShare = 0;
};

// Declared and measured size of an entry's tasks.
struct SizeView {
  Resources Ask;
  // Highest measured use, with slow decay; valid only if Samples is not 0.
  Resources Peak;
  uint64_t Samples = 0;
  bool CanThrottle = false;
};

// A queued request.
struct QueuedView {
  Instant AcceptedAt;
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
  uint32_t Tasks = 1;
  // Tasks that are placed or finished.
  uint32_t Placed = 0;
  // Average run time of the entry's finished tasks, else the declared run time;
  // zero if neither is known.
  Duration ExpectedRun;
};

// A worker with enough free capacity for a task.
struct CandidateView {
  // Index of the worker in the zone; it never changes.
  uint32_t Slot = 0;
  Resources Capacity;
  // Free capacity after the task is placed.
  Resources FreeAfter;
  Resources Ask;
  // Placed tasks of the same request on the same worker and on the same rack.
  uint32_t OnWorker = 0;
  uint32_t OnRack = 0;
  // True if the task's last failed or refused attempt was on this worker.
  bool FailedHere = false;
  catalogue::WorkClass Class = catalogue::WorkClass::Batch;
};

// A running task that could be preempted for waiting work.
struct PreemptView {
  catalogue::Urgency ClaimantPriority = catalogue::Urgency::Normal;
  catalogue::Urgency VictimPriority = catalogue::Urgency::Normal;
  catalogue::WorkClass VictimClass = catalogue::WorkClass::Batch;
  // Dominant share divided by the team's fair share among the teams with work;
  // 1 is exactly fair.
  double ClaimantShare = 0;
  double VictimShare = 0;
  bool VictimCanCheckpoint = false;
  bool VictimIsIdempotent = true;
  Duration ClaimantWaited;
  Duration VictimRan;
};

// The decisions that differ between policies.
struct PlacementHooks {
  // The lane with the lowest rank is served first; ties go to the lower order
  // key.
  std::function<double(const LaneView &)> Rank;
  // Order among requests; lower goes first. A key that grows with AcceptedAt
  // prevents starvation.
  std::function<int64_t(const QueuedView &)> OrderKey;
  // The resources to reserve for a task. Only tasks that can be throttled may
  // get less than they ask for.
  std::function<Resources(const SizeView &)> ReserveSize;
  // The candidate with the lowest score gets the task.
  std::function<double(const CandidateView &)> Score;
  // True if the victim may be stopped for the claimant.
  std::function<bool(const PreemptView &)> MayPreempt;
  // Index, among `slots` workers, at which the search for candidates starts;
  // `random` is a random number.
  std::function<uint32_t(uint64_t random, uint32_t slots)> SearchStart;
};

PlacementHooks hooksFor(PolicyName name);

} // namespace jujube::placement

#endif // JUJUBE_PLACEMENT_POLICY_H_
