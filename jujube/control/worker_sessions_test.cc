#include "jujube/control/worker_sessions.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "testing/job_samples.h"

namespace jujube::control {
namespace {

using dispatch::LeaseOrder;
using dispatch::OrderAnswer;
using dispatch::OrderVerdict;
using dispatch::ReportedAttempt;
using dispatch::ReportedEnd;
using dispatch::StartOrder;
using dispatch::StopOrder;
using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

const WorkerId W1("w1");
constexpr uint64_t Fence = 7;

// Sessions whose orders and events wait until the test answers or stores them.
struct Fixture {
  struct Sent {
    dispatch::Order What;
    std::function<void(OrderAnswer)> Done;
  };
  struct PendingWrite {
    std::vector<jobs::Event> Events;
    std::function<void(bool)> Done;
  };

  ManualClock Time;
  jobs::JobStateMachine Book;
  std::deque<Sent> Orders;
  std::deque<PendingWrite> Writes;
  std::unique_ptr<WorkerSessions> Sessions;

  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;
  explicit Fixture(jobs::JobStateMachine book,
                   std::size_t maxWaitingOrders = 10)
      : Book(std::move(book)) {
    Time.advance(Duration::seconds(100));
    WorkerSessions::Hooks hooks;
    hooks.Send = [this](dispatch::Order order, Duration,
                        std::function<void(OrderAnswer)> done) {
      Orders.push_back({std::move(order), std::move(done)});
    };
    hooks.Store = [this](std::vector<jobs::Event> events,
                         std::function<void(bool)> done) {
      Writes.push_back({std::move(events), std::move(done)});
    };
    hooks.Now = [this] { return Time.now(); };
    hooks.ExpireTicket = [](const jobs::StepKey &, const WorkerId &) {};
    dispatch::LeasePolicy leases;
    leases.Lease = Duration::seconds(5);
    Sessions = std::make_unique<WorkerSessions>(std::move(hooks), Book, leases,
                                                Fence, maxWaitingOrders);
  }

  void announce(uint64_t life = 1) {
    jobs::Announcement what;
    what.AnnouncedWorker = sampleWorker("w1");
    what.AnnouncedWorker.WorkerIncarnation = Incarnation{life};
    what.WorkerClock = Instant::fromMillis(500'000);
    Book.apply(jobs::WorkerChanged{what.AnnouncedWorker});
    Sessions->noteAnnouncement(what);
  }
  // Starts task 0 of job a with the given attempt number.
  void start(uint32_t attempt = 1) {
    const jobs::AttemptStarted event{taskOf("a", 0), attempt, W1};
    Book.apply(event);
    Sessions->start({event, "ticket"});
  }
  template <typename Order> std::optional<Sent> take() {
    const auto it = std::ranges::find_if(Orders, [](const Sent &sent) {
      return std::holds_alternative<Order>(sent.What.What);
    });
    if (it == Orders.end())
      return std::nullopt;
    Sent sent = std::move(*it);
    Orders.erase(it);
    return sent;
  }
  template <typename Order> void answer(OrderVerdict verdict) {
    auto sent = take<Order>();
    BOOST_REQUIRE(sent.has_value());
    OrderAnswer reply;
    reply.Verdict = verdict;
    sent->Done(reply);
  }
  // Waits for the next lease order and answers it with these lists.
  void answerLeaseOrder(std::vector<ReportedAttempt> running,
                        std::vector<ReportedEnd> ended,
                        std::optional<uint64_t> life = std::nullopt) {
    Time.advance(Duration::millis(300));
    Sessions->tick();
    auto sent = take<LeaseOrder>();
    BOOST_REQUIRE(sent.has_value());
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.Running = std::move(running);
    reply.Ended = std::move(ended);
    if (life)
      reply.WorkerIncarnation = Incarnation{*life};
    sent->Done(reply);
  }
  void storeAll() {
    while (!Writes.empty()) {
      const PendingWrite write = std::move(Writes.front());
      Writes.pop_front();
      for (const jobs::Event &event : write.Events) {
        Book.apply(event);
        if (const auto *end = std::get_if<jobs::AttemptEnded>(&event))
          Sessions->noteEnded(end->Task, W1);
      }
      write.Done(true);
    }
  }
  jobs::JobState jobState() const { return Book.find(jobs::JobId("a"))->State; }
  const jobs::Task &task() const { return *Book.findTask(taskOf("a", 0)); }
};

// A fixture in which task 0 of job a is running.
struct RunningFixture : Fixture {
  RunningFixture()
      : Fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})})) {
    announce();
    start();
    answer<StartOrder>(OrderVerdict::Accepted);
  }
};

// Returns jobs j0, j1, ... with one task each.
std::vector<jobs::JobSpec> numberedJobs(std::size_t n) {
  std::vector<jobs::JobSpec> specs(n);
  for (std::size_t i = 0; i < n; ++i)
    specs[i] = sampleJob("j" + std::to_string(i), {sampleStep(1)});
  return specs;
}

ReportedAttempt runningRow() { return {taskOf("a", 0), 1, "", 10}; }
ReportedEnd endedRow(jobs::EndKind how) {
  return {4, taskOf("a", 0), 1, how, ""};
}

BOOST_AUTO_TEST_SUITE(WorkerSessionsTest)

BOOST_AUTO_TEST_CASE(StartCarriesLeaseFenceAndTicket) {
  Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
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

BOOST_AUTO_TEST_CASE(StartWithoutAnswerIsSentAgainUnderTheSameAttempt) {
  Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::NoAnswer);
  BOOST_TEST(fixture.Writes.empty());
  const auto sent = fixture.take<StartOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StartOrder>(sent->What.What).Attempt == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredAttemptStaysLiveUntilAStopIsConfirmed) {
  Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
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

BOOST_AUTO_TEST_CASE(RefusalAfterAnUnansweredStartStopsTheAttempt) {
  Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
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
    Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
    fixture.announce();
    fixture.start();
    fixture.answer<StartOrder>(verdict);
    fixture.storeAll();
    BOOST_TEST(!fixture.task().Live.has_value());
  }
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
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  auto sent = fixture.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::Accepted;
  reply.IsRunningComplete = false;
  sent->Done(reply);
  BOOST_TEST(!fixture.take<StopOrder>().has_value());
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.take<StopOrder>().has_value());
}

// Guards against attempts that have ended `done` and are run again, because
// their ends come with a later page of the list.
BOOST_AUTO_TEST_CASE(AttemptsAreNotStoppedWhileMoreEndsMayBeListed) {
  RunningFixture fixture;
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  auto sent = fixture.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::Accepted;
  reply.Ended = {{3, taskOf("b", 0), 1, jobs::EndKind::Done, ""}};
  reply.IsEndedComplete = false;
  sent->Done(reply);
  BOOST_TEST(!fixture.take<StopOrder>().has_value());
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Done)});
  fixture.storeAll();
  BOOST_TEST((fixture.jobState() == jobs::JobState::Completed));
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
    fixture.Time.advance(Duration::millis(300));
    fixture.Sessions->tick();
    auto late = fixture.take<LeaseOrder>();
    BOOST_REQUIRE(late.has_value());
    fixture.announce(2);
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.WorkerIncarnation = life;
    reply.WorkerClock = Instant::fromMillis(9'000'000);
    reply.Ended = {{57, taskOf("b", 0), 1, jobs::EndKind::Done, ""}};
    late->Done(reply);
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
  fixture.Time.advance(Duration::millis(300));
  fixture.Sessions->tick();
  auto late = fixture.take<LeaseOrder>();
  BOOST_REQUIRE(late.has_value());
  fixture.announce(2);
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::OtherIncarnation;
  late->Done(reply);
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

BOOST_AUTO_TEST_CASE(NewLeaderTakesOverFromTheJobStateAlone) {
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  Fixture fixture(std::move(book));
  fixture.Sessions->takeOver();
  fixture.answerLeaseOrder({}, {endedRow(jobs::EndKind::Done)});
  fixture.storeAll();
  BOOST_TEST((fixture.jobState() == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(NewLeaderStopsAnAttemptThatIsNotListed) {
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  Fixture fixture(std::move(book));
  fixture.Sessions->takeOver();
  fixture.answerLeaseOrder({}, {});
  BOOST_TEST(fixture.Writes.empty());
  const auto sent = fixture.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Fence == Fence);
}

BOOST_AUTO_TEST_CASE(WorkerThatKeepsFailingIsSuspectForLonger) {
  Fixture fixture(sampleBook({}, numberedJobs(5)));
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
  Fixture fixture(sampleBook({}, numberedJobs(8)));
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
struct FillerFixture : Fixture {
  FillerFixture() : Fixture(bookOf()) {
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
  Fixture next(Book);
  next.Sessions->takeOver();
  next.announce();
  next.answerLeaseOrder({{taskOf("a", 0), 1, "", 100, Duration::millis(50)},
                         {taskOf("b", 0), 1, "", 30}},
                        {});
  auto sent = next.take<dispatch::ThrottleOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<dispatch::ThrottleOrder>(sent->What.What).Percent == 60);
}

// A long-running task with an unavailability limit may be running although no
// start was answered. The start must be resent rather than stopped.
BOOST_AUTO_TEST_CASE(LastingTaskWithABoundIsNotStoppedForWantOfAnAnswer) {
  jobs::StepSpec longRunning = sampleStep(1);
  longRunning.IsLongRunning = true;
  longRunning.MaxUnavailable = 0;
  Fixture fixture(sampleBook({}, {sampleJob("a", {longRunning})}));
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

BOOST_AUTO_TEST_CASE(StrayAttemptIsStopped) {
  RunningFixture fixture;
  fixture.answerLeaseOrder({runningRow(), {taskOf("gone", 0), 3, "", 50}}, {});
  const auto sent = fixture.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Task.Job.str() == "gone");
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

// Each lease order that waits at a worker occupies a connection of the leader.
BOOST_AUTO_TEST_CASE(LeaseOrdersBeyondTheLimitDoNotWait) {
  Fixture fixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})}), 0);
  fixture.announce();
  fixture.start();
  fixture.answer<StartOrder>(OrderVerdict::Accepted);
  for (int i = 0; i < 3; ++i) {
    fixture.Time.advance(Duration::millis(300));
    fixture.Sessions->tick();
    const auto sent = fixture.take<LeaseOrder>();
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST((std::get<LeaseOrder>(sent->What.What).Wait == Duration()));
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.Running = {runningRow()};
    sent->Done(reply);
    // The next order is not sent at once.
    fixture.Sessions->tick();
    BOOST_TEST(!fixture.take<LeaseOrder>().has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
