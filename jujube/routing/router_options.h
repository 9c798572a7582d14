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

// A runner that could take a request now, as a choice hook sees it.
struct Candidate {
  RunnerId Runner;
  uint32_t InFlight = 0;
  uint32_t Credits = 0;
  // Expected time of one request.
  Duration Latency;
  bool IsInOwnZone = true;
  // On probation, or the request was tried there before.
  bool IsDoubtful = false;
};

// Picks an index into a list of candidates that is not empty and ordered by
// runner id.
using ChooseHook =
    std::function<std::size_t(const std::vector<Candidate> &candidates)>;

// Least expected latency for the load, among those of the own zone first.
std::size_t chooseFastest(const std::vector<Candidate> &candidates);

// Settings of a router. Lease and MaxRequestTime must be those of the ledgers.
struct RouterOptions {
  Holder Self;
  ZoneId Zone;
  Duration Lease = Duration::seconds(2);
  Duration MaxRequestTime = Duration::seconds(10);
  // Credits are not used in the last part of their lease.
  Duration LeaseGuard = Duration::millis(100);
  // Bound on the delay of a request on its way to a runner, and on the runner's
  // lateness in ending it.
  Duration EndGuard = Duration::seconds(1);
  // A runner not heard of for this span gets nothing new.
  Duration RunnerLease = Duration::seconds(3);
  Duration ReportPeriod = Duration::millis(200);
  // Least span between two reports to a zone.
  Duration ReportGap = Duration::millis(5);
  // The most requests in flight on one runner, for the connection budget.
  uint32_t MaxPerRunner = 6;
  // The most attempts open at once, for the links to runners.
  std::size_t MaxInFlight = 1000;
  uint32_t MaxQueuedPerTeam = 1000;
  // Once a request has waited this long, others that are expected to wait more
  // than MaxQueueWait or past their deadline are shed at once.
  Duration ShedGrace = Duration::millis(100);
  Duration MaxQueueWait = Duration::millis(400);
  // Other zones are asked for credits once a request has waited this long...
  Duration SpillAfter = Duration::millis(5);
  // ...and no more once none has for this span.
  Duration SpillHold = Duration::seconds(1);
  // Least age of a request that is hedged.
  Duration HedgeAfter = Duration::millis(20);
  // Lost attempts are inquired about this often...
  Duration InquiryPeriod = Duration::millis(500);
  // ...for this span.
  Duration ResolveWithin = Duration::seconds(60);
  // Period of reports to zones of which nothing is held or wanted.
  Duration IdleReportPeriod = Duration::seconds(1);
  // Attempts per request, retries and hedges included.
  uint32_t MaxAttempts = 3;
  RetryBudgetOptions Retries;
  HealthOptions Health;
  ChooseHook Choose = chooseFastest;
};

// Counters since the router was created.
struct RouterCounters {
  uint64_t Submitted = 0;
  uint64_t Dispatched = 0;
  uint64_t Retried = 0;
  uint64_t Hedged = 0;
  uint64_t Delivered = 0;
  uint64_t Failed = 0;
  uint64_t Shed = 0;
  uint64_t Unresolved = 0;
  uint64_t DiscardedAnswers = 0;
  uint64_t Spilled = 0;
  uint64_t Reports = 0;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ROUTER_OPTIONS_H_
