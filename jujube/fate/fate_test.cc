#include <boost/test/unit_test.hpp>

#include "jujube/fate/fate_state_machine.h"

namespace jujube::fate {
namespace {

const RequestId Request("ubungo.7f");
const TaskId Task{Request, 0};
const WorkerId Worker("w1");
const TeamId Team("events");
constexpr Resources Ask{100, 100, 0};

Submission workOf(bool isIdempotent) {
  Submission work;
  work.Request = Request;
  work.Team = Team;
  work.Entry.Id = EntryId("invoices");
  work.Entry.IsIdempotent = isIdempotent;
  work.Payload = "payload";
  work.BodyDigest = "digest";
  return work;
}

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

// Returns a FateStateMachine with one task that is offered to the worker.
FateStateMachine bookWithOffer(bool isIdempotent) {
  FateStateMachine book;
  BOOST_TEST(book.apply(RequestAccepted{workOf(isIdempotent), at(1)}));
  const auto offer =
      book.offer(Task, Term{1}, Worker, Incarnation{1}, Ask, at(2));
  BOOST_REQUIRE(offer.has_value());
  BOOST_TEST(book.apply(*offer));
  return book;
}

TaskReport reportOf(TaskPhase phase, const std::string &text = "") {
  return {Task, {Term{1}, 1}, phase, {}, text};
}

void applyAll(FateStateMachine &book, const std::vector<Event> &events) {
  for (const Event &event : events)
    BOOST_TEST(book.apply(event));
}

FateState stateOf(const FateStateMachine &book) {
  return *book.stateOf(Request);
}

BOOST_AUTO_TEST_SUITE(FateSuite)

BOOST_AUTO_TEST_CASE(ResendGetsTheFateOfTheFirstRequest) {
  const FateStateMachine book = bookWithOffer(true);
  BOOST_TEST(!valueOf(book.submit(workOf(true), at(9))).has_value());
  Submission other = workOf(true);
  other.BodyDigest = "other";
  BOOST_TEST(
      (errorOf(book.submit(other, at(9))).Kind == ErrorKind::DuplicateRequest));
  BOOST_TEST((errorOf(book.cancel(Request, TeamId("x"), at(9))).Kind ==
              ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(FinishedTaskKeepsItsAnswerAndFreesItsReservation) {
  FateStateMachine book = bookWithOffer(true);
  BOOST_TEST((book.usedBy(Team) == Ask));
  const TaskReport finished = reportOf(TaskPhase::Finished, "answer");
  BOOST_TEST(!book.directiveFor(Worker, finished).has_value());
  applyAll(book, book.report(Worker, Incarnation{1}, finished, at(5)));
  const FateView view = *book.view(Request);
  BOOST_TEST((view.State == FateState::Finished));
  BOOST_TEST(view.Tasks.at(0).Answer == "answer");
  BOOST_TEST((view.EndedAt == at(5)));
  BOOST_TEST((book.usedBy(Team) == Resources{}));
  BOOST_TEST(
      (book.directiveFor(Worker, finished) == DirectiveKind::Acknowledge));
  BOOST_TEST(book.findRequest(Request)->Work.Payload.empty());
}

BOOST_AUTO_TEST_CASE(LostOfferIsRetriedOnlyIfIdempotent) {
  FateStateMachine idempotent = bookWithOffer(true);
  applyAll(idempotent, idempotent.workerExpired(Worker, at(20)));
  BOOST_TEST((stateOf(idempotent) == FateState::Queued));
  BOOST_TEST((idempotent.directiveFor(Worker, reportOf(TaskPhase::Running)) ==
              DirectiveKind::Stop));

  FateStateMachine nonIdempotent = bookWithOffer(false);
  applyAll(nonIdempotent, nonIdempotent.workerExpired(Worker, at(20)));
  BOOST_TEST((stateOf(nonIdempotent) == FateState::Unresolved));
  BOOST_TEST((nonIdempotent.usedBy(Team) == Resources{}));
  BOOST_TEST(
      !nonIdempotent.offer(Task, Term{1}, Worker, Incarnation{1}, Ask, at(21))
           .has_value());
  const FatePolicy policy;
  BOOST_TEST(nonIdempotent.dueEvents(at(19) + policy.ResolveWithin, 9).empty());
  FateStateMachine expired = nonIdempotent;
  applyAll(expired, nonIdempotent.dueEvents(at(20) + policy.ResolveWithin, 9));
  BOOST_TEST((stateOf(expired) == FateState::Failed));
  // The worker reconnects and reports the outcome.
  applyAll(nonIdempotent,
           nonIdempotent.report(Worker, Incarnation{1},
                                reportOf(TaskPhase::Finished, "late"), at(99)));
  BOOST_TEST((stateOf(nonIdempotent) == FateState::Finished));
}

BOOST_AUTO_TEST_CASE(RefusedOfferCanStillEndAsNotRun) {
  FateStateMachine book = bookWithOffer(false);
  applyAll(book, book.report(Worker, Incarnation{1},
                             reportOf(TaskPhase::Refused), at(5)));
  BOOST_TEST((stateOf(book) == FateState::Queued));
  const auto rejection = book.reject(
      Request, {ErrorKind::ImpossibleRequest, "too large", "ask less"}, at(6));
  BOOST_REQUIRE(rejection.has_value());
  BOOST_TEST(book.apply(*rejection));
  BOOST_TEST((stateOf(book) == FateState::NotRun));
}

BOOST_AUTO_TEST_CASE(RefusalOfARunningAttemptIsIgnored) {
  FateStateMachine book = bookWithOffer(false);
  applyAll(book, book.report(Worker, Incarnation{1},
                             reportOf(TaskPhase::Started), at(5)));
  const TaskReport refusal = reportOf(TaskPhase::Refused);
  BOOST_TEST(book.report(Worker, Incarnation{1}, refusal, at(6)).empty());
  BOOST_TEST(!book.apply(
      TaskEnded{Task, refusal.Token, TaskPhase::Refused, "", at(6)}));
  BOOST_TEST((stateOf(book) == FateState::Running));
}

BOOST_AUTO_TEST_CASE(
    MissedStartDeadlineEndsAsNotRunAndRetentionDeletesTheRequest) {
  FateStateMachine book;
  Submission work = workOf(true);
  work.StartWithin = Duration::seconds(1);
  book.apply(RequestAccepted{work, at(0)});
  BOOST_TEST(book.dueEvents(at(999), 9).empty());
  applyAll(book, book.dueEvents(at(1000), 9));
  BOOST_TEST((stateOf(book) == FateState::NotRun));
  const FatePolicy policy;
  applyAll(book, book.dueEvents(at(1000) + policy.Retention, 9));
  BOOST_TEST(!book.view(Request).has_value());
}

BOOST_AUTO_TEST_CASE(ExcessEndedTasksAreDeletedBeforeTheirRetention) {
  FatePolicy policy;
  policy.MaxEndedTasks = 3;
  FateStateMachine book(policy);
  for (int64_t n = 0; n < 3; ++n) {
    Submission work = workOf(true);
    work.Request = RequestId("ubungo." + std::to_string(n));
    work.Tasks = 2;
    book.apply(RequestAccepted{work, at(n)});
    book.apply(RequestCancelled{work.Request, at(n)});
  }
  BOOST_TEST(
      book.dueEvents(at(0) + policy.MinRetention - Duration::millis(1), 9)
          .empty());
  applyAll(book, book.dueEvents(at(9) + policy.MinRetention, 9));
  BOOST_TEST(book.size() == 1U);
  BOOST_TEST(book.view(RequestId("ubungo.2")).has_value());
}

BOOST_AUTO_TEST_CASE(FailedTaskStopsItsGang) {
  FateStateMachine book;
  Submission work = workOf(true);
  work.Entry.Class = catalogue::WorkClass::Gang;
  work.Entry.MaxAttempts = 1;
  work.Tasks = 2;
  book.apply(RequestAccepted{work, at(1)});
  book.apply(*book.offer(Task, Term{1}, Worker, Incarnation{1}, Ask, at(2)));
  book.apply(
      *book.offer({Request, 1}, Term{1}, Worker, Incarnation{1}, Ask, at(2)));
  applyAll(book, book.report(Worker, Incarnation{1},
                             reportOf(TaskPhase::Failed, "bad"), at(3)));
  BOOST_TEST(book.attemptsOn(Worker).at(0).IsStopping);
  applyAll(book, book.report(Worker, Incarnation{1},
                             {{Request, 1}, {Term{1}, 1}, TaskPhase::Stopped},
                             at(4)));
  BOOST_TEST((stateOf(book) == FateState::Failed));
}

BOOST_AUTO_TEST_CASE(LiveRequestIsOfferedOnceUnlessRefused) {
  FateStateMachine book;
  const LiveOffered offer{
      Request,         Team,           EntryId("desk"), "d",
      HostId("entry"), RunnerId("r1"), false,           at(1)};
  BOOST_TEST(book.apply(*valueOf(book.offerLive(offer))));
  BOOST_TEST(!valueOf(book.offerLive(offer)).has_value());
  const auto end = [&](FateState state, const std::string &text) {
    return LiveEnded{Request, offer.EntryHost, offer.Runner, state, text,
                     at(2)};
  };
  BOOST_TEST(book.apply(end(FateState::Queued, "refused")));
  BOOST_TEST(book.apply(*valueOf(book.offerLive(offer))));
  applyAll(book, book.entryHostLost(offer.EntryHost, at(3)));
  BOOST_TEST((stateOf(book) == FateState::Unresolved));
  BOOST_TEST(!valueOf(book.offerLive(offer)).has_value());
  BOOST_TEST(book.apply(end(FateState::Finished, "answer")));
  BOOST_TEST(!book.apply(end(FateState::Failed, "")));
  BOOST_TEST(book.view(Request)->Tasks.at(0).Answer == "answer");
}

BOOST_AUTO_TEST_CASE(SnapshotRestoresTheSameState) {
  FateStateMachine book = bookWithOffer(false);
  const auto restored = FateStateMachine::fromState(book.state());
  BOOST_REQUIRE(isOk(restored));
  BOOST_TEST((valueOf(restored).state() == book.state()));
  BOOST_TEST((valueOf(restored).usedBy(Team) == Ask));
  BOOST_TEST(valueOf(restored).workerExpired(Worker, at(9)).size() == 1U);
  FateSnapshot bad = book.state();
  bad.Requests.at(0).Tasks.clear();
  BOOST_TEST((errorOf(FateStateMachine::fromState(bad)).Kind ==
              ErrorKind::CorruptData));
}

BOOST_AUTO_TEST_CASE(ChangedReservationIsKeptAndFreedWithItsAttempt) {
  FateStateMachine book = bookWithOffer(true);
  BOOST_TEST(!book.changeReservation(Task, Ask, at(3)).has_value());
  const auto change = book.changeReservation(Task, Ask * 3, at(3));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(book.apply(*change));
  BOOST_TEST(!book.apply(*change));
  BOOST_TEST((book.usedBy(Team) == Ask * 3));
  BOOST_TEST((book.activeAttempts()[0].Reserved == Ask * 3));
  applyAll(book, book.report(Worker, Incarnation{1},
                             reportOf(TaskPhase::Stopped), at(4)));
  BOOST_TEST((book.usedBy(Team) == Resources{}));
  // The attempt of this token has ended.
  BOOST_TEST(!book.apply(*change));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::fate
