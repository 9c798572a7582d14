#include "jujube/routing/router.h"

#include <variant>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace jujube::routing {
namespace {

const ZoneId Zone("kariakoo");
const EntryId Entry("fitting-desk");

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

// A router that knows the given number of runners, with credits on each from
// instant 0.
struct Fixture {
  explicit Fixture(uint32_t credits = 2, int runners = 1,
                   RouterOptions options = {}) {
    options.Self = {HostId("entry1"), {1}};
    options.Zone = Zone;
    Subject = std::make_unique<Router>(valueOf(Router::create(options, at(0))));
    for (int n = 1; n <= runners; ++n)
      announce(n);
    grant(credits, runners, at(0));
  }

  void announce(int n, bool isLeaving = false, Instant now = at(0)) {
    RunnerAnnouncement runner;
    runner.Runner = RunnerId(absl::StrCat("r", n));
    runner.Start = {1};
    runner.Entry = Entry;
    runner.Zone = Zone;
    runner.IsLeaving = isLeaving;
    (void)Subject->handleAnnouncement(runner, Duration(), now);
  }

  RouterActions grant(uint32_t credits, int runners, Instant now) {
    const EntryReport report = Subject->report(Zone, now);
    CreditGrant grant{report.From,     Zone,
                      Term{1},         ++Serial,
                      report.Sequence, Duration::seconds(2)};
    for (int n = 1; n <= runners; ++n)
      grant.Credits.push_back({RunnerId(absl::StrCat("r", n)), credits});
    return Subject->handleGrant(grant, now);
  }

  RouterActions submit(int n, bool isIdempotent, Instant now,
                       Instant deadline = at(5000), int team = 1) {
    return Subject->submit(
        {id(n), TeamId(absl::StrCat("t", team)), Entry, isIdempotent, deadline},
        now);
  }

  static RequestId id(int n) { return RequestId(absl::StrCat("kariakoo.", n)); }

  std::unique_ptr<Router> Subject;
  uint64_t Serial = 0;
};

// Returns the first action of type T, or null.
template <typename T> const T *find(const RouterActions &actions) {
  for (const RouterAction &action : actions)
    if (const T *it = std::get_if<T>(&action))
      return it;
  return nullptr;
}

BOOST_AUTO_TEST_SUITE(RouterSuite)

BOOST_AUTO_TEST_CASE(RejectsGuardsNotShorterThanTheirDuration) {
  RouterOptions bad;
  bad.EndMargin = bad.MaxRequestTime;
  BOOST_TEST(!isOk(Router::create(bad, at(0))));
}

BOOST_AUTO_TEST_CASE(UnknownEntryIsShedWithARemedy) {
  Fixture fixture;
  const RouterActions actions = fixture.Subject->submit(
      {Fixture::id(1), TeamId("t"), EntryId("other"), true, at(1000)}, at(0));
  const Shed *shed = find<Shed>(actions);
  BOOST_REQUIRE(shed != nullptr);
  BOOST_TEST((shed->Why.Kind == ErrorKind::NotRun));
  BOOST_TEST(!shed->Why.Remedy.empty());
  BOOST_TEST(shed->RetryAfter.millis() > 0);
}

// A router that has just started does not know the runners yet. It must queue
// requests instead of shedding them, but only for a limited time.
BOOST_AUTO_TEST_CASE(NewRouterQueuesRequestsUntilRunnersAreKnown) {
  RouterOptions options;
  options.Self = {HostId("entry1"), {1}};
  options.Zone = Zone;
  Fixture fixture;
  fixture.Subject =
      std::make_unique<Router>(valueOf(Router::create(options, at(0))));
  BOOST_TEST(find<Shed>(fixture.submit(1, true, at(10))) == nullptr);
  BOOST_TEST(fixture.Subject->queued() == 1U);
  fixture.announce(1, false, at(400));
  BOOST_TEST(find<Dispatch>(fixture.grant(1, 1, at(500))) != nullptr);
  // If the zone has no leader, requests are shed after the startup grace
  // period.
  fixture.Subject =
      std::make_unique<Router>(valueOf(Router::create(options, at(0))));
  BOOST_TEST(find<Shed>(fixture.submit(2, true, at(5000), at(9000))) !=
             nullptr);
}

// The wait can't be estimated right after the first credits arrive: the queue
// built up without any, and more credits may follow.
BOOST_AUTO_TEST_CASE(NoSheddingRightAfterTheFirstCredits) {
  Fixture fixture(0);
  for (int n = 1; n <= 20; ++n)
    BOOST_TEST(find<Shed>(fixture.submit(n, true, at(0))) == nullptr);
  BOOST_TEST(find<Dispatch>(fixture.grant(1, 1, at(500))) != nullptr);
  BOOST_TEST(find<Shed>(fixture.submit(21, true, at(510))) == nullptr);
  BOOST_TEST(find<Shed>(fixture.submit(22, true, at(700))) != nullptr);
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsJournaledBeforeDispatch) {
  Fixture fixture;
  const RouterActions offered = fixture.submit(1, false, at(10));
  BOOST_TEST(find<Dispatch>(offered) == nullptr);
  BOOST_REQUIRE(find<JournalOffer>(offered) != nullptr);
  const RouterActions sent =
      fixture.Subject->handleOfferJournaled(Fixture::id(1), Ok{}, at(12));
  BOOST_REQUIRE(find<Dispatch>(sent) != nullptr);
  // A repeated confirmation changes nothing.
  BOOST_TEST(find<Dispatch>(fixture.Subject->handleOfferJournaled(
                 Fixture::id(1), Ok{}, at(13))) == nullptr);
}

// The journal write overlaps the wait for a slot, so that a slot is used as
// soon as it becomes free. A retry after a refusal needs no second journal
// write.
BOOST_AUTO_TEST_CASE(QueuedRequestIsJournaledBeforeItHasASlot) {
  Fixture fixture(1);
  (void)fixture.submit(1, true, at(0));
  const RouterActions waiting = fixture.submit(2, false, at(1));
  BOOST_TEST(find<Dispatch>(waiting) == nullptr);
  BOOST_REQUIRE(find<JournalOffer>(waiting) != nullptr);
  BOOST_TEST(find<Dispatch>(fixture.Subject->handleOfferJournaled(
                 Fixture::id(2), Ok{}, at(3))) == nullptr);
  const RouterActions freed = fixture.Subject->handleAttemptOutcome(
      Fixture::id(1), 1, AttemptOutcome::Answered, at(50));
  BOOST_TEST(find<Dispatch>(freed) != nullptr);
  BOOST_TEST(find<JournalOffer>(freed) == nullptr);
  const RouterActions refused = fixture.Subject->handleAttemptOutcome(
      Fixture::id(2), 1, AttemptOutcome::Refused, at(51));
  BOOST_TEST(find<Dispatch>(refused) != nullptr);
  BOOST_TEST(find<JournalOffer>(refused) == nullptr);
}

// If a slot becomes free before the journal write has finished, the request is
// sent only after the write.
BOOST_AUTO_TEST_CASE(FreeSlotWaitsForTheJournal) {
  Fixture fixture(1);
  (void)fixture.submit(1, true, at(0));
  (void)fixture.submit(2, false, at(1));
  BOOST_TEST(find<Dispatch>(fixture.Subject->handleAttemptOutcome(
                 Fixture::id(1), 1, AttemptOutcome::Answered, at(2))) ==
             nullptr);
  BOOST_TEST(find<Dispatch>(fixture.Subject->handleOfferJournaled(
                 Fixture::id(2), Ok{}, at(3))) != nullptr);
}

BOOST_AUTO_TEST_CASE(RequestIsShedIfJournalingFails) {
  Fixture fixture;
  (void)fixture.submit(1, false, at(10));
  const RouterActions actions = fixture.Subject->handleOfferJournaled(
      Fixture::id(1), Error{ErrorKind::StorageFailed, "no disk", "add one"},
      at(12));
  BOOST_TEST(find<Shed>(actions) != nullptr);
  BOOST_TEST(fixture.Subject->isIdle());
}

BOOST_AUTO_TEST_CASE(UnknownOutcomeIsNeverRetriedUnlessIdempotent) {
  Fixture fixture(2, 2);
  (void)fixture.submit(1, false, at(0));
  (void)fixture.Subject->handleOfferJournaled(Fixture::id(1), Ok{}, at(1));
  const RouterActions lost = fixture.Subject->handleAttemptOutcome(
      Fixture::id(1), 1, AttemptOutcome::Unknown, at(100));
  BOOST_REQUIRE(find<MarkUnresolved>(lost) != nullptr);
  BOOST_TEST(
      (find<MarkUnresolved>(lost)->Why.Kind == ErrorKind::OutcomeUnknown));
  BOOST_TEST(find<Dispatch>(lost) == nullptr);
  BOOST_TEST(find<JournalOffer>(lost) == nullptr);
  const RouterActions inquiry = fixture.Subject->tick(at(101));
  BOOST_TEST(find<Inquire>(inquiry) != nullptr);
  const RouterActions resolved = fixture.Subject->handleAttemptOutcome(
      Fixture::id(1), 1, AttemptOutcome::Answered, at(150));
  BOOST_TEST(find<Deliver>(resolved) != nullptr);

  (void)fixture.submit(2, true, at(200));
  const RouterActions retried = fixture.Subject->handleAttemptOutcome(
      Fixture::id(2), 1, AttemptOutcome::Unknown, at(300));
  const Dispatch *second = find<Dispatch>(retried);
  BOOST_REQUIRE(second != nullptr);
  BOOST_TEST(second->Attempt == 2U);
}

BOOST_AUTO_TEST_CASE(DuplicateAndMismatchedOutcomesAreDiscarded) {
  Fixture fixture;
  (void)fixture.submit(1, true, at(0));
  BOOST_TEST(fixture.Subject
                 ->handleAttemptOutcome(Fixture::id(1), 2,
                                        AttemptOutcome::Answered, at(5))
                 .empty());
  const RouterActions first = fixture.Subject->handleAttemptOutcome(
      Fixture::id(1), 1, AttemptOutcome::Answered, at(10));
  BOOST_TEST(find<Deliver>(first) != nullptr);
  const RouterActions second = fixture.Subject->handleAttemptOutcome(
      Fixture::id(1), 1, AttemptOutcome::Answered, at(11));
  BOOST_TEST(find<Deliver>(second) == nullptr);
  BOOST_TEST(fixture.Subject->counters().DiscardedOutcomes == 2U);
}

BOOST_AUTO_TEST_CASE(NoDispatchAfterTheCreditLeaseExpired) {
  Fixture fixture;
  BOOST_TEST(find<Dispatch>(fixture.submit(1, true, at(1800))) != nullptr);
  BOOST_TEST(find<Dispatch>(fixture.submit(2, true, at(1900))) == nullptr);
  const RouterActions renewed = fixture.grant(2, 1, at(1950));
  BOOST_TEST(find<Dispatch>(renewed) != nullptr);
}

BOOST_AUTO_TEST_CASE(DelayedGrantHasExpired) {
  Fixture fixture(0);
  const EntryReport report = fixture.Subject->report(Zone, at(100));
  CreditGrant late{report.From,         Zone, Term{1}, 99, report.Sequence,
                   Duration::seconds(2)};
  late.Credits = {{RunnerId("r1"), 8}};
  (void)fixture.Subject->handleGrant(late, at(2100));
  BOOST_TEST(find<Dispatch>(fixture.submit(1, true, at(2101))) == nullptr);
}

BOOST_AUTO_TEST_CASE(LeavingRunnerGetsNoNewRequests) {
  Fixture fixture;
  fixture.announce(1, true, at(10));
  const RouterActions actions = fixture.submit(1, true, at(20));
  BOOST_TEST(find<Dispatch>(actions) == nullptr);
  BOOST_TEST(find<Shed>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(TeamsAreServedByShareNotByArrival) {
  Fixture fixture(1);
  fixture.Subject->setShares({{TeamId("t1"), 1, {}}, {TeamId("t2"), 3, {}}});
  (void)fixture.submit(100, true, at(0), at(60000), 1);
  for (int n = 0; n < 20; ++n)
    (void)fixture.submit(n, true, at(0), at(60000), 1);
  for (int n = 20; n < 40; ++n)
    (void)fixture.submit(n, true, at(0), at(60000), 2);
  int served = 0;
  RequestId last = Fixture::id(100);
  for (int i = 1; i <= 16; ++i) {
    const RouterActions next = fixture.Subject->handleAttemptOutcome(
        last, 1, AttemptOutcome::Answered, at(0));
    last = find<Dispatch>(next)->Request;
    for (int n = 20; n < 40; ++n)
      served += last == Fixture::id(n) ? 1 : 0;
  }
  BOOST_TEST(served == 12);
}

BOOST_AUTO_TEST_CASE(ExpiredRequestsAreShedBeforeDispatch) {
  Fixture fixture(1);
  (void)fixture.submit(1, true, at(0));
  (void)fixture.submit(2, true, at(0), at(300));
  const RouterActions expired = fixture.Subject->tick(at(300));
  const Shed *shed = find<Shed>(expired);
  BOOST_REQUIRE(shed != nullptr);
  BOOST_TEST((shed->Request == Fixture::id(2)));
  BOOST_TEST((shed->Why.Kind == ErrorKind::NotRun));
}

// A request queued while latency was low is not started if the latency has
// since grown so much that it would miss its deadline.
BOOST_AUTO_TEST_CASE(QueuedRequestsAreShedWhenLatencyGrows) {
  Fixture fixture(1);
  for (int n = 1; n <= 20; ++n) {
    const int64_t start = int64_t{60} * n;
    (void)fixture.submit(n, true, at(start));
    (void)fixture.Subject->handleAttemptOutcome(
        Fixture::id(n), 1, AttemptOutcome::Answered, at(start + 50));
  }
  (void)fixture.submit(30, true, at(1300));
  (void)fixture.submit(31, true, at(1300), at(1300 + 700));
  const RouterActions slow = fixture.Subject->handleAttemptOutcome(
      Fixture::id(30), 1, AttemptOutcome::Answered, at(1300 + 600));
  BOOST_TEST(find<Dispatch>(slow) == nullptr);
  BOOST_TEST(find<Shed>(slow) != nullptr);
}

BOOST_AUTO_TEST_CASE(RetriesAreLimitedByTheTeamBudget) {
  RouterOptions options;
  options.Retries.Burst = 1;
  options.Retries.PerRequest = 0;
  Fixture fixture(4, 1, options);
  (void)fixture.submit(1, true, at(0));
  BOOST_TEST(find<Dispatch>(fixture.Subject->handleAttemptOutcome(
                 Fixture::id(1), 1, AttemptOutcome::Refused, at(1))) !=
             nullptr);
  (void)fixture.submit(2, true, at(2));
  const RouterActions refused = fixture.Subject->handleAttemptOutcome(
      Fixture::id(2), 1, AttemptOutcome::Refused, at(3));
  BOOST_TEST(find<Dispatch>(refused) == nullptr);
  BOOST_TEST(find<Shed>(refused) != nullptr);
}

BOOST_AUTO_TEST_CASE(ResubmissionRepeatsTheConclusion) {
  Fixture fixture;
  (void)fixture.submit(1, false, at(0));
  (void)fixture.Subject->handleOfferJournaled(Fixture::id(1), Ok{}, at(1));
  BOOST_TEST(fixture.submit(1, false, at(2)).empty());
  (void)fixture.Subject->handleAttemptOutcome(Fixture::id(1), 1,
                                              AttemptOutcome::Unknown, at(50));
  BOOST_TEST(find<MarkUnresolved>(fixture.submit(1, false, at(60))) != nullptr);
}

BOOST_AUTO_TEST_CASE(DrainHandsOverTheQueueAndFinishesTheRest) {
  Fixture fixture(1);
  (void)fixture.submit(1, true, at(0));
  (void)fixture.submit(2, true, at(0));
  const RouterActions drained = fixture.Subject->beginDrain(at(10));
  BOOST_REQUIRE(find<HandOver>(drained) != nullptr);
  BOOST_TEST((find<HandOver>(drained)->Request == Fixture::id(2)));
  BOOST_TEST(find<HandOver>(fixture.submit(3, true, at(11))) != nullptr);
  BOOST_TEST(!fixture.Subject->isIdle());
  BOOST_TEST(find<Deliver>(fixture.Subject->handleAttemptOutcome(
                 Fixture::id(1), 1, AttemptOutcome::Answered, at(20))) !=
             nullptr);
  BOOST_TEST(fixture.Subject->isIdle());
}

BOOST_AUTO_TEST_CASE(UnusedCreditsOfContendedEntriesAreReturned) {
  Fixture fixture(3);
  (void)fixture.submit(1, true, at(0));
  const EntryReport before = fixture.Subject->report(Zone, at(1));
  BOOST_TEST(before.Runners.front().Held == 3U);
  CreditGrant grant{before.From,         Zone, Term{1}, 9, before.Sequence,
                    Duration::seconds(2)};
  grant.Credits = {{RunnerId("r1"), 3}};
  grant.Contended = {Entry};
  (void)fixture.Subject->handleGrant(grant, at(2));
  BOOST_TEST(find<SendReport>(fixture.Subject->tick(at(8))) != nullptr);
  const EntryReport after = fixture.Subject->report(Zone, at(8));
  BOOST_TEST(after.Runners.front().Held == 1U);
  BOOST_TEST(after.Runners.front().InFlight == 1U);
}

// Hedges leave free credits for new requests.
BOOST_AUTO_TEST_CASE(HedgesLeaveHeadroom) {
  RouterOptions options;
  options.MaxPerRunner = 10;
  Fixture fixture(10, 2, options);
  for (int n = 1; n <= 18; ++n)
    (void)fixture.submit(n, true, at(0));
  BOOST_TEST(find<Dispatch>(fixture.Subject->tick(at(500))) != nullptr);
  BOOST_TEST(find<Dispatch>(fixture.Subject->tick(at(501))) == nullptr);
}

// A runner that fails more often than its peers is suspended; if all fail
// alike, none is.
BOOST_AUTO_TEST_CASE(OnlyRunnersFailingMoreThanTheirPeersAreSuspended) {
  RunnerHealth outlier;
  RunnerHealth common;
  for (int i = 0; i < 20; ++i) {
    outlier.observe(AttemptOutcome::Failed, Duration::millis(5), at(i), 0.1);
    common.observe(AttemptOutcome::Failed, Duration::millis(5), at(i), 1.0);
  }
  BOOST_TEST((outlier.stateAt(at(20)) == HealthState::Suspended));
  BOOST_TEST((common.stateAt(at(20)) == HealthState::Healthy));
  BOOST_TEST((outlier.stateAt(at(2000)) == HealthState::Probation));
  for (int i = 0; i < 5; ++i)
    outlier.observe(AttemptOutcome::Answered, Duration::millis(50),
                    at(2000 + i));
  BOOST_TEST((outlier.stateAt(at(2010)) == HealthState::Healthy));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::routing
