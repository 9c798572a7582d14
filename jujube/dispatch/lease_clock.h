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
  // Length to which a worker shortens a lease, whatever end an order states;
  // setting --max-lease-ms.
  Duration MaxLease = Duration::seconds(10);
  // How much slower than real time a worker's clock may run, in parts per
  // thousand; bounded by the worker protocol.
  int64_t MaxSlowPerMille = 20;
  // Allowance for the age of clock samples and for rounding.
  Duration Margin = Duration::millis(250);
};

// Translates between the leader's clock and the clock of one incarnation of a
// worker, which measures leases on its own steady clock. Guarantees that
// areLeasesOver() is false while a lease may still be valid on this
// incarnation, as long as its clock stays within LeasePolicy::MaxSlowPerMille.
// Owned by the leader.
//
// An incarnation may also take an order that was meant for another one. The end
// of the lease that such an order states is a time on another clock, and may be
// any time in the future on this one: the worker shortens the lease to
// LeasePolicy::MaxLease, counted from the arrival.
class LeaseClock {
public:
  // `now` is when this leader began to send orders to this incarnation. Orders
  // of previous leaders and to previous incarnations may still arrive until
  // noteFenceConfirmed().
  LeaseClock(LeasePolicy policy, Instant now)
      : Policy(policy),
        ForeignLeaseEnd(now + longestRealTime(policy.MaxLease)) {}

  // Records that the worker had seen the fence of this leader and incarnation
  // by `now`: it refuses earlier orders that arrive from now on.
  void noteFenceConfirmed(Instant now) {
    ForeignLeaseEnd =
        std::max(ForeignLeaseEnd, now + longestRealTime(Policy.MaxLease));
  }

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
    LatestGrantAt = now;
    return end;
  }

  // True once every lease that this leader or a previous one granted must have
  // ended on this incarnation.
  bool areLeasesOver(Instant now) const {
    if (now < ForeignLeaseEnd)
      return false;
    if (LatestGrantedEnd == Instant())
      return true;
    return earliestShown(now) > LatestGrantedEnd + Policy.Margin;
  }

  // The same for a later incarnation, of which this leader does not know, and
  // which has taken the orders to this one.
  bool areLeasesOverAfterRestart(Instant now) const {
    return now >= ForeignLeaseEnd &&
           now >= LatestGrantAt + longestRealTime(Policy.MaxLease);
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
  // When leases from orders of previous leaders and to previous incarnations
  // have ended, on the leader's clock.
  Instant ForeignLeaseEnd;
  std::optional<ClockSample> Sample;
  // When the latest lease was granted, on the leader's clock.
  Instant LatestGrantAt;
  // Latest end of the granted leases, on the worker's clock.
  Instant LatestGrantedEnd;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_LEASE_CLOCK_H_
