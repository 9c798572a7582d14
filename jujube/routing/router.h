// The router of an entry host: queues live requests per team, and sends them to
// runners on leased credits.
//
// Owned by one task. Every call takes the instant of the entry host's clock and
// returns the actions to carry out in order.
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

class Router {
public:
  // Fails on spans or limits that are not positive.
  static Result<Router> create(RouterOptions options, Instant now);

  // Sets the weights of the teams' shares; teams that are not listed weigh 1.
  void setShares(const std::vector<catalogue::Team> &teams);

  // Takes a request whose key has been checked. One that is in progress already
  // changes nothing; one that was concluded and is still remembered is
  // concluded again. The caller looks up older answers first.
  RouterActions submit(const LiveRequest &request, Instant now);

  // Takes an announcement that is `age` old.
  RouterActions runnerSeen(const RunnerAnnouncement &announcement, Duration age,
                           Instant now);

  // Takes the answer to a report. Stale and repeated grants are harmless.
  RouterActions granted(const CreditGrant &grant, Instant now);

  // Tells that a JournalOffer is synced (Ok) or can't be.
  RouterActions offerJournaled(const RequestId &id, const Status &status,
                               Instant now);

  // Tells how an attempt ended, or what an Inquire found. An end that is known
  // already is discarded.
  RouterActions answered(const RequestId &id, uint32_t attempt,
                         AttemptOutcome outcome, Instant now);

  // Drops a request that still waits; one that is in flight goes on, and its
  // answer is delivered for keeping.
  RouterActions callerGone(const RequestId &id, Instant now);

  // Hands over what is queued; what is in flight finishes. Later submissions
  // are handed over too.
  RouterActions beginDrain(Instant now);
  // True once nothing is queued or in flight.
  bool isIdle() const;

  // Sheds what can't be met, hedges, inquires, and asks for reports that are
  // due. To be called at nextWake().
  RouterActions tick(Instant now);
  Instant nextWake(Instant now) const;

  // The report for the leader of `zone`; to be sent at once.
  EntryReport report(const ZoneId &zone, Instant now);
  // The own zone and those of all runners known.
  std::vector<ZoneId> zones() const { return Table.zones(); }

  const RouterCounters &counters() const { return Counters; }
  const RunnerTable &runners() const { return Table; }
  std::size_t queued() const;

private:
  enum class AttemptState { Journaling, Sent, Lost };
  // Whether the journal knows that this entry host may send the request.
  enum class OfferState { NotNeeded, Missing, Asked, Synced };
  struct Attempt {
    uint32_t Number = 1;
    RunnerId Runner;
    Incarnation RunnerStart;
    AttemptState State = AttemptState::Sent;
    Instant StartedAt;
    Duration Timeout;
    // Counts against the runner's credits until then at the latest.
    Instant BusyUntil;
    bool HoldsSlot = true;
    // Lost: when to inquire or to release the slot.
    Instant NextEvent = Instant::never();
  };
  struct Live {
    LiveRequest Request;
    Instant SubmittedAt;
    std::vector<Attempt> Attempts;
    uint32_t LastAttempt = 0;
    bool IsQueued = false;
    OfferState Offer = OfferState::NotNeeded;
    // Not worth starting from then on.
    Instant ExpiresAt;
    Instant HedgeAt = Instant::never();
    // True once an attempt ran and failed.
    bool HasFailed = false;
    // What the caller was told; attempts may still be open.
    std::optional<RouterAction> Conclusion;
  };
  struct Desk {
    explicit Desk(HealthOptions options) : Typical(options) {}

    FairQueue Queue;
    // Over all runners of the entry.
    RunnerHealth Typical;
    // Credits of other zones are asked for until then.
    Instant SpillUntil;
    // When the first credits came after a time without any.
    Instant CreditsSince;
  };
  // Requests in flight per runner's zone, entry and team.
  using FlightCounts =
      std::map<std::pair<ZoneId, std::pair<EntryId, TeamId>>, uint32_t>;

  Router(RouterOptions options, Instant now);

  uint32_t shareOf(const TeamId &team) const;
  Desk &deskOf(const EntryId &entry);
  // What a request takes on a runner, by what has been learned; zero at first.
  static Duration likelyLatency(const Desk &desk);
  RetryBudget &budgetOf(const TeamId &team);

  // router.cc: the life of a request.
  bool mayBeServed(const EntryId &entry, Instant now) const;
  std::optional<Shed> refusal(const LiveRequest &request, Instant now);
  Duration expectedWait(Desk &desk, const LiveRequest &request,
                        Instant now) const;
  void enqueue(Live &live, bool isFirst, Instant now);
  void dequeue(Live &live);
  void conclude(Live &live, RouterAction action, RouterActions &out);
  void concludeUnserved(Live &live, Error why, Duration after,
                        RouterActions &out);
  void forgetIfDone(const RequestId &id);
  void finishCall(Instant now, RouterActions &out);

  // router_attempts.cc: from queue to runner and back.
  static void askForOffer(Live &live, RouterActions &out);
  void dispatchJournaled(Live &live, Attempt &attempt, Instant now,
                         RouterActions &out);
  Attempt *findAttempt(const RequestId &id, uint32_t number);
  static bool hasOpenAttempt(const Live &live);
  void pump(const EntryId &entry, Instant now, RouterActions &out);
  std::optional<RunnerId> pick(const Live &live, Instant now) const;
  void launch(Live &live, const RunnerId &id, Instant now, RouterActions &out);
  Dispatch dispatchOf(const Live &live, Attempt &attempt, Instant now);
  void takeSlot(const Live &live, const Attempt &attempt);
  void releaseSlot(const Live &live, Attempt &attempt);
  void removeAttempt(Live &live, uint32_t number);
  void learn(const Live &live, const Attempt &attempt, AttemptOutcome outcome,
             Instant now);
  void lose(Live &live, Attempt &attempt, Instant now, RouterActions &out);
  void settle(Live &live, const Attempt &attempt, AttemptOutcome outcome,
              Instant now, RouterActions &out);
  void settleConcluded(Live &live, const Attempt &attempt,
                       AttemptOutcome outcome, RouterActions &out);
  void retry(Live &live, Error why, Instant now, RouterActions &out);

  // router_timers.cc: deadlines, hedges, inquiries and reports.
  void expire(Instant now, RouterActions &out);
  void giveUp(const RequestId &id, RouterActions &out);
  void hedge(Instant now, RouterActions &out);
  bool mayHedge(const EntryId &entry, Instant now) const;
  void followLost(Instant now, RouterActions &out);
  void spill(Instant now);
  uint32_t keptSpare(const EntryId &entry) const;
  void returnSpare();
  void dueReports(Instant now, RouterActions &out);
  Instant reportDue(const ZoneId &zone) const;
  std::vector<TeamDemand> demandFor(const ZoneId &zone, Instant now) const;
  uint32_t spilledTo(const ZoneId &zone, const EntryId &entry, const Desk &desk,
                     uint32_t queued, Instant now) const;

  RouterOptions Options;
  Instant StartedAt;
  bool IsDraining = false;
  std::map<TeamId, uint32_t> Shares;
  std::map<RequestId, Live> Requests;
  std::map<EntryId, Desk> Desks;
  RunnerTable Table;
  FlightCounts InFlight;
  // Attempts that are being journaled or were sent and have not ended.
  std::size_t OpenAttempts = 0;
  // When queued requests expire, when requests in flight are hedged, and the
  // next events of lost attempts.
  std::set<std::pair<Instant, RequestId>> Expiries;
  std::set<std::pair<Instant, RequestId>> HedgeTimes;
  std::set<std::pair<Instant, std::pair<RequestId, uint32_t>>> LostTimes;
  std::map<TeamId, RetryBudget> Budgets;
  RouterCounters Counters;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ROUTER_H_
