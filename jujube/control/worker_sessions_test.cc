#include "jujube/control/worker_sessions.h"

#include <boost/test/unit_test.hpp>

#include "testing/job_samples.h"
#include "testing/sessions_fixture.h"

namespace jujube::control {
namespace {

using dispatch::LeaseOrder;
using dispatch::OrderAnswer;
using dispatch::OrderVerdict;
using dispatch::StartOrder;
using dispatch::StopOrder;
using testing::endedRow;
using testing::Fence;
using testing::RunningFixture;
using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::SessionsFixture;
using testing::taskOf;
using testing::W1;

// Returns jobs j0, j1, ... with one task each.
std::vector<jobs::JobSpec> numberedJobs(std::size_t n) {
  std::vector<jobs::JobSpec> specs(n);
  for (std::size_t i = 0; i < n; ++i)
    specs[i] = sampleJob("j" + std::to_string(i), {sampleStep(1)});
  return specs;
}

BOOST_AUTO_TEST_SUITE(WorkerSessionsTest)

BOOST_AUTO_TEST_CASE(StartCarriesLeaseFenceAndTicket) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  const auto sent = fixture.take<StartOrder>();
  BOOST_REQUIRE(sent.has_value());
  const auto &order = std::get<StartOrder>(sent->What.What);
  BOOST_TEST(order.Fence == Fence);
  BOOST_TEST(order.Ticket == "ticket");
  BOOST_TEST(order.Payload == "payload of a");
  BOOST_TEST(order.Expires.millis() == 505'000);
}

BOOST_AUTO_TEST_CASE(StartWithoutAnswerIsSentAgainUnderTheSameAttempt) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
  BOOST_TEST(fixture.Writes.empty());
  const auto sent = fixture.take<StartOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StartOrder>(sent->What.What).Attempt == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredAttemptStaysLiveUntilAStopIsConfirmed) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  for (int i = 0; i < 3; ++i)
    fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.Writes.empty());
  fixture.answer<StopOrder>(OrderVerdict::Accepted);
  fixture.answerLeaseOrder({}, {});
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
  BOOST_TEST(fixture.task().Failures == 0U);
}

// Guards against a start that is resent after the evacuation was acknowledged,
// and against the stop of a task that runs and whose answer was lost.
BOOST_AUTO_TEST_CASE(UnansweredStartInAnEvacuatedZoneIsNotResent) {
  for (const bool isRunning : {false, true}) {
    SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
    fixture.announce();
    fixture.start();
    fixture.Book.apply(jobs::ZoneEvacuated{sampleWorker("w1").Zone});
    BOOST_TEST(fixture.Sessions->usable().empty());
    fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
    BOOST_TEST(!fixture.take<StartOrder>().has_value());
    BOOST_TEST(!fixture.take<StopOrder>().has_value());
    if (isRunning)
      fixture.answerLeaseOrder({testing::runningRow()}, {});
    else
      fixture.answerLeaseOrder({}, {});
    BOOST_TEST(fixture.take<StopOrder>().has_value() == !isRunning);
    BOOST_TEST(!fixture.take<StartOrder>().has_value());
    BOOST_TEST(fixture.Writes.empty());
    BOOST_TEST(fixture.task().Live.has_value());
  }
}

BOOST_AUTO_TEST_CASE(StartThatHasNotLeftIsGivenUpInAnEvacuatedZone) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.MayGrant = false;
  fixture.start();
  fixture.Book.apply(jobs::ZoneEvacuated{sampleWorker("w1").Zone});
  fixture.MayGrant = true;
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  BOOST_TEST(!fixture.take<StartOrder>().has_value());
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(WorkerIsColdForAsLongAsItSays) {
  SessionsFixture fixture(sampleBook({}, {}));
  fixture.announce();
  BOOST_TEST(!fixture.Sessions->usable().at(0).IsCold);
  jobs::Announcement what;
  what.AnnouncedWorker = sampleWorker("w1");
  what.Sequence = 2;
  what.ColdRemaining = Duration::millis(700);
  fixture.Sessions->noteAnnouncement(what);
  BOOST_TEST(fixture.Sessions->usable().at(0).IsCold);
  fixture.Time.advance(Duration::millis(700));
  BOOST_TEST(!fixture.Sessions->usable().at(0).IsCold);
}

// Guards against leases and starts of a leader that has lost its quorum.
BOOST_AUTO_TEST_CASE(NothingIsGrantedWhileAnotherLeaderMayAct) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.MayGrant = false;
  fixture.start();
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  BOOST_TEST(fixture.Orders.empty());
  fixture.MayGrant = true;
  fixture.Sessions->tick();
  fixture.answer<StartOrder>(OrderVerdict::Accepted);
  fixture.answer<LeaseOrder>(OrderVerdict::Accepted);
  fixture.MayGrant = false;
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  BOOST_TEST(fixture.Orders.empty());
}

BOOST_AUTO_TEST_CASE(RefusalAfterAnUnansweredStartStopsTheAttempt) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
  fixture.answer<StartOrder>(OrderVerdict::InsufficientCapacity);
  BOOST_TEST(fixture.Writes.empty());
  BOOST_TEST(fixture.take<StopOrder>().has_value());
}

BOOST_AUTO_TEST_CASE(RefusalOfTheFirstStartEndsTheAttempt) {
  for (const OrderVerdict verdict :
       {OrderVerdict::InsufficientCapacity, OrderVerdict::BadTicket,
        OrderVerdict::TooLate, OrderVerdict::Unhealthy,
        OrderVerdict::OtherIncarnation}) {
    SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
    fixture.announce();
    fixture.start();
    fixture.answer<StartOrder>(verdict);
    fixture.storeAll();
    BOOST_TEST(!fixture.task().Live.has_value());
  }
}

// Guards against a task that is never started again because the end of its
// attempt was refused while the leader's lease had expired (review/6).
BOOST_AUTO_TEST_CASE(EndThatWasRefusedIsStoredAgain) {
  for (const OrderVerdict verdict :
       {OrderVerdict::Unhealthy, OrderVerdict::OtherIncarnation}) {
    SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
    fixture.announce();
    fixture.start();
    fixture.answer<StartOrder>(verdict);
    fixture.refuseAll();
    BOOST_TEST(fixture.task().Live.has_value());
    fixture.Time.advance(Duration::millis(50));
    fixture.Sessions->tick();
    fixture.storeAll();
    BOOST_TEST(!fixture.task().Live.has_value());
  }
}

// Guards against an end that is stored once more on each tick until it is part
// of the job state.
BOOST_AUTO_TEST_CASE(EndIsStoredOnceAtATime) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::Unhealthy);
  for (int i = 0; i < 3; ++i) {
    fixture.Time.advance(Duration::millis(50));
    fixture.Sessions->tick();
  }
  BOOST_TEST(fixture.Writes.size() == 1U);
}

// Repeated lease orders to a silent worker must not extend its leases.
BOOST_AUTO_TEST_CASE(SilentWorkerIsLostOnlyWhenItsLeasesAreOver) {
  RunningFixture fixture;
  const auto passUnanswered = [&fixture](int ticks) {
    for (int i = 0; i < ticks; ++i) {
      fixture.Time.advance(Duration::millis(100));
      fixture.Sessions->tick();
      for (auto &sent : std::exchange(fixture.Orders, {}))
        sent.Done(OrderAnswer());
    }
  };
  passUnanswered(49);
  BOOST_TEST(fixture.Writes.empty());
  BOOST_TEST(fixture.Sessions->usable().empty());
  passUnanswered(10);
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(NewLeaderTakesOverFromTheJobStateAlone) {
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  SessionsFixture fixture(std::move(book));
  fixture.Sessions->takeOver();
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Done)});
  fixture.storeAll();
  BOOST_TEST((fixture.jobState() == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(NewLeaderStopsAnAttemptThatIsNotListed) {
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  SessionsFixture fixture(std::move(book));
  fixture.Sessions->takeOver();
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.Writes.empty());
  const auto sent = fixture.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Fence == Fence);
}

BOOST_AUTO_TEST_CASE(WorkerThatKeepsFailingIsSuspectForLonger) {
  SessionsFixture fixture(sampleBook({}, numberedJobs(5)));
  fixture.announce();
  uint64_t number = 0;
  const auto fail = [&](int job) {
    const jobs::TaskKey task = taskOf("j" + std::to_string(job), 0);
    const jobs::AttemptStarted event{task, 1, W1};
    fixture.Book.apply(event);
    fixture.Sessions->start({event, ""});
    fixture.answer<StartOrder>(OrderVerdict::Accepted);
    fixture.answerLeaseOrder({},
                             {{++number, task, 1, jobs::EndKind::Failed, ""}});
    fixture.storeAll();
  };
  const auto isSuspect = [&] {
    fixture.announce();
    const auto views = fixture.Sessions->usable();
    BOOST_REQUIRE(views.size() == 1U);
    return views[0].IsSuspect;
  };
  fail(0);
  fail(1);
  BOOST_TEST(!isSuspect());
  fail(2);
  BOOST_TEST(isSuspect());
  fixture.Time.advance(Duration::millis(5100));
  BOOST_TEST(!isSuspect());
  // One more failure is enough now, and the span is twice as long.
  fail(3);
  BOOST_TEST(isSuspect());
  fixture.Time.advance(Duration::millis(6000));
  BOOST_TEST(isSuspect());
  fixture.Time.advance(Duration::millis(5000));
  BOOST_TEST(!isSuspect());
}

// The worker fails every second task.
BOOST_AUTO_TEST_CASE(WorkerThatFailsOftenIsSuspectDespiteSuccesses) {
  SessionsFixture fixture(sampleBook({}, numberedJobs(8)));
  fixture.announce();
  for (int i = 0; i < 8; ++i) {
    const jobs::TaskKey task = taskOf("j" + std::to_string(i), 0);
    const jobs::AttemptStarted event{task, 1, W1};
    fixture.Book.apply(event);
    fixture.Sessions->start({event, ""});
    fixture.answer<StartOrder>(OrderVerdict::Accepted);
    fixture.answerLeaseOrder(
        {}, {{static_cast<uint64_t>(i) + 1, task, 1,
              i % 2 == 0 ? jobs::EndKind::Failed : jobs::EndKind::Done, ""}});
    fixture.storeAll();
    fixture.announce();
    BOOST_REQUIRE(fixture.Sessions->usable().size() == 1U);
    BOOST_TEST(fixture.Sessions->usable()[0].IsSuspect == (i >= 6));
  }
}

// Job a has a serving task and job b a filler task; both run on w1.
struct FillerFixture : SessionsFixture {
  FillerFixture() : SessionsFixture(bookOf()) {
    announce();
    for (const char *job : {"a", "b"}) {
      const jobs::AttemptStarted event{taskOf(job, 0), 1, W1};
      Book.apply(event);
      Sessions->start({event, ""});
      answer<StartOrder>(OrderVerdict::Accepted);
    }
  }
  static jobs::JobStateMachine bookOf() {
    jobs::StepSpec serving = sampleStep(1);
    serving.IsLongRunning = true;
    serving.ResponseTarget = Duration::millis(100);
    jobs::StepSpec filler = sampleStep(1);
    filler.IsFiller = true;
    return sampleBook({},
                      {sampleJob("a", {serving}), sampleJob("b", {filler})});
  }
  // Lists both tasks as running, the serving task with this tail latency.
  void answerWithTail(int64_t ms) {
    Time.advance(Duration::millis(600));
    answerLeaseOrder({{taskOf("a", 0), 1, "", 100, Duration::millis(ms)},
                      {taskOf("b", 0), 1, "", 30}},
                     {});
  }
  std::optional<int> takePace(OrderVerdict verdict) {
    auto sent = take<dispatch::ThrottleOrder>();
    if (!sent)
      return std::nullopt;
    OrderAnswer reply;
    reply.Verdict = verdict;
    sent->Done(reply);
    const auto &order = std::get<dispatch::ThrottleOrder>(sent->What.What);
    BOOST_TEST((order.Task == taskOf("b", 0)));
    BOOST_TEST(order.Fence == Fence);
    return order.Percent;
  }
};

BOOST_FIXTURE_TEST_CASE(FillerTasksAreThrottledWhileATargetIsMissed,
                        FillerFixture) {
  answerWithTail(50);
  BOOST_TEST(!takePace(OrderVerdict::Accepted).has_value());
  answerWithTail(150);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 50);
  answerWithTail(150);
  BOOST_TEST(takePace(OrderVerdict::NoAnswer).value_or(-1) == 25);
  // An order without an answer is resent.
  answerWithTail(90);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 25);
  answerWithTail(90);
  BOOST_TEST(!takePace(OrderVerdict::Accepted).has_value());
  answerWithTail(50);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 35);
}

BOOST_FIXTURE_TEST_CASE(NewLeaderSetsAShareThatItDoesNotKnow, FillerFixture) {
  SessionsFixture next(Book);
  next.Sessions->takeOver();
  next.announce();
  next.answerLeaseOrder({{taskOf("a", 0), 1, "", 100, Duration::millis(50)},
                         {taskOf("b", 0), 1, "", 30}},
                        {});
  auto sent = next.take<dispatch::ThrottleOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<dispatch::ThrottleOrder>(sent->What.What).Percent == 60);
}

// Guards against a filler task that works at full speed after a restart of its
// worker, because the incarnation before was told its share.
BOOST_FIXTURE_TEST_CASE(ShareIsSetAgainAfterARestart, FillerFixture) {
  answerWithTail(150);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 50);
  answerWithTail(90);
  BOOST_TEST(!takePace(OrderVerdict::Accepted).has_value());
  announce(2);
  answerWithTail(90);
  auto sent = take<dispatch::ThrottleOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<dispatch::ThrottleOrder>(sent->What.What).Percent == 50);
}

// A long-running task with an unavailability limit may be running although no
// start was answered. The start must be resent rather than stopped.
BOOST_AUTO_TEST_CASE(LastingTaskWithABoundIsNotStoppedForWantOfAnAnswer) {
  jobs::StepSpec longRunning = sampleStep(1);
  longRunning.IsLongRunning = true;
  longRunning.MaxUnavailable = 0;
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {longRunning})}));
  fixture.announce();
  fixture.start();
  for (int i = 0; i < 3; ++i)
    fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
  fixture.Time.advance(Duration::millis(400));
  fixture.Sessions->tick();
  BOOST_TEST(!fixture.take<StopOrder>().has_value());
  auto again = fixture.take<StartOrder>();
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(std::get<StartOrder>(again->What.What).Attempt == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingAndSilentWorkersGetNoTasks) {
  RunningFixture fixture;
  BOOST_TEST(fixture.Sessions->usable().size() == 1U);
  fixture.Time.advance(Duration::seconds(5));
  BOOST_TEST(fixture.Sessions->usable().empty());
  fixture.announce();
  BOOST_TEST(fixture.Sessions->usable().size() == 1U);
  jobs::Worker draining = sampleWorker("w1");
  draining.IsDraining = true;
  fixture.Book.apply(jobs::WorkerChanged{draining});
  BOOST_TEST(fixture.Sessions->usable().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
