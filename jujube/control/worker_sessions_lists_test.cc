// Tests of lease orders: the lists in their answers, and incarnations.
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
using testing::RunningFixture;
using testing::runningRow;
using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::SessionsFixture;
using testing::taskOf;

BOOST_AUTO_TEST_SUITE(WorkerSessionsTest)

BOOST_AUTO_TEST_CASE(EndIsAcknowledgedOnlyOnceItIsStored) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Done)});
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  BOOST_TEST(!fixture.take<LeaseOrder>().has_value());
  fixture.storeAll();
  BOOST_TEST((fixture.jobState() == jobs::JobState::Completed));
  fixture.Sessions->tick();
  const auto sent = fixture.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<LeaseOrder>(sent->What.What).AckedEnds == 4U);
}

BOOST_AUTO_TEST_CASE(RepeatedEndIsAcknowledgedAndCountsOnce) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Failed)});
  fixture.storeAll();
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Failed)});
  fixture.storeAll();
  BOOST_TEST(fixture.task().Failures == 1U);
}

BOOST_AUTO_TEST_CASE(AttemptThatIsNotListedIsStoppedBeforeItIsLost) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.Writes.empty());
  fixture.answer<StopOrder>(OrderVerdict::Accepted);
  fixture.answerLeaseOrder({}, {});
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(IncompleteListDoesNotStopAttempts) {
  RunningFixture fixture;
  const auto sent = fixture.awaitLeaseOrder();
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::Accepted;
  reply.IsRunningComplete = false;
  sent.Done(reply);
  BOOST_TEST(!fixture.take<StopOrder>().has_value());
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.take<StopOrder>().has_value());
}

// Guards against attempts that have ended `done` and are run again, because
// their ends come with a later page of the list.
BOOST_AUTO_TEST_CASE(AttemptsAreNotStoppedWhileMoreEndsMayBeListed) {
  RunningFixture fixture;
  const auto sent = fixture.awaitLeaseOrder();
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::Accepted;
  reply.Ended = {{3, taskOf("b", 0), 1, jobs::EndKind::Done, ""}};
  reply.IsEndedComplete = false;
  sent.Done(reply);
  BOOST_TEST(!fixture.take<StopOrder>().has_value());
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Done)});
  fixture.storeAll();
  BOOST_TEST((fixture.jobState() == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(NewIncarnationHasNoAttemptsAndResetsAckedEnds) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({runningRow()}, {});
  fixture.announce(2);
  fixture.answerLeaseOrder({}, {}, 2);
  fixture.answer<StopOrder>(OrderVerdict::Accepted);
  fixture.answerLeaseOrder(
      {}, {{1, taskOf("b", 0), 1, jobs::EndKind::Done, ""}}, 2);
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
  fixture.Sessions->tick();
  const auto sent = fixture.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<LeaseOrder>(sent->What.What).AckedEnds == 1U);
}

// Guards against ends of the next incarnation that are acknowledged before they
// were read, and against leases counted on the clock of the earlier one.
BOOST_AUTO_TEST_CASE(LateAnswerOfAnEarlierIncarnationIsNotThatOfTheNext) {
  for (const std::optional<Incarnation> life :
       {std::optional(Incarnation{1}), std::optional<Incarnation>()}) {
    RunningFixture fixture;
    const auto late = fixture.awaitLeaseOrder();
    fixture.announce(2);
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.WorkerIncarnation = life;
    reply.WorkerClock = Instant::fromMillis(9'000'000);
    reply.Ended = {{57, taskOf("b", 0), 1, jobs::EndKind::Done, ""}};
    late.Done(reply);
    fixture.storeAll();
    // A query without a lease, since the last order has no answer.
    fixture.answerLeaseOrder({runningRow()}, {}, 2);
    fixture.Sessions->tick();
    const auto sent = fixture.take<LeaseOrder>();
    BOOST_REQUIRE(sent.has_value());
    const auto &order = std::get<LeaseOrder>(sent->What.What);
    BOOST_TEST(order.AckedEnds == 0U);
    BOOST_REQUIRE(order.Expires.has_value());
    BOOST_TEST((*order.Expires <= Instant::fromMillis(506'000)));
  }
}

// Guards against a refusal addressed to an earlier incarnation that ends the
// attempts on the next one.
BOOST_AUTO_TEST_CASE(LateRefusalOfAnEarlierIncarnationEndsNoAttempt) {
  RunningFixture fixture;
  const auto late = fixture.awaitLeaseOrder();
  fixture.announce(2);
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::OtherIncarnation;
  late.Done(reply);
  BOOST_TEST(fixture.Writes.empty());
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherIncarnationEndsTheAttempts) {
  RunningFixture fixture;
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  fixture.answer<LeaseOrder>(OrderVerdict::OtherIncarnation);
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(StrayAttemptIsStopped) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({runningRow(), {taskOf("gone", 0), 3, "", 50}}, {});
  const auto sent = fixture.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Task.Job.str() == "gone");
}

// Each lease order that waits at a worker occupies a connection of the leader.
BOOST_AUTO_TEST_CASE(LeaseOrdersBeyondTheLimitDoNotWait) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}), 0);
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::Accepted);
  for (int i = 0; i < 3; ++i) {
    const auto sent = fixture.awaitLeaseOrder();
    BOOST_TEST((std::get<LeaseOrder>(sent.What.What).Wait == Duration()));
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.Running = {runningRow()};
    sent.Done(reply);
    // The next order is not sent at once.
    fixture.Sessions->tick();
    BOOST_TEST(!fixture.take<LeaseOrder>().has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
