// The steps that have tasks to start, ordered by priority and objective, so
// that a plan reads only the steps that it handles.
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

struct WaitingStep {
  // Of its queue; 0 comes first.
  int32_t Priority = 0;
  // Wall time by which its occurrence should be done.
  Instant DueBy;
  StepKey Key;
  // Wall time before which it does not start; the default Instant for none.
  Instant NotBefore;
  // Of one of its tasks.
  Duration Estimate;

  bool operator<(const WaitingStep &rhs) const {
    return std::tie(Priority, DueBy, Key) <
           std::tie(rhs.Priority, rhs.DueBy, rhs.Key);
  }
};

class WaitingSteps {
public:
  using Order = std::set<WaitingStep>;

  // Adds the step, or replaces what is held of it.
  void put(const WaitingStep &step) {
    erase(step.Key);
    Held.insert_or_assign(step.Key, *Ordered.insert(step).first);
  }
  void erase(const StepKey &key) {
    const auto it = Held.find(key);
    if (it == Held.end())
      return;
    Ordered.erase(it->second);
    Held.erase(it);
  }
  void clear() {
    Ordered.clear();
    Held.clear();
  }

  bool contains(const StepKey &key) const { return Held.contains(key); }
  bool empty() const { return Ordered.empty(); }
  std::size_t size() const { return Ordered.size(); }
  // By priority, then objective, then key.
  const Order &ordered() const { return Ordered; }

private:
  Order Ordered;
  absl::flat_hash_map<StepKey, WaitingStep> Held;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_WAITING_STEPS_H_
