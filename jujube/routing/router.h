// The router of an entry host: queues live requests per team, and sends them to
// runners on leased credits.
//
// Owned by one task. Every call takes the instant of the entry host's clock and
// returns the actions to carry out in order.
#ifndef JUJUBE_ROUTING_ROUTER_H_
#define JUJUBE_ROUTING_ROUTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"
#include "jujube/routing/actions.h"
#include "jujube/routing/fair_queue.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/retry_budget.h"
#include "jujube/routing/runner_health.h"
#include "jujube/routing/types.h"

namespace jujube::routing {

// A runner that could take a request now, as a choice hook sees it.
struct Candidate {
  RunnerId Runner;
  uint32_t InFlight = 0;
  uint32_t Credits = 0;
  // Expected time of one request.
  Duration Latency;
  bool IsInOwnZone = true;
};

// Hooks of the policy; the defaults are those of production.
struct RouterHooks {
  // Picks an index into a list of candidates that is not empty and ordered by
  // runner id.
  std::function<std::size_t(const std::vector<Candidate> &)> Choose;
};

// The candidate that is expected to end the request first; one of the own zone
// goes first.
std::size_t chooseFastest(const std::vector<Candidate> &candidates);

// Settings of a router. Lease and MaxRequestTime must be those of the ledgers.
struct RouterOptions {
  Holder Self;
  ZoneId Zone;
  Duration Lease = Duration::seconds(2);
  Duration MaxRequestTime = Duration::seconds(10);
  // Credits are not used in the last part of their lease.
  Duration LeaseGuard = Duration::millis(100);
  // A runner not heard of for this span gets nothing new.
  Duration RunnerLease = Duration::seconds(3);
  Duration ReportPeriod = Duration::millis(200);
  // Least span between two reports to a zone.
  Duration ReportGap = Duration::millis(10);
  // The most requests in flight on one runner, for the connection budget.
  uint32_t MaxPerRunner = 6;
  uint32_t MaxQueuedPerTeam = 1000;
  // Requests expected to wait longer are shed at once.
  Duration MaxQueueWait = Duration::seconds(2);
  // Other zones are asked for credits once a request has waited this long...
  Duration SpillAfter = Duration::millis(40);
  // ...and no more once none has for this span.
  Duration SpillHold = Duration::millis(1000);
  RetryBudgetOptions Retries;
  HealthOptions Health;
  RouterHooks Hooks;
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

class Router {
public:
  // Fails on spans or limits that are not positive.
  static Result<Router> create(RouterOptions options, Instant now);

  // Sets the weights of the teams' shares; teams that are not listed weigh 1.
  void setShares(const std::vector<catalogue::Team> &teams);

  // Takes a request whose key has been checked. One whose id is in progress
  // already changes nothing: its caller waits for the first.
  RouterActions submit(const LiveRequest &request, Instant now);

  // Takes an announcement that is `age` old.
  RouterActions runnerSeen(const RunnerAnnouncement &announcement, Duration age,
                           Instant now);

  // Takes the answer to a report. Stale and repeated grants are harmless.
  RouterActions granted(const CreditGrant &grant, Instant now);

  // Tells that a JournalOffer is synced (Ok) or can't be.
  RouterActions offerJournaled(const RequestId &id, uint32_t attempt,
                               const Status &status, Instant now);

  // Tells how an attempt ended. An end that was reported before is discarded.
  RouterActions answered(const RequestId &id, uint32_t attempt,
                         AttemptOutcome outcome, Instant now);

  // Drops a request that still waits; one that is in flight goes on, and its
  // answer is delivered for keeping.
  RouterActions callerGone(const RequestId &id, Instant now);

  // Hands over what is queued; what is in flight finishes. Later submissions
  // are handed over too.
  RouterActions beginDrain(Instant now);
  // True once nothing is queued or in flight after beginDrain().
  bool isDrained() const;

  // Sheds what is past its deadline, hedges, retries, and asks for reports that
  // are due. To be called at nextWake().
  RouterActions tick(Instant now);
  Instant nextWake(Instant now) const;

  // The report for the leader of `zone`; to be sent at once.
  EntryReport report(const ZoneId &zone, Instant now);
  // The zones of all runners known, and the own zone.
  std::vector<ZoneId> zones() const;

  const RouterCounters &counters() const { return Counters; }
  // Runners as status pages show them: announcement, credits and in flight.
  struct RunnerView {
    RunnerAnnouncement Announcement;
    uint32_t Credits = 0;
    uint32_t InFlight = 0;
    HealthState Health = HealthState::Healthy;
  };
  std::vector<RunnerView> runners(Instant now) const;

private:
  // Where one attempt stands.
  enum class AttemptState { Journaling, Sent, Lost };
  struct Attempt {
    uint32_t Number = 1;
    RunnerId Runner;
    AttemptState State = AttemptState::Sent;
    Instant StartedAt;
    // The runner may work on it until then.
    Instant BusyUntil;
  };
  struct Live {
    LiveRequest Request;
    Instant SubmittedAt;
    std::vector<Attempt> Attempts;
    uint32_t LastAttempt = 0;
    bool IsQueued = true;
    bool IsHedged = false;
    // True once the caller got its answer; attempts may still be open.
    bool IsConcluded = false;
  };
  struct RunnerState {
    RunnerAnnouncement Announcement;
    Instant LastSeen;
    uint32_t Credits = 0;
    uint32_t InFlight = 0;
    RunnerHealth Health;
  };
  struct SentReport {
    uint64_t Sequence = 0;
    Instant SentAt;
  };
  struct ZoneLease {
    Term LedgerTerm;
    uint64_t Serial = 0;
    Instant Until;
    uint64_t LastSequence = 0;
    Instant LastReport;
    bool IsUrgent = false;
    std::deque<SentReport> Reports;
  };
  struct Desk {
    FairQueue Queue;
    std::map<TeamId, uint32_t> InFlight;
    // Other zones' credits are asked for until then.
    Instant SpillUntil;
  };

  Router(RouterOptions options, Instant now);

  // router.cc: the life of a request.
  void enqueue(Live &live, bool isFront);
  Live *find(const RequestId &id);
  void conclude(Live &live);
  void forgetIfDone(const RequestId &id);
  void release(Live &live, std::size_t index, Instant now);
  void handleLoss(Live &live, const Attempt &attempt, AttemptOutcome outcome,
                  Instant now, RouterActions &out);
  void retry(Live &live, Instant now, RouterActions &out);
  void shed(Live &live, Error why, Duration after, RouterActions &out);
  void unresolved(Live &live, const Attempt &attempt, RouterActions &out);
  std::optional<Duration> expectedWait(const LiveRequest &request,
                                       Instant now) const;

  // router_dispatch.cc: from queue to runner.
  void pump(Desk &desk, const EntryId &entry, Instant now, RouterActions &out);
  void pumpAll(Instant now, RouterActions &out);
  std::optional<RunnerId> pick(const EntryId &entry, const Live &live,
                               Instant now) const;
  void launch(Live &live, const RunnerId &id, Instant now, RouterActions &out);
  Dispatch dispatchOf(const Live &live, const Attempt &attempt,
                      Instant now) const;
  void hedge(Instant now, RouterActions &out);
  void expire(Instant now, RouterActions &out);
  void sweepLost(Instant now);

  // router_credits.cc: leases and reports.
  bool isUsable(const RunnerState &runner, Instant now) const;
  uint32_t freeCredits(const RunnerState &runner, Instant now) const;
  uint32_t keptCredits(const RunnerState &runner, uint32_t reserve) const;
  void giveBack(const ZoneId &zone, Instant now);
  void wantCredits(const EntryId &entry, Instant now, RouterActions &out);
  void requestReports(Instant now, RouterActions &out);
  uint32_t queuedFor(const Desk &desk, const ZoneId &zone, const TeamId &team,
                     Instant now) const;

  RouterOptions Options;
  Instant StartedAt;
  bool IsDraining = false;
  std::map<TeamId, uint32_t> Shares;
  std::map<RequestId, Live> Requests;
  std::map<EntryId, Desk> Desks;
  std::map<RunnerId, RunnerState> Runners;
  std::map<ZoneId, ZoneLease> Leases;
  std::map<TeamId, RetryBudget> Budgets;
  RouterCounters Counters;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ROUTER_H_
