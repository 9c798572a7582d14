// The router of an entry host: queues live requests and sends them to runners,
// as far as it holds credits on these.
#ifndef JUJUBE_ROUTING_ROUTER_H_
#define JUJUBE_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"
#include "jujube/routing/actions.h"
#include "jujube/routing/fair_queue.h"
#include "jujube/routing/messages.h"
#include "jujube/routing/retry_budget.h"
#include "jujube/routing/router_options.h"
#include "jujube/routing/runner_health.h"
#include "jujube/routing/runner_table.h"
#include "jujube/routing/types.h"

namespace jujube::routing {

// Queues live requests by catalogue entry and team, chooses a runner for each,
// and handles retries, hedges and load shedding. It does no I/O: every call
// takes the current time of the entry host's clock, and most return the actions
// that the entry host has to carry out, in order. Owned by one task; not
// thread-safe.
//
// A request that is not idempotent is sent again only if it certainly has not
// run. An attempt starts only on a free credit whose lease is valid.
class Router {
public:
  // Fails with InvalidArgument if a duration or limit is not positive, or if a
  // guard is not shorter than the duration that it applies to.
  static Result<Router> create(RouterOptions options, Instant now);

  // Replaces the teams' weights. Teams that are not listed have weight 1.
  void setShares(const std::vector<catalogue::Team> &teams);

  // Accepts an authenticated request. A request that is in progress already is
  // left as it is; for one that is concluded and not yet forgotten, the
  // conclusion is returned again. The caller must look up stored responses
  // first.
  RouterActions submit(const LiveRequest &request, Instant now);

  // Processes an announcement that the runner made `age` ago.
  RouterActions handleAnnouncement(const RunnerAnnouncement &announcement,
                                   Duration age, Instant now);

  // Processes the reply to a report. Stale and repeated grants are harmless.
  RouterActions handleGrant(const CreditGrant &grant, Instant now);

  // Reports that a JournalOffer is durable (Ok), or that writing it failed.
  RouterActions handleOfferJournaled(const RequestId &id, const Status &status,
                                     Instant now);

  // Reports how an attempt ended, or the runner's reply to an Inquire. A second
  // report of the same outcome is discarded.
  RouterActions handleAttemptOutcome(const RequestId &id, uint32_t attempt,
                                     AttemptOutcome outcome, Instant now);

  // Drops the request if it is still queued. A request in flight continues, and
  // its response is delivered so that the entry host can store it.
  RouterActions handleCallerDisconnect(const RequestId &id, Instant now);

  // Hands over the queued requests that have not been attempted, and all later
  // submissions. Requests in flight run to completion.
  RouterActions beginDrain(Instant now);
  // True if no request is queued and no attempt is open. Lost attempts don't
  // count.
  bool isIdle() const;

  // Concludes expired requests, starts hedges, inquires about lost attempts and
  // requests the reports that are due. To be called at nextWake().
  RouterActions tick(Instant now);
  Instant nextWake(Instant now) const;

  // Creates the report for the leader of `zone`. The caller must send it at
  // once, because the leases that it renews count from `now`.
  EntryReport report(const ZoneId &zone, Instant now);
  // The router's own zone and those of all known runners.
  std::vector<ZoneId> zones() const { return Runners.zones(); }

  const RouterCounters &counters() const { return Counters; }
  const RunnerTable &runners() const { return Runners; }
  std::size_t queued() const;

private:
  enum class AttemptState { Journaling, Sent, Lost };
  // Whether the journal has recorded that this entry host may send the request.
  enum class OfferState { NotNeeded, Missing, Requested, Synced };
  struct Attempt {
    uint32_t Number = 1;
    RunnerId Runner;
    Incarnation RunnerStart;
    AttemptState State = AttemptState::Sent;
    Instant StartedAt;
    Duration Timeout;
    // The latest instant until which the attempt uses a credit of the runner.
    Instant BusyUntil;
    bool HoldsSlot = true;
    // Lost attempts: when to inquire or to release the slot next.
    Instant NextEvent = Instant::never();
  };
  // A request from its submission until it is concluded and has no attempts
  // left.
  struct RequestState {
    LiveRequest Request;
    Instant SubmittedAt;
    std::vector<Attempt> Attempts;
    uint32_t LastAttempt = 0;
    bool IsQueued = false;
    OfferState Offer = OfferState::NotNeeded;
    // From this instant on, the request is unlikely to finish before its
    // deadline.
    Instant ExpiresAt;
    Instant HedgeAt = Instant::never();
    // True once an attempt ran and failed.
    bool HasFailed = false;
    // The action that answered the caller; attempts may still be open.
    std::optional<RouterAction> Conclusion;
  };
  // The queue and the statistics of one catalogue entry.
  struct EntryState {
    explicit EntryState(HealthOptions options) : AllRunners(options) {}

    FairQueue Queue;
    // Health over all runners of the entry.
    RunnerHealth AllRunners;
    // Credits of other zones are requested until this instant.
    Instant SpilloverUntil;
    // When the router got credits after a time without any.
    Instant CreditsAvailableSince;
  };
  // Number of requests in flight by runner's zone, entry and team.
  using FlightCounts =
      std::map<std::pair<ZoneId, std::pair<EntryId, TeamId>>, uint32_t>;

  Router(RouterOptions options, Instant now);

  uint32_t shareOf(const TeamId &team) const;
  EntryState &entryState(const EntryId &entry);
  // Time within which most requests of the entry finish; zero while there are
  // too few observations.
  static Duration likelyLatency(const EntryState &state);
  RetryBudget &budgetOf(const TeamId &team);

  // router.cc: submission, queueing and conclusion of requests.
  bool mayHaveRunner(const EntryId &entry, Instant now) const;
  // Returns an empty optional if the request is admitted.
  std::optional<Shed> checkAdmission(const LiveRequest &request, Instant now);
  Duration expectedWait(EntryState &state, const LiveRequest &request,
                        Instant now) const;
  void enqueue(RequestState &live, bool isFirst, Instant now);
  void dequeue(RequestState &live);
  void conclude(RequestState &live, RouterAction action, RouterActions &out);
  // Concludes a request that got no response: MarkUnresolved if an attempt was
  // lost, else Fail if one failed, else Shed. `after` is the suggested retry
  // delay of a Shed.
  void concludeWithoutResponse(RequestState &live, Error why, Duration after,
                               RouterActions &out);
  void forgetIfDone(const RequestId &id);
  // Last step of every call: requests the reports that have become due.
  void updateReports(Instant now, RouterActions &out);

  // router_attempts.cc: attempts, their outcomes and retries.
  static void requestOffer(RequestState &live, RouterActions &out);
  void dispatchJournaled(RequestState &live, Attempt &attempt, Instant now,
                         RouterActions &out);
  Attempt *findAttempt(const RequestId &id, uint32_t number);
  // True if an attempt waits for the journal or is in flight.
  static bool hasOpenAttempt(const RequestState &live);
  // Starts attempts of queued requests while there are runners for them.
  void dispatchQueued(const EntryId &entry, Instant now, RouterActions &out);
  // Returns an empty optional if no runner can take the request now.
  std::optional<RunnerId> chooseRunner(const RequestState &live,
                                       Instant now) const;
  void startAttempt(RequestState &live, const RunnerId &id, Instant now,
                    RouterActions &out);
  Dispatch makeDispatch(const RequestState &live, Attempt &attempt,
                        Instant now);
  void acquireSlot(const RequestState &live, const Attempt &attempt);
  void releaseSlot(const RequestState &live, Attempt &attempt);
  void removeAttempt(RequestState &live, uint32_t number);
  void updateHealth(const RequestState &live, const Attempt &attempt,
                    AttemptOutcome outcome, Instant now);
  void handleLostAttempt(RequestState &live, Attempt &attempt, Instant now,
                         RouterActions &out);
  void applyOutcome(RequestState &live, const Attempt &attempt,
                    AttemptOutcome outcome, Instant now, RouterActions &out);
  void resolveConcluded(RequestState &live, const Attempt &attempt,
                        AttemptOutcome outcome, RouterActions &out);
  void retry(RequestState &live, Error why, Instant now, RouterActions &out);

  // router_timers.cc: deadlines, hedges, inquiries and reports.
  void expire(Instant now, RouterActions &out);
  void concludeExpired(const RequestId &id, RouterActions &out);
  void hedge(Instant now, RouterActions &out);
  bool mayHedge(const EntryId &entry, Instant now) const;
  void processLostAttempts(Instant now, RouterActions &out);
  void requestSpillover(Instant now);
  // Number of unused credits to keep on a contended entry.
  uint32_t spareToKeep(const EntryId &entry) const;
  void expediteSpareReturn();
  void requestDueReports(Instant now, RouterActions &out);
  Instant reportDue(const ZoneId &zone) const;
  std::vector<TeamDemand> demandFor(const ZoneId &zone, Instant now) const;
  // The part of `queued` requests to report as demand to `zone`.
  uint32_t spilloverDemand(const ZoneId &zone, const EntryId &entry,
                           const EntryState &state, uint32_t queued,
                           Instant now) const;

  RouterOptions Options;
  Instant StartedAt;
  bool IsDraining = false;
  std::map<TeamId, uint32_t> Shares;
  std::map<RequestId, RequestState> Requests;
  std::map<EntryId, EntryState> EntryStates;
  RunnerTable Runners;
  FlightCounts InFlight;
  // Number of attempts that wait for the journal or are in flight.
  std::size_t OpenAttempts = 0;
  // When queued requests expire, when requests in flight are hedged, and when
  // lost attempts need their next action.
  std::set<std::pair<Instant, RequestId>> Expiries;
  std::set<std::pair<Instant, RequestId>> HedgeTimes;
  std::set<std::pair<Instant, std::pair<RequestId, uint32_t>>>
      LostAttemptEvents;
  std::map<TeamId, RetryBudget> Budgets;
  RouterCounters Counters;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ROUTER_H_
