// An ordered index of the steps that have tasks to start.
#ifndef JUJUBE_JOBS_WAITING_STEPS_H_
#define JUJUBE_JOBS_WAITING_STEPS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

#include "absl/container/flat_hash_map.h"
#include "jujube/base/clock.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

// A step that has tasks to start.
struct WaitingStep {
  // Priority of its queue; 0 is the most urgent.
  int32_t Priority = 0;
  // Wall time of its occurrence's objective.
  Instant DueBy;
  StepKey Key;
  // Earliest wall time at which it may start; the default Instant if it is due
  // immediately.
  Instant NotBefore;
  // Estimated run time of one task.
  Duration Estimate;
  // The owner of the job; empty if the call had no known key.
  TeamId Team;
  QueueId Queue;
  // See Job::IsBeyondRate.
  bool IsBeyondRate = false;

  bool operator<(const WaitingStep &rhs) const {
    return std::tie(Priority, DueBy, Key) <
           std::tie(rhs.Priority, rhs.DueBy, rhs.Key);
  }
};

// The waiting steps ordered by priority, objective and key, so that a plan
// reads only the steps that it handles. Owned by JobStateMachine; holds each
// step at most once.
class WaitingSteps {
public:
  using Order = std::set<WaitingStep>;

  // Adds the step, or replaces the entry with its key.
  void insertOrReplace(const WaitingStep &step) {
    erase(step.Key);
    ByKey.insert_or_assign(step.Key, *Ordered.insert(step).first);
  }
  void erase(const StepKey &key) {
    const auto it = ByKey.find(key);
    if (it == ByKey.end())
      return;
    Ordered.erase(it->second);
    ByKey.erase(it);
  }
  void clear() {
    Ordered.clear();
    ByKey.clear();
  }

  bool contains(const StepKey &key) const { return ByKey.contains(key); }
  bool empty() const { return Ordered.empty(); }
  std::size_t size() const { return Ordered.size(); }
  // Ordered by priority, then objective, then key.
  const Order &ordered() const { return Ordered; }

private:
  Order Ordered;
  absl::flat_hash_map<StepKey, WaitingStep> ByKey;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_WAITING_STEPS_H_
