#include "jujube/control/worker_desk.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "testing/job_samples.h"

namespace jujube::control {
namespace {

using dispatch::EndedRow;
using dispatch::LeaseOrder;
using dispatch::OrderAnswer;
using dispatch::OrderVerdict;
using dispatch::RunningRow;
using dispatch::StartOrder;
using dispatch::StopOrder;
using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

const WorkerId W1("w1");
constexpr uint64_t Fence = 7;

// A desk whose orders and events wait until the test answers or stores them.
struct Bed {
  struct Sent {
    dispatch::Order What;
    std::function<void(OrderAnswer)> Done;
  };
  struct Storing {
    std::vector<jobs::Event> Events;
    std::function<void(bool)> Done;
  };

  ManualClock Time;
  jobs::JobBook Book;
  std::deque<Sent> Orders;
  std::deque<Storing> Writes;
  std::unique_ptr<WorkerDesk> Desk;

  Bed(const Bed &) = delete;
  Bed &operator=(const Bed &) = delete;
  explicit Bed(jobs::JobBook book) : Book(std::move(book)) {
    Time.advance(Duration::seconds(100));
    WorkerDesk::Hooks hooks;
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
    Desk = std::make_unique<WorkerDesk>(std::move(hooks), Book, leases, Fence);
  }

  void announce(uint64_t life = 1) {
    jobs::Announcement what;
    what.Who = sampleWorker("w1");
    what.Who.Life = Incarnation{life};
    what.WorkerClock = Instant::atMillis(500'000);
    Book.apply(jobs::WorkerChanged{what.Who});
    Desk->noteAnnouncement(what);
  }
  // Starts task 0 of job a as `attempt`.
  void start(uint32_t attempt = 1) {
    const jobs::AttemptStarted event{taskOf("a", 0), attempt, W1};
    Book.apply(event);
    Desk->start({event, "ticket"});
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
  // Asks the worker and lets it answer with these lists.
  void list(std::vector<RunningRow> running, std::vector<EndedRow> ended,
            std::optional<uint64_t> life = std::nullopt) {
    Time.advance(Duration::millis(300));
    Desk->tick();
    auto sent = take<LeaseOrder>();
    BOOST_REQUIRE(sent.has_value());
    OrderAnswer reply;
    reply.Verdict = OrderVerdict::Accepted;
    reply.Running = std::move(running);
    reply.Ended = std::move(ended);
    if (life)
      reply.Life = Incarnation{*life};
    sent->Done(reply);
  }
  void storeAll() {
    while (!Writes.empty()) {
      const Storing write = std::move(Writes.front());
      Writes.pop_front();
      for (const jobs::Event &event : write.Events) {
        Book.apply(event);
        if (const auto *end = std::get_if<jobs::AttemptEnded>(&event))
          Desk->noteEnded(end->Task, W1);
      }
      write.Done(true);
    }
  }
  jobs::JobState jobState() const { return Book.find(jobs::JobId("a"))->State; }
  const jobs::Task &task() const { return *Book.findTask(taskOf("a", 0)); }
};

// The same after task 0 of job a has started.
struct RunningBed : Bed {
  RunningBed() : Bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})})) {
    announce();
    start();
    answer<StartOrder>(OrderVerdict::Accepted);
  }
};

// Jobs j0, j1, ... of one task each.
std::vector<jobs::JobSpec> numberedJobs(std::size_t n) {
  std::vector<jobs::JobSpec> specs(n);
  for (std::size_t i = 0; i < n; ++i)
    specs[i] = sampleJob("j" + std::to_string(i), {sampleStep(1)});
  return specs;
}

RunningRow runningRow() { return {taskOf("a", 0), 1, "", 10}; }
EndedRow endedRow(jobs::EndKind how) { return {4, taskOf("a", 0), 1, how, ""}; }

BOOST_AUTO_TEST_SUITE(WorkerDeskTest)

BOOST_AUTO_TEST_CASE(StartCarriesLeaseFenceAndTicket) {
  Bed bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  bed.announce();
  bed.start();
  const auto sent = bed.take<StartOrder>();
  BOOST_REQUIRE(sent.has_value());
  const auto &order = std::get<StartOrder>(sent->What.What);
  BOOST_TEST(order.Fence == Fence);
  BOOST_TEST(order.Ticket == "ticket");
  BOOST_TEST(order.Payload == "payload of a");
  BOOST_TEST(order.Expires.millis() == 505'000);
}

BOOST_AUTO_TEST_CASE(EndIsAcknowledgedOnlyOnceItIsStored) {
  RunningBed bed;
  bed.list({}, {endedRow(jobs::EndKind::Done)});
  bed.Time.advance(Duration::millis(300));
  bed.Desk->tick();
  BOOST_TEST(!bed.take<LeaseOrder>().has_value());
  bed.storeAll();
  BOOST_TEST((bed.jobState() == jobs::JobState::Completed));
  bed.Desk->tick();
  const auto sent = bed.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<LeaseOrder>(sent->What.What).AckedEnds == 4U);
}

BOOST_AUTO_TEST_CASE(RepeatedEndIsAcknowledgedAndCountsOnce) {
  RunningBed bed;
  bed.list({}, {endedRow(jobs::EndKind::Failed)});
  bed.storeAll();
  bed.list({}, {endedRow(jobs::EndKind::Failed)});
  bed.storeAll();
  BOOST_TEST(bed.task().Failures == 1U);
}

BOOST_AUTO_TEST_CASE(StartWithoutAnswerIsSentAgainUnderTheSameAttempt) {
  Bed bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  bed.announce();
  bed.start();
  bed.answer<StartOrder>(OrderVerdict::NoAnswer);
  BOOST_TEST(bed.Writes.empty());
  const auto sent = bed.take<StartOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StartOrder>(sent->What.What).Attempt == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredStartHoldsItsPlaceUntilAStopIsConfirmed) {
  Bed bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  bed.announce();
  bed.start();
  for (int i = 0; i < 3; ++i)
    bed.answer<StartOrder>(OrderVerdict::NoAnswer);
  bed.list({}, {});
  BOOST_TEST(bed.Writes.empty());
  bed.answer<StopOrder>(OrderVerdict::Accepted);
  bed.list({}, {});
  bed.storeAll();
  BOOST_TEST(!bed.task().Live.has_value());
  BOOST_TEST(bed.task().Failures == 0U);
}

BOOST_AUTO_TEST_CASE(RefusalAfterAnUnansweredStartProvesNothing) {
  Bed bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
  bed.announce();
  bed.start();
  bed.answer<StartOrder>(OrderVerdict::NoAnswer);
  bed.answer<StartOrder>(OrderVerdict::NoRoom);
  BOOST_TEST(bed.Writes.empty());
  BOOST_TEST(bed.take<StopOrder>().has_value());
}

BOOST_AUTO_TEST_CASE(FirstStartThatIsRefusedGivesTheTaskBack) {
  for (const OrderVerdict verdict :
       {OrderVerdict::NoRoom, OrderVerdict::BadTicket, OrderVerdict::TooLate,
        OrderVerdict::Unhealthy, OrderVerdict::OtherLife}) {
    Bed bed(sampleBook({}, {sampleJob("a", {sampleStep(1)})}));
    bed.announce();
    bed.start();
    bed.answer<StartOrder>(verdict);
    bed.storeAll();
    BOOST_TEST(!bed.task().Live.has_value());
  }
}

BOOST_AUTO_TEST_CASE(AttemptThatIsNotListedIsStoppedBeforeItIsLost) {
  RunningBed bed;
  bed.list({}, {});
  BOOST_TEST(bed.Writes.empty());
  bed.answer<StopOrder>(OrderVerdict::Accepted);
  bed.list({}, {});
  bed.storeAll();
  BOOST_TEST(!bed.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(AttemptIsNotMissingFromAListThatCantBeReadWhole) {
  RunningBed bed;
  bed.Time.advance(Duration::millis(300));
  bed.Desk->tick();
  auto sent = bed.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  OrderAnswer reply;
  reply.Verdict = OrderVerdict::Accepted;
  reply.IsRunningWhole = false;
  sent->Done(reply);
  BOOST_TEST(!bed.take<StopOrder>().has_value());
  bed.list({}, {});
  BOOST_TEST(bed.take<StopOrder>().has_value());
}

// Asking a silent worker again and again must not prolong its leases.
BOOST_AUTO_TEST_CASE(SilentWorkerIsLostOnlyWhenItsLeasesAreOver) {
  RunningBed bed;
  const auto passUnanswered = [&bed](int ticks) {
    for (int i = 0; i < ticks; ++i) {
      bed.Time.advance(Duration::millis(100));
      bed.Desk->tick();
      for (auto &sent : std::exchange(bed.Orders, {}))
        sent.Done(OrderAnswer());
    }
  };
  passUnanswered(49);
  BOOST_TEST(bed.Writes.empty());
  BOOST_TEST(bed.Desk->usable().empty());
  passUnanswered(10);
  bed.storeAll();
  BOOST_TEST(!bed.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(NewLifeKnowsNothingAndItsCountsStartAnew) {
  RunningBed bed;
  bed.list({runningRow()}, {});
  bed.announce(2);
  bed.list({}, {}, 2);
  bed.answer<StopOrder>(OrderVerdict::Accepted);
  bed.list({}, {{1, taskOf("b", 0), 1, jobs::EndKind::Done, ""}}, 2);
  bed.storeAll();
  BOOST_TEST(!bed.task().Live.has_value());
  bed.Desk->tick();
  const auto sent = bed.take<LeaseOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<LeaseOrder>(sent->What.What).AckedEnds == 1U);
}

BOOST_AUTO_TEST_CASE(AnotherLifeAtTheAddressEndsWhatRan) {
  RunningBed bed;
  bed.Time.advance(Duration::millis(300));
  bed.Desk->tick();
  bed.answer<LeaseOrder>(OrderVerdict::OtherLife);
  bed.storeAll();
  BOOST_TEST(!bed.task().Live.has_value());
}

BOOST_AUTO_TEST_CASE(NewLeaderTakesOverFromTheBookAlone) {
  jobs::JobBook book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  Bed bed(std::move(book));
  bed.Desk->takeOver();
  bed.list({}, {endedRow(jobs::EndKind::Done)});
  bed.storeAll();
  BOOST_TEST((bed.jobState() == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(NewLeaderStopsWhatItsPredecessorMayStillHaveSent) {
  jobs::JobBook book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, W1});
  Bed bed(std::move(book));
  bed.Desk->takeOver();
  bed.list({}, {});
  BOOST_TEST(bed.Writes.empty());
  const auto sent = bed.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Fence == Fence);
}

BOOST_AUTO_TEST_CASE(WorkerThatGoesOnFailingIsDoubtedForLonger) {
  Bed bed(sampleBook({}, numberedJobs(5)));
  bed.announce();
  uint64_t number = 0;
  const auto fail = [&](int job) {
    const jobs::TaskKey task = taskOf("j" + std::to_string(job), 0);
    const jobs::AttemptStarted event{task, 1, W1};
    bed.Book.apply(event);
    bed.Desk->start({event, ""});
    bed.answer<StartOrder>(OrderVerdict::Accepted);
    bed.list({}, {{++number, task, 1, jobs::EndKind::Failed, ""}});
    bed.storeAll();
  };
  const auto isDoubted = [&] {
    bed.announce();
    const auto views = bed.Desk->usable();
    BOOST_REQUIRE(views.size() == 1U);
    return views[0].IsDoubtful;
  };
  fail(0);
  fail(1);
  BOOST_TEST(!isDoubted());
  fail(2);
  BOOST_TEST(isDoubted());
  bed.Time.advance(Duration::millis(5100));
  BOOST_TEST(!isDoubted());
  // One more is enough now, and lasts twice as long.
  fail(3);
  BOOST_TEST(isDoubted());
  bed.Time.advance(Duration::millis(6000));
  BOOST_TEST(isDoubted());
  bed.Time.advance(Duration::millis(5000));
  BOOST_TEST(!isDoubted());
}

// Load: a worker that fails every second task.
BOOST_AUTO_TEST_CASE(WorkerThatFailsOftenIsDoubtedThoughSomeEndWell) {
  Bed bed(sampleBook({}, numberedJobs(8)));
  bed.announce();
  for (int i = 0; i < 8; ++i) {
    const jobs::TaskKey task = taskOf("j" + std::to_string(i), 0);
    const jobs::AttemptStarted event{task, 1, W1};
    bed.Book.apply(event);
    bed.Desk->start({event, ""});
    bed.answer<StartOrder>(OrderVerdict::Accepted);
    bed.list({},
             {{static_cast<uint64_t>(i) + 1, task, 1,
               i % 2 == 0 ? jobs::EndKind::Failed : jobs::EndKind::Done, ""}});
    bed.storeAll();
    bed.announce();
    BOOST_REQUIRE(bed.Desk->usable().size() == 1U);
    BOOST_TEST(bed.Desk->usable()[0].IsDoubtful == (i >= 6));
  }
}

// Job a serves, job b fills; both run on w1.
struct FillingBed : Bed {
  FillingBed() : Bed(bookOf()) {
    announce();
    for (const char *job : {"a", "b"}) {
      const jobs::AttemptStarted event{taskOf(job, 0), 1, W1};
      Book.apply(event);
      Desk->start({event, ""});
      answer<StartOrder>(OrderVerdict::Accepted);
    }
  }
  static jobs::JobBook bookOf() {
    jobs::StepSpec serving = sampleStep(1);
    serving.IsLongRunning = true;
    serving.ResponseTarget = Duration::millis(100);
    jobs::StepSpec filler = sampleStep(1);
    filler.IsFiller = true;
    return sampleBook({},
                      {sampleJob("a", {serving}), sampleJob("b", {filler})});
  }
  // The worker lists both; the one that serves has this tail.
  void listTail(int64_t ms) {
    Time.advance(Duration::millis(600));
    list({{taskOf("a", 0), 1, "", 100, Duration::millis(ms)},
          {taskOf("b", 0), 1, "", 30}},
         {});
  }
  std::optional<int> takePace(OrderVerdict verdict) {
    auto sent = take<dispatch::PaceOrder>();
    if (!sent)
      return std::nullopt;
    OrderAnswer reply;
    reply.Verdict = verdict;
    sent->Done(reply);
    const auto &order = std::get<dispatch::PaceOrder>(sent->What.What);
    BOOST_TEST((order.Task == taskOf("b", 0)));
    BOOST_TEST(order.Fence == Fence);
    return order.Percent;
  }
};

BOOST_FIXTURE_TEST_CASE(TasksThatFillAreSlowedWhileATargetIsMissed,
                        FillingBed) {
  listTail(50);
  BOOST_TEST(!takePace(OrderVerdict::Accepted).has_value());
  listTail(150);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 50);
  listTail(150);
  BOOST_TEST(takePace(OrderVerdict::NoAnswer).value_or(-1) == 25);
  // An order that may not have arrived is sent again.
  listTail(90);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 25);
  listTail(90);
  BOOST_TEST(!takePace(OrderVerdict::Accepted).has_value());
  listTail(50);
  BOOST_TEST(takePace(OrderVerdict::Accepted).value_or(-1) == 35);
}

BOOST_FIXTURE_TEST_CASE(NewLeaderSetsASpeedThatItDoesNotKnow, FillingBed) {
  Bed next(Book);
  next.Desk->takeOver();
  next.announce();
  next.list({{taskOf("a", 0), 1, "", 100, Duration::millis(50)},
             {taskOf("b", 0), 1, "", 30}},
            {});
  auto sent = next.take<dispatch::PaceOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<dispatch::PaceOrder>(sent->What.What).Percent == 60);
}

// A lasting task with a bound may be at work though no start was answered: it
// is asked to start again rather than stopped.
BOOST_AUTO_TEST_CASE(LastingTaskWithABoundIsNotStoppedForWantOfAnAnswer) {
  jobs::StepSpec lasting = sampleStep(1);
  lasting.IsLongRunning = true;
  lasting.MaxUnavailable = 0;
  Bed bed(sampleBook({}, {sampleJob("a", {lasting})}));
  bed.announce();
  bed.start();
  for (int i = 0; i < 3; ++i)
    bed.answer<StartOrder>(OrderVerdict::NoAnswer);
  bed.Time.advance(Duration::millis(400));
  bed.Desk->tick();
  BOOST_TEST(!bed.take<StopOrder>().has_value());
  auto again = bed.take<StartOrder>();
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(std::get<StartOrder>(again->What.What).Attempt == 1U);
}

BOOST_AUTO_TEST_CASE(StrayAttemptIsStopped) {
  RunningBed bed;
  bed.list({runningRow(), {taskOf("gone", 0), 3, "", 50}}, {});
  const auto sent = bed.take<StopOrder>();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(std::get<StopOrder>(sent->What.What).Task.Job.str() == "gone");
}

BOOST_AUTO_TEST_CASE(WorkersThatDrainOrWereNotHeardOfGetNothing) {
  RunningBed bed;
  BOOST_TEST(bed.Desk->usable().size() == 1U);
  bed.Time.advance(Duration::seconds(5));
  BOOST_TEST(bed.Desk->usable().empty());
  bed.announce();
  BOOST_TEST(bed.Desk->usable().size() == 1U);
  jobs::Worker draining = sampleWorker("w1");
  draining.IsDraining = true;
  bed.Book.apply(jobs::WorkerChanged{draining});
  BOOST_TEST(bed.Desk->usable().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
