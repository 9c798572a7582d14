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

// Guards against orders to an earlier incarnation that arrive late and that the
// next one carries out.
BOOST_AUTO_TEST_CASE(OrdersAfterARestartHaveAHigherFence) {
  RunningFixture fixture;
  const auto fence = [&fixture] {
    const auto sent = fixture.awaitLeaseOrder();
    sent.Done(OrderAnswer());
    return std::get<LeaseOrder>(sent.What.What).Fence;
  };
  const uint64_t before = fence();
  fixture.announce(2);
  const uint64_t after = fence();
  BOOST_TEST(after > before);
  BOOST_TEST(after < dispatch::fenceOf(testing::LeaderTerm + 1, 0));
  fixture.announce(2);
  BOOST_TEST(fence() == after);
}

// Guards against orders that a worker refuses because it had left the register
// and came back without a restart.
BOOST_AUTO_TEST_CASE(WorkerThatReturnsToTheRegisterIsSentNoLowerFence) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.announce(2);
  const auto before = fixture.awaitLeaseOrder();
  before.Done(OrderAnswer());
  fixture.Book.apply(jobs::WorkerGone{testing::W1, Incarnation{2}});
  fixture.Sessions->noteWorkerChanged(testing::W1);
  fixture.announce(2);
  fixture.start();
  const auto after = fixture.take<StartOrder>();
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(std::get<StartOrder>(after->What.What).Fence >=
             std::get<LeaseOrder>(before.What.What).Fence);
}

// Guards against an attempt that is taken for ended because an earlier
// incarnation confirmed its stop, while a late start reaches the next one.
BOOST_AUTO_TEST_CASE(StopIsConfirmedByTheIncarnationThatMayRunTheAttempt) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({}, {}, 1);
  fixture.answer<StopOrder>(OrderVerdict::Accepted);
  fixture.announce(2);
  fixture.answerLeaseOrder({}, {}, 2);
  BOOST_TEST(fixture.Writes.empty());
  fixture.answer<StopOrder>(OrderVerdict::Accepted);
  fixture.answerLeaseOrder({}, {}, 2);
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

// Guards against a worker that is used before it has seen the fence that makes
// it refuse orders to the incarnation before.
BOOST_AUTO_TEST_CASE(RestartedWorkerIsUsedOnceItHasAnswered) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  BOOST_TEST(fixture.Sessions->usable().size() == 1U);
  fixture.announce(2);
  BOOST_TEST(fixture.Sessions->usable().empty());
  fixture.answerLeaseOrder({}, {}, 2);
  BOOST_TEST(fixture.Sessions->usable().size() == 1U);
}

// Lets this much time pass while no order is answered.
void passUnanswered(SessionsFixture &fixture, Duration span) {
  for (Duration passed; passed < span;
       passed = passed + Duration::millis(100)) {
    fixture.Time.advance(Duration::millis(100));
    fixture.Sessions->tick();
    for (auto &sent : std::exchange(fixture.Orders, {}))
      sent.Done(OrderAnswer());
  }
}

constexpr Duration MaxLease = Duration::seconds(10);

// Guards against an attempt that is started elsewhere while it runs on: the
// next incarnation of its worker took orders to the one before, whose leases
// are counted on another clock.
BOOST_AUTO_TEST_CASE(RestartedWorkerMayHoldTheLongestLease) {
  SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}), 10,
                          MaxLease);
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::Accepted);
  fixture.announce(2);
  fixture.answerLeaseOrder({runningRow()}, {}, 2);
  passUnanswered(fixture, Duration::millis(10'300));
  BOOST_TEST(fixture.Writes.empty());
  passUnanswered(fixture, Duration::millis(300));
  fixture.storeAll();
  BOOST_TEST(!fixture.task().Live.has_value());
}

// Guards against the same for a restart of which the leader does not know. Only
// an attempt that the worker has listed is known to run on the incarnation that
// the leader knows.
BOOST_AUTO_TEST_CASE(AttemptThatWasNotListedMayRunOnALaterIncarnation) {
  for (const bool isListed : {false, true}) {
    SessionsFixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}),
                            10, MaxLease);
    fixture.announce();
    fixture.Sessions->verify(testing::W1);
    fixture.answerLeaseOrder({}, {}, 1);
    // Leases that an earlier leader has granted are over by then.
    passUnanswered(fixture, Duration::seconds(20));
    fixture.announce();
    fixture.start();
    fixture.answer<StartOrder>(OrderVerdict::Accepted);
    fixture.answerLeaseOrder({runningRow()}, {},
                             isListed ? std::optional(uint64_t{1})
                                      : std::optional<uint64_t>());
    passUnanswered(fixture, Duration::seconds(6));
    BOOST_TEST(fixture.Writes.empty() != isListed);
    passUnanswered(fixture, Duration::seconds(5));
    BOOST_TEST(!fixture.Writes.empty());
  }
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
