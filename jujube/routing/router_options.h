// Settings, hooks and counters of a router.
#ifndef JUJUBE_ROUTING_ROUTER_OPTIONS_H_
#define JUJUBE_ROUTING_ROUTER_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/retry_budget.h"
#include "jujube/routing/runner_health.h"

namespace jujube::routing {

// A runner that could take a request now, as passed to a ChooseHook.
struct Candidate {
  RunnerId Runner;
  uint32_t InFlight = 0;
  // Credits in use and free.
  uint32_t Credits = 0;
  // Expected duration of one request.
  Duration Latency;
  bool IsInOwnZone = true;
  // True if the runner is on probation, or an earlier attempt of the request
  // went to it.
  bool IsDeprioritized = false;
};

// Returns the index of the candidate to use. The list is not empty and is
// ordered by runner id.
using ChooseHook =
    std::function<std::size_t(const std::vector<Candidate> &candidates)>;

// Prefers candidates that are not deprioritized, then those in the router's own
// zone, then the least latency times requests in progress.
std::size_t chooseFastest(const std::vector<Candidate> &candidates);

// Settings of a router. Lease and MaxRequestTime must equal those of the
// ledgers (LedgerOptions).
struct RouterOptions {
  Holder Self;
  ZoneId Zone;
  Duration Lease = Duration::seconds(2);
  // Upper bound on the time from sending a request until it has ended.
  Duration MaxRequestTime = Duration::seconds(10);
  // No request is sent on a credit whose lease expires within this time.
  Duration LeaseMargin = Duration::millis(100);
  // Upper bound on the time that a request takes to reach a runner plus the
  // time by which the runner exceeds the timeout.
  Duration EndMargin = Duration::seconds(1);
  // A runner that has not announced itself for this long gets no new requests.
  Duration RunnerLease = Duration::seconds(3);
  // Interval of reports to zones where credits are held or requests in flight.
  Duration ReportPeriod = Duration::millis(200);
  // Minimum interval between two reports to a zone.
  Duration ReportGap = Duration::millis(5);
  // The most requests in flight on one runner, so that all entry hosts together
  // stay within the runner's connection limit.
  uint32_t MaxPerRunner = 6;
  // The most open attempts, because the entry host has a limited number of
  // links to runners.
  std::size_t MaxInFlight = 1000;
  uint32_t MaxQueuedPerTeam = 1000;
  // Once the oldest queued request has waited this long, new requests are shed
  // on arrival if they are expected to wait for more than MaxQueueWait or to
  // miss their deadlines.
  Duration ShedDelay = Duration::millis(100);
  Duration MaxQueueWait = Duration::millis(400);
  // Once a request has waited this long, credits of other zones are
  // requested...
  Duration SpilloverDelay = Duration::millis(5);
  // ...until no request has waited that long for this time.
  Duration SpilloverHold = Duration::seconds(1);
  // Minimum age of a request at which it is hedged.
  Duration HedgeAfter = Duration::millis(20);
  // Interval of inquiries about a lost attempt...
  Duration InquiryPeriod = Duration::millis(500);
  // ...which, unless the request is idempotent, end this long after it was
  // sent.
  Duration ResolveWithin = Duration::seconds(60);
  // Interval of reports to zones where no credits are held and no requests are
  // in flight.
  Duration IdleReportPeriod = Duration::seconds(1);
  // The most attempts per request, including retries and hedges.
  uint32_t MaxAttempts = 3;
  RetryBudgetOptions Retries;
  HealthOptions Health;
  ChooseHook Choose = chooseFastest;
};

// Event counts since the router was created.
struct RouterCounters {
  uint64_t Submitted = 0;
  uint64_t Dispatched = 0;
  uint64_t Retried = 0;
  uint64_t Hedged = 0;
  uint64_t Delivered = 0;
  uint64_t Failed = 0;
  uint64_t Shed = 0;
  uint64_t Unresolved = 0;
  // Outcomes that arrived late, twice or for an unknown attempt.
  uint64_t DiscardedOutcomes = 0;
  // Attempts on runners of other zones.
  uint64_t SpilloverAttempts = 0;
  uint64_t Reports = 0;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ROUTER_OPTIONS_H_
