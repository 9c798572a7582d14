// What the leader knows of a worker's clock and of the leases that it granted
// there. Workers count leases on their own steady clocks.
#ifndef JUJUBE_DISPATCH_LEASE_CLOCK_H_
#define JUJUBE_DISPATCH_LEASE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "jujube/base/clock.h"

namespace jujube::dispatch {

struct LeasePolicy {
  // Length of the leases that are granted. Source: setting --lease-ms.
  Duration Lease = Duration::seconds(8);
  // How much slower than true time a worker's clock may run, in parts per
  // thousand. Source: the worker protocol.
  int64_t MaxSlowPerMille = 20;
  // Covers the age of clock samples and rounding.
  Duration Margin = Duration::millis(250);
};

// For one life of a worker.
class LeaseClock {
public:
  // `now` is when this leader began to grant leases: predecessors may have
  // granted one just before.
  LeaseClock(LeasePolicy policy, Instant now)
      : Policy(policy), Inherited(now + stretched(policy.Lease)) {}

  // The worker's clock showed `workerClock`, at `now` at the latest.
  void note(Instant workerClock, Instant now) {
    if (Sample &&
        Sample->Worker + (now - Sample->At) * slowestPerMille() / 1000 >
            workerClock)
      return; // An answer that was overtaken.
    Sample = Pair{now, workerClock};
  }
  bool isKnown() const { return Sample.has_value(); }

  // The end, on the worker's clock, of a lease that is granted now; nothing
  // while the clock is not known.
  std::optional<Instant> grant(Instant now) {
    if (!Sample)
      return std::nullopt;
    const Instant end = Sample->Worker + (now - Sample->At) + Policy.Lease;
    Granted = std::max(Granted, end);
    return end;
  }

  // True once every lease that this leader or an earlier one granted has surely
  // ended on the worker.
  bool isOver(Instant now) const {
    if (now < Inherited)
      return false;
    if (Granted == Instant())
      return true;
    const Instant shown =
        Sample->Worker + (now - Sample->At) * slowestPerMille() / 1000;
    return shown > Granted + Policy.Margin;
  }

private:
  struct Pair {
    Instant At;
    Instant Worker;
  };

  int64_t slowestPerMille() const { return 1000 - Policy.MaxSlowPerMille; }
  Duration stretched(Duration span) const {
    return span * 1000 / slowestPerMille() + Policy.Margin;
  }

  LeasePolicy Policy;
  Instant Inherited;
  std::optional<Pair> Sample;
  Instant Granted;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_LEASE_CLOCK_H_
