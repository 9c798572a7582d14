// The leader's bounds on a worker's clock and on the leases granted to it.
#ifndef JUJUBE_DISPATCH_LEASE_CLOCK_H_
#define JUJUBE_DISPATCH_LEASE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "jujube/base/clock.h"

namespace jujube::dispatch {

struct LeasePolicy {
  // Length of granted leases; setting --lease-ms.
  Duration Lease = Duration::seconds(8);
  // How much slower than real time a worker's clock may run, in parts per
  // thousand; bounded by the worker protocol.
  int64_t MaxSlowPerMille = 20;
  // Allowance for the age of clock samples and for rounding.
  Duration Margin = Duration::millis(250);
};

// Translates between the leader's clock and the clock of one incarnation of a
// worker, which measures leases on its own steady clock. Guarantees that
// areLeasesOver() is false while a lease may still be valid on the worker, as
// long as its clock stays within LeasePolicy::MaxSlowPerMille. Owned by the
// leader.
class LeaseClock {
public:
  // `now` is when this leader began to grant leases; a previous leader may have
  // granted one just before.
  LeaseClock(LeasePolicy policy, Instant now)
      : Policy(policy),
        PredecessorLeaseEnd(now + longestRealTime(policy.Lease)) {}

  // Records that the worker's clock showed `workerClock` at `now` or earlier.
  void recordSample(Instant workerClock, Instant now) {
    if (Sample && earliestShown(now) > workerClock)
      return; // The sample is older than the recorded one.
    Sample = ClockSample{now, workerClock};
  }
  // True once a clock sample has been recorded.
  bool isKnown() const { return Sample.has_value(); }

  // Grants a lease and returns its end on the worker's clock. The lease is not
  // longer than LeasePolicy::Lease on any clock within the bounds, since a
  // successor waits for that long. Returns empty, and grants nothing, while no
  // clock sample is known.
  std::optional<Instant> grant(Instant now) {
    if (!Sample)
      return std::nullopt;
    const Instant end = earliestShown(now) + Policy.Lease;
    LatestGrantedEnd = std::max(LatestGrantedEnd, end);
    return end;
  }

  // True once every lease that this leader or a previous one granted must have
  // ended on the worker.
  bool areLeasesOver(Instant now) const {
    if (now < PredecessorLeaseEnd)
      return false;
    if (LatestGrantedEnd == Instant())
      return true;
    return earliestShown(now) > LatestGrantedEnd + Policy.Margin;
  }

private:
  struct ClockSample {
    // On the leader's clock.
    Instant At;
    // On the worker's clock.
    Instant Worker;
  };

  // The least that the worker's clock can show. Precondition: isKnown().
  Instant earliestShown(Instant now) const {
    return Sample->Worker + (now - Sample->At) * minRatePerMille() / 1000;
  }
  // Least progress of the worker's clock, in thousandths of real time.
  int64_t minRatePerMille() const { return 1000 - Policy.MaxSlowPerMille; }
  // Longest real time in which the worker's clock advances by `span`, plus the
  // margin.
  Duration longestRealTime(Duration span) const {
    return span * 1000 / minRatePerMille() + Policy.Margin;
  }

  LeasePolicy Policy;
  // When leases of previous leaders have ended, on the leader's clock.
  Instant PredecessorLeaseEnd;
  std::optional<ClockSample> Sample;
  // Latest end of the granted leases, on the worker's clock.
  Instant LatestGrantedEnd;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_LEASE_CLOCK_H_
